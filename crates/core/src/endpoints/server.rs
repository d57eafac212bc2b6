//! The record that a gateway keeps of one server.

use crate::api::{Endpoint, Micros, NonZeroMicros, ProtocolRules};
use crate::decaying_rate::decay_factor;
use crate::handover::text::handover_record;
use crate::health::outlier::OutlierState;
use crate::health::slow_start::slow_start_factor;
use std::collections::BTreeMap;

/// Time constant with which the weight of a load report decays, in seconds.
pub(crate) const LOAD_REPORT_TIME_CONSTANT_S: f64 = 1.0;
/// First backoff after a server rejects a request, for requests of the same plan.
pub(crate) const BASE_REJECTION_BACKOFF: Micros = 100_000;
/// Number of times that the backoff can double, to 6.4 s.
const REJECTION_BACKOFF_DOUBLINGS: u32 = 6;
/// Weight of the newest sample in the moving average of a server's service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// The backoff of one server for requests of one plan.
#[derive(Clone, Copy, Default)]
pub(crate) struct RejectionBackoff {
    /// End of the backoff, during which the server is a last resort for requests of the plan.
    pub until: Micros,
    /// Rejections since the backoff was last cleared.
    consecutive_rejections: u32,
}

/// The state of one server as known to this gateway.
#[derive(Default)]
pub(crate) struct Server {
    /// Entry of the endpoint list, with the start time converted to this process's clock.
    pub endpoint: Endpoint,
    /// Start time by the fleet's clock, as listed.
    pub reported_start: Option<NonZeroMicros>,
    /// Attempts of this gateway in flight at the server.
    pub attempts_in_flight: u32,
    /// Moving average of the response time per request in flight, in microseconds.
    pub service_time_us: f64,
    /// Share of other gateways' requests in flight at the server that this gateway accounts for, as of the
    /// last load report.
    pub peers_in_flight: f64,
    /// Time of the last load report.
    pub load_reported_at: Micros,
    /// Success rate and ejection by outlier detection.
    pub health: OutlierState,
    /// Backoff after rejections, by index of the plan.
    pub rejection_backoff: BTreeMap<usize, RejectionBackoff>,
    /// Attempts that this gateway may send while the server warms up; may be negative.
    pub slow_start_budget: f64,
    /// Virtual finish time of the last attempt sent, in microseconds, by which the servers of a partial
    /// subset take turns.
    pub virtual_time: f64,
}

handover_record!(Server { health, service_time_us, slow_start_budget, attempts_in_flight } times {});

impl Server {
    /// Returns the expected number of requests in flight at the server: this gateway's attempts, which are
    /// known exactly, and other gateways' requests as last reported, decaying with the report's age.
    pub fn expected_in_flight(&self, now: Micros) -> f64 {
        let report_age = now.saturating_sub(self.load_reported_at);
        f64::from(self.attempts_in_flight)
            + self.peers_in_flight * decay_factor(report_age, LOAD_REPORT_TIME_CONSTANT_S)
    }

    /// Returns the minimum fraction of its capacity that the server has while it warms up.
    pub fn slow_start_factor(&self, now: Micros, rules: &ProtocolRules) -> f64 {
        slow_start_factor(self.endpoint.started_at, now, rules)
    }

    /// Returns the expected latency of one further request, in microseconds.
    pub fn expected_latency_us(&self, now: Micros, rules: &ProtocolRules) -> f64 {
        (self.expected_in_flight(now) + 1.0) * self.service_time_us / self.slow_start_factor(now, rules)
    }

    /// Returns the time for which one further request occupies the server, in microseconds.
    pub fn busy_time_us(&self, now: Micros, rules: &ProtocolRules) -> f64 {
        self.service_time_us / self.slow_start_factor(now, rules)
    }

    /// Returns whether the backoff for a plan is still running.
    pub fn is_backing_off(&self, now: Micros, plan: usize) -> bool {
        self.rejection_backoff.get(&plan).is_some_and(|backoff| backoff.until > now)
    }

    /// Adds a sample to the service time: the time that an answer took, per request expected in flight when
    /// its attempt was sent.
    pub fn record_service_time(&mut self, elapsed: Micros, expected_in_flight: f64) {
        let sample_us = elapsed as f64 / (expected_in_flight + 1.0);
        self.service_time_us += SERVICE_TIME_WEIGHT * (sample_us - self.service_time_us);
    }

    /// Starts or extends the backoff for one plan only: a server that rejects one plan may have capacity for
    /// others.
    pub fn record_rejection(&mut self, now: Micros, plan: usize) {
        let longest = BASE_REJECTION_BACKOFF << REJECTION_BACKOFF_DOUBLINGS;
        let since_last = now.saturating_sub(self.health.last_outcome_at()).min(longest);
        let backoff = self.rejection_backoff.entry(plan).or_default();
        let doubled =
            BASE_REJECTION_BACKOFF << backoff.consecutive_rejections.min(REJECTION_BACKOFF_DOUBLINGS);
        backoff.until = now + doubled.max(since_last / 2);
        backoff.consecutive_rejections += 1;
    }

    /// Ends the backoff for a plan and resets its doubling.
    pub fn clear_rejections(&mut self, plan: usize) {
        self.rejection_backoff.remove(&plan);
    }
}
