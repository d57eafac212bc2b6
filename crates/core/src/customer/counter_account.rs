//! What this gateway has reported to the shared counter of a customer's use and what it knows of the
//! counter's total.
//!
//! A total means different things to few and to many gateways. Few see the customer often: what a total rose
//! by besides a gateway's own use is the others' ([`CounterAccount::use_of_others`]). One of many sees it
//! seldom: the total since the start of a window alone tells what the bucket holds
//! ([`CounterAccount::level_by_shared_total`]).

use crate::api::{Micros, Plan, RequestId};
use crate::customer::token_bucket::max_deficit;
use crate::decaying_rate::seconds;
use crate::handover::text::handover_record;

/// The longest lifetime of a counter's key.
pub(crate) const COUNTER_KEY_LIFETIME: Micros = 60_000_000;
/// A total as young as this needs no second look.
pub(crate) const TOTAL_FRESH_FOR: Micros = 200_000;
/// A total that fell below this part of the last one has started anew.
const RESTARTED_TOTAL: f64 = 0.5;
/// Part of the burst reserved for use that never reaches a total: use without a call, differences of true
/// units.
const RESERVE_OF_BURST: f64 = 0.2;
/// A total that lags by more than this part of the burst hides how much the bucket could not hold.
const MAX_LAG_OF_BURST: f64 = 0.25;
/// Part of the gateways that correct a total which is far ahead: the others' corrections may be under way.
const CORRECTING_PART: f64 = 0.1;
/// Part of a correction; others' use that rose by so much meanwhile was the same correction by another
/// gateway.
const DUPLICATE_CORRECTION: f64 = 0.8;

/// The account.
#[derive(Default)]
pub(crate) struct CounterAccount {
    /// Units used here that no call has reported yet; negative where a reservation was not used.
    unreported_units: f64,
    /// Units that the call in flight adds.
    units_in_call: f64,
    /// Differences between true and named units, for the next call.
    settlement_due: f64,
    /// A call has no reply yet.
    call_in_flight: bool,
    /// When the counter last replied with a total.
    replied_at: Option<Micros>,
    /// The last total.
    total: Option<f64>,
    /// Units of calls without a reply, which may have been added.
    possibly_counted_units: f64,
    /// Units that the bucket could not hold since the last total.
    overflow: f64,
    /// The correction of the total that the call in flight makes.
    total_correction: f64,
    /// Requests that wait for the call in flight.
    queued_requests: Vec<RequestId>,
}

handover_record!(CounterAccount { unreported_units, possibly_counted_units, replied_at, overflow, total }
    times {});

/// A call that has ended.
pub(crate) struct CompletedCall {
    /// Units that it was to add.
    pub units: f64,
    /// Requests that waited for it.
    pub queued_requests: Vec<RequestId>,
}

impl CounterAccount {
    /// Counts units used here.
    pub fn add_use(&mut self, units: f64) {
        self.unreported_units += units;
    }

    /// Counts the difference between a request's true and named units, for the next call.
    pub fn add_settlement(&mut self, difference: f64) {
        self.settlement_due += difference;
    }

    /// Counts units that the bucket could not hold.
    pub fn add_overflow(&mut self, units: f64) {
        self.overflow += units;
    }

    /// Units that no call has reported yet.
    pub fn unreported_units(&self) -> f64 {
        self.unreported_units
    }

    /// Whether a call has no reply yet.
    pub fn has_call_in_flight(&self) -> bool {
        self.call_in_flight
    }

    /// Whether the last total is so young that it needs no second look.
    pub fn is_fresh(&self, now: Micros) -> bool {
        self.replied_at.is_some_and(|at| now <= at + TOTAL_FRESH_FOR)
    }

    /// The last total.
    pub fn total(&self) -> Option<f64> {
        self.total
    }

    /// Whether another call is due at once: the total lacks a correction, or holds a reservation that was not
    /// used.
    pub fn needs_correction(&self) -> bool {
        self.total_correction != 0.0 || self.unreported_units != 0.0
    }

    /// Queues a request until the call in flight has its reply.
    pub fn queue(&mut self, id: RequestId) {
        self.queued_requests.push(id);
    }

