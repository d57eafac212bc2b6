//! The pacing delay of requests over the quota: the peak load control of Lee and Min (2007), their Figure 10.
//! At the end of each interval the delay grows with the load over the quota, or is reduced by a factor.
//!
//! In the paper's terms [`INTERVAL`] is the control interval, [`MIN_DELAY_MS`] is δ and
//! [`DELAY_DECREASE_FACTOR`] is β.

use crate::api::Micros;
use crate::decaying_rate::seconds;
use crate::handover::text::handover_record;

/// Control interval, long enough for a few requests of a small plan.
const INTERVAL: Micros = 500_000;
/// Delay, in milliseconds, that is too short to smooth the load; it is reduced to 0 instead of by the factor.
const MIN_DELAY_MS: f64 = 10.0;
/// Factor on the delay after an interval within the quota.
const DELAY_DECREASE_FACTOR: f64 = 0.5;
/// Delay, in milliseconds, from which the first interval over the quota starts.
const FIRST_DELAY_MS: f64 = 1.0;

/// The pacer of one customer.
#[derive(Default)]
pub(crate) struct Pacer {
    /// Delay between two requests, in milliseconds.
    delay_ms: f64,
    interval_started_at: Micros,
    /// Units that arrived in the current interval.
    interval_units: f64,
    /// Time at which the last queued request leaves the queue.
    last_dequeue_at: Micros,
}

handover_record!(Pacer { delay_ms, interval_started_at, interval_units, last_dequeue_at }
    times { interval_started_at, last_dequeue_at });

impl Pacer {
    /// Creates a pacer without delay whose first interval starts now.
    pub fn new(now: Micros) -> Pacer {
        Pacer { interval_started_at: now, ..Pacer::default() }
    }

    /// Ends the intervals that have elapsed and updates the delay after each.
    pub fn advance(&mut self, now: Micros, quota_rate: f64, in_flight: u32, max_delay_ms: f64) {
        while now >= self.interval_started_at + INTERVAL {
            let excess_rate = self.interval_units / seconds(INTERVAL) - quota_rate;
            self.delay_ms = self.next_delay_ms(excess_rate, in_flight, max_delay_ms);
            self.interval_units = 0.0;
            self.interval_started_at += INTERVAL;
            if self.delay_ms == 0.0 {
                // Further intervals without arrivals do not change the delay.
                self.interval_started_at += (now - self.interval_started_at) / INTERVAL * INTERVAL;
            }
        }
    }

    fn next_delay_ms(&self, excess_rate: f64, in_flight: u32, max_delay_ms: f64) -> f64 {
        if excess_rate > 0.0 {
            let delay_ms = if self.delay_ms == 0.0 { FIRST_DELAY_MS } else { self.delay_ms };
            (excess_rate / f64::from(in_flight.max(1)) * delay_ms).min(max_delay_ms)
        } else if self.delay_ms > MIN_DELAY_MS {
            self.delay_ms * DELAY_DECREASE_FACTOR
        } else {
            0.0
        }
    }

    /// Adds units that arrive in the current interval.
    pub fn add_units(&mut self, units: f64) {
        self.interval_units += units;
    }

    /// Returns the time at which a request that is queued now would leave the queue.
    pub fn dequeue_at(&self, now: Micros, max_wait: Micros) -> Micros {
        let delay = (self.delay_ms * 1e3) as Micros;
        (self.last_dequeue_at.max(now) + delay).min(now + max_wait)
    }

    /// Records the time at which the last queued request leaves the queue.
    pub fn set_last_dequeue_at(&mut self, at: Micros) {
        self.last_dequeue_at = at;
    }
}
