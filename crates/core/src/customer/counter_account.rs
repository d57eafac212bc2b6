//! The usage that this gateway has reported to the shared counter for one customer, and the counter's last
//! known total.
//!
//! A total is interpreted by the number of gateways that serve the customer. Each of few gateways receives
//! the customer's requests often: the increase of the total beyond its own usage is that of its peers
//! ([`CounterAccount::peer_usage_since_last_total`]). One of many gateways receives them rarely: it derives
//! the level of the bucket from the total since the start of a window alone
//! ([`CounterAccount::level_from_total`]).

use crate::api::{Micros, Plan, RequestId};
use crate::customer::token_bucket::max_deficit;
use crate::decaying_rate::seconds;
use crate::handover::text::handover_record;

/// Maximum lifetime of a counter key.
pub(crate) const COUNTER_KEY_LIFETIME: Micros = 60_000_000;
/// Age up to which a total is used without another lookup.
pub(crate) const FRESH_TOTAL_MAX_AGE: Micros = 200_000;
/// Fraction of the last total below which a new total shows that the counter restarted from 0.
const RESTARTED_TOTAL_FRACTION: f64 = 0.5;
/// Fraction of the burst reserved for usage that never reaches a total: units used without a call and
/// differences from settlement.
const RESERVED_BURST_FRACTION: f64 = 0.2;
/// Fraction of the burst by which a total may lag behind the refill. A larger lag hides how many units
/// overflowed the bucket.
const MAX_LAG_FRACTION: f64 = 0.25;
/// Probability with which a gateway corrects a total that is far too high: corrections by peers may be in
/// progress.
const CORRECTION_PROBABILITY: f64 = 0.1;
/// Fraction of a correction by which peer usage must have risen in the meantime to show that a peer has made
/// the same correction.
const DUPLICATE_CORRECTION_FRACTION: f64 = 0.8;

/// A gateway's record of its calls to the shared counter for one customer.
#[derive(Default)]
pub(crate) struct CounterAccount {
    /// Units used at this gateway that no call has reported yet; negative where a reservation was not used.
    unreported_units: f64,
    /// Units that the call in flight adds.
    units_in_call: f64,
    /// Differences between settled and estimated units, to be added by the next call.
    settlement_due: f64,
    call_in_flight: bool,
    /// Time of the counter's last reply with a total.
    replied_at: Option<Micros>,
    total: Option<f64>,
    /// Units of calls without a reply, which the counter may or may not have added.
    possibly_counted_units: f64,
    /// Units that overflowed the bucket since the last total.
    overflow: f64,
    /// Correction of the total, which the next call adds and which is kept until its reply.
    total_correction: f64,
    /// Requests that wait for the call in flight.
    queued_requests: Vec<RequestId>,
}

handover_record!(CounterAccount { unreported_units, possibly_counted_units, replied_at, overflow, total }
    times {});

/// A finished counter call.
pub(crate) struct CompletedCall {
    /// Units that the call was to add.
    pub units: f64,
    /// Requests that waited for the call.
    pub queued_requests: Vec<RequestId>,
}

impl CounterAccount {
    /// Adds units used at this gateway to those not reported yet.
    pub fn add_usage(&mut self, units: f64) {
        self.unreported_units += units;
    }

    /// Adds the difference between a request's settled and estimated units, which the next call reports.
    pub fn add_settlement(&mut self, difference: f64) {
        self.settlement_due += difference;
    }

    /// Adds units that overflowed the bucket.
    pub fn add_overflow(&mut self, units: f64) {
        self.overflow += units;
    }

    /// Returns the units that no call has reported yet.
    pub fn unreported_units(&self) -> f64 {
        self.unreported_units
    }

    /// Returns whether a call has no reply yet.
    pub fn has_call_in_flight(&self) -> bool {
        self.call_in_flight
    }

    /// Returns whether the last total is recent enough to be used without another lookup.
    pub fn has_fresh_total(&self, now: Micros) -> bool {
        self.replied_at.is_some_and(|at| now <= at + FRESH_TOTAL_MAX_AGE)
    }

    /// Returns the total of the counter's last reply.
    pub fn total(&self) -> Option<f64> {
        self.total
    }

    /// Returns whether another call is due at once because the total lacks a correction or includes a
    /// reservation that was not used.
    pub fn needs_correction(&self) -> bool {
        self.total_correction != 0.0 || self.unreported_units != 0.0
    }

    /// Queues a request until the call in flight ends.
    pub fn queue(&mut self, id: RequestId) {
        self.queued_requests.push(id);
    }

    /// Begins a call that reports all outstanding units and reserves `reserve` units, which count as used
    /// until the request is forwarded. Returns the amount to add.
    pub fn begin_call(&mut self, reserve: f64) -> f64 {
        self.call_in_flight = true;
        let settlement = std::mem::take(&mut self.settlement_due);
        self.units_in_call = self.unreported_units + settlement + self.total_correction + reserve;
        self.unreported_units = -reserve;
        self.units_in_call
    }