    /// Begins a call that reports all that is due and reserves units, which count as used until the request
    /// is forwarded; returns what to add.
    pub fn begin_call(&mut self, reserve: f64) -> f64 {
        self.call_in_flight = true;
        let settlement = std::mem::take(&mut self.settlement_due);
        self.units_in_call = self.unreported_units + settlement + self.total_correction + reserve;
        self.unreported_units = -reserve;
        self.units_in_call
    }

    /// Begins a second call that only looks a total up.
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

    /// Records that the counter replied with a total.
    pub fn record_reply(&mut self, now: Micros) {
        self.replied_at = Some(now);
    }

    /// Takes back the units of a call that was refused.
    pub fn record_refusal(&mut self, units: f64) {
        self.unreported_units += units - std::mem::take(&mut self.total_correction);
    }

    /// Records units that a call without a reply may have added.
    pub fn record_missing_reply(&mut self, units: f64) {
        self.possibly_counted_units += units;
        self.total_correction = 0.0;
    }

    /// Applies a total among few gateways; returns the units that others used since the last one, less those
    /// that earlier calls of this gateway without a reply added.
    pub fn use_of_others(&mut self, counted: CountedTotal) -> f64 {
        let before = counted.before();
        let last = self.total.replace(counted.total).unwrap_or(before);
        let others = if before < last * RESTARTED_TOTAL { before.max(0.0) } else { before - last };
        others - std::mem::take(&mut self.possibly_counted_units).clamp(0.0, others.max(0.0))
    }

    /// Units that the bucket could not hold since the last total.
    pub fn take_overflow(&mut self) -> f64 {
        std::mem::take(&mut self.overflow)
    }

    /// Applies the last total of the previous window, in which the bucket was full at first; returns the
    /// deficit with which the next window starts.
    pub fn carry_over_deficit(&mut self, total: f64, plan: &Plan) -> f64 {
        let refilled = plan.rate * seconds(COUNTER_KEY_LIFETIME);
        self.total_correction = (total - refilled).clamp(0.0, max_deficit(plan));
        self.total_correction
    }

    /// Applies a total among many gateways, of a window that began with a full bucket, which has been
    /// refilled for the time `elapsed` since; returns the level of the bucket. Where the total lags behind
    /// the refill, the bucket overflowed: the difference has to be added to the total, or the next burst
    /// would use it.
    /// `fraction` is random, so that only a part of the gateways corrects a total that is far ahead.
    ///
    /// `None` if another gateway has just made the same correction: ours is taken back by the next call.
    pub fn level_by_shared_total(
        &mut self,
        elapsed: Micros,
        counted: CountedTotal,
        plan: &Plan,
        fraction: f64,
    ) -> Option<f64> {
        let correction = std::mem::take(&mut self.total_correction);
        let before = counted.before();
        let others = before - self.total.replace(counted.total).unwrap_or(before);
        if correction != 0.0 && others / correction >= DUPLICATE_CORRECTION {
            self.total_correction = -correction;
            return None;
        }
        let lag = plan.rate * seconds(elapsed) - counted.total - self.unreported_units - self.settlement_due;
        let excess = (lag + max_deficit(plan)).min(0.0);
        self.total_correction = if lag > MAX_LAG_OF_BURST * plan.burst {
            lag
        } else if fraction < CORRECTING_PART {
            excess
        } else {
            0.0
        };
        Some(plan.burst * (1.0 - RESERVE_OF_BURST) + lag.min(0.0))
    }

    /// Puts all that is not reported, or may not have been, into what the next process takes over.
    pub fn prepare_handover(&mut self) -> f64 {
        self.unreported_units += std::mem::take(&mut self.settlement_due);
        let possibly_counted = self.possibly_counted_units;
        self.possibly_counted_units += self.units_in_call;
        possibly_counted
    }

    /// Leaves with this process only what its open requests still settle for.
    pub fn complete_handover(&mut self, possibly_counted: f64) {
        self.unreported_units = 0.0;
        self.possibly_counted_units = possibly_counted;
    }
}

/// A total of the shared counter, with what the call that it replies to added.
#[derive(Clone, Copy)]
pub(crate) struct CountedTotal {
    /// The total after the call.
    pub total: f64,
    /// What the call added.
    pub added: f64,
}

impl CountedTotal {
    /// The total before the call.
    pub fn before(self) -> f64 {
        self.total - self.added
    }
}