    /// Begins a call that only looks up the previous window's total, after the first call in a window
    /// returned `total`.
    pub fn begin_lookup(&mut self, total: f64) {
        self.call_in_flight = true;
        self.total = Some(total);
    }

    /// Ends the call in flight.
    pub fn end_call(&mut self) -> CompletedCall {
        self.call_in_flight = false;
        CompletedCall {
            units: std::mem::take(&mut self.units_in_call),
            queued_requests: std::mem::take(&mut self.queued_requests),
        }
    }

    /// Records the time of a reply with a total.
    pub fn record_reply(&mut self, now: Micros) {
        self.replied_at = Some(now);
    }

    /// Adds the units of a refused call, less its correction of the total, back to those not reported yet.
    pub fn record_refusal(&mut self, units: f64) {
        self.unreported_units += units - std::mem::take(&mut self.total_correction);
    }

    /// Records units that a call without a reply may have added.
    pub fn record_missing_reply(&mut self, units: f64) {
        self.possibly_counted_units += units;
        self.total_correction = 0.0;
    }

    /// Applies a total where few gateways serve the customer. Returns the units that peers have used since
    /// the last total, less the units of this gateway's earlier calls without a reply that may be included in
    /// it.
    pub fn peer_usage_since_last_total(&mut self, counter_total: CounterTotal) -> f64 {
        let before = counter_total.before();
        let last = self.total.replace(counter_total.total).unwrap_or(before);
        let peer_usage =
            if before < last * RESTARTED_TOTAL_FRACTION { before.max(0.0) } else { before - last };
        peer_usage - std::mem::take(&mut self.possibly_counted_units).clamp(0.0, peer_usage.max(0.0))
    }

    /// Returns the units that overflowed the bucket since the last total, and resets them.
    pub fn take_overflow(&mut self) -> f64 {
        std::mem::take(&mut self.overflow)
    }

    /// Applies the last total of the previous window, which began with a full bucket. Returns the deficit
    /// with which the current window begins.
    pub fn carry_over_deficit(&mut self, total: f64, plan: &Plan) -> f64 {
        let refilled = plan.rate * seconds(COUNTER_KEY_LIFETIME);
        self.total_correction = (total - refilled).clamp(0.0, max_deficit(plan));
        self.total_correction
    }

    /// Applies a total where many gateways serve the customer. The total's window began with a full bucket,
    /// which has been refilled for the time `elapsed` since. Returns the level of the bucket. A total that
    /// lags behind the refill shows that the bucket overflowed: the difference must be added to the total, or
    /// the next burst would use it. `random_fraction` is drawn so that only some of the gateways correct a
    /// total that is far too high.
    ///
    /// Returns `None` if a peer has just made the same correction; the next call then reverts this gateway's.
    pub fn level_from_total(
        &mut self,
        elapsed: Micros,
        counter_total: CounterTotal,
        plan: &Plan,
        random_fraction: f64,
    ) -> Option<f64> {
        let correction = std::mem::take(&mut self.total_correction);
        let before = counter_total.before();
        let peer_usage = before - self.total.replace(counter_total.total).unwrap_or(before);
        if correction != 0.0 && peer_usage / correction >= DUPLICATE_CORRECTION_FRACTION {
            self.total_correction = -correction;
            return None;
        }
        let lag =
            plan.rate * seconds(elapsed) - counter_total.total - self.unreported_units - self.settlement_due;
        let excess = (lag + max_deficit(plan)).min(0.0);
        self.total_correction = if lag > MAX_LAG_FRACTION * plan.burst {
            lag
        } else if random_fraction < CORRECTION_PROBABILITY {
            excess
        } else {
            0.0
        };
        Some(plan.burst * (1.0 - RESERVED_BURST_FRACTION) + lag.min(0.0))
    }

    /// Moves all units that are not reported, or may not have been, to the fields that are handed over.
    /// Returns the possibly counted units that this process keeps.
    pub fn prepare_handover(&mut self) -> f64 {
        self.unreported_units += std::mem::take(&mut self.settlement_due);
        let possibly_counted = self.possibly_counted_units;
        self.possibly_counted_units += self.units_in_call;
        possibly_counted
    }

    /// Resets the handed-over units, so that this process keeps only those that its open requests still
    /// settle.
    pub fn complete_handover(&mut self, possibly_counted: f64) {
        self.unreported_units = 0.0;
        self.possibly_counted_units = possibly_counted;
    }
}

/// A total of the shared counter and the amount that the replied call added.
#[derive(Clone, Copy)]
pub(crate) struct CounterTotal {
    /// Total after the call.
    pub total: f64,
    /// Amount added by the call.
    pub added: f64,
}

impl CounterTotal {
    /// Returns the total before the call.
    pub fn before(self) -> f64 {
        self.total - self.added
    }
}
