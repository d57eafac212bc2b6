//! The budget of calls to the shared counter, which follows the counter's own speed, and the calls in flight.

use crate::api::{CounterId, CustomerId, Micros};
use crate::customer::Customer;
use std::collections::BTreeMap;

/// Calls for each request at least: enough to notice that a silent counter replies again.
const MIN_CALLS_PER_REQUEST: f64 = 0.05;
/// Calls for each request at most: one to reserve and half a call to settle.
const MAX_CALLS_PER_REQUEST: f64 = 1.5;
/// Calls for each request at the start, where many gateways may start at once.
const INITIAL_CALLS_PER_REQUEST_OF_MANY: f64 = 0.3;
/// Calls for each request at the start, where few gateways share the counter.
const INITIAL_CALLS_PER_REQUEST: f64 = 1.0;
/// Calls that may be saved up while idle.
const MAX_SAVED_CALLS: f64 = 10.0;
/// Calls saved up at the start, where many gateways may start at once.
const INITIAL_SAVED_CALLS_OF_MANY: f64 = 2.0;
/// Saved calls that are reserved for requests: use that no request waits for is reported with what is over
/// these.
const CALLS_RESERVED_FOR_REQUESTS: f64 = MAX_SAVED_CALLS / 2.0;
/// Factor on the calls for each request after a quick reply.
const INCREASE: f64 = 1.05;
/// Factor on the calls for each request after a slow reply or none.
const DECREASE: f64 = 0.85;
/// A reply within a call's timeout divided by this is quick.
const QUICK_DIVISOR: Micros = 2;
/// The same where many gateways share the counter.
const QUICK_DIVISOR_OF_MANY: Micros = 4;
/// Replies to calls made before the last decrease tell nothing of its effect; they have come by then.
const BACKOFF_SETTLING_TIME: Micros = 300_000;
/// A customer's number is below 2^33; the start of the window goes above it in a counter's key.
const CUSTOMER_BITS: u32 = 33;

/// A call of the shared counter in flight.
#[derive(Clone, Copy)]
pub(crate) struct PendingCall {
    /// Whose use it reports.
    pub customer: CustomerId,
    /// The start of the window whose key it calls.
    pub window: Micros,
    /// The start of the window that it was made for; another one if it only looks up the window before.
    pub for_window: Micros,
}

impl PendingCall {
    /// The counter's key: the same for a customer and window at all gateways.
    pub fn key(&self) -> CounterId {
        CounterId(self.customer.0 ^ (self.window / 1_000) << CUSTOMER_BITS)
    }

    /// Whether it only looks up what the window before left owing.
    pub fn is_lookup(&self) -> bool {
        self.window != self.for_window
    }
}

/// The budget and the calls in flight.
#[derive(Default)]
pub(crate) struct CounterCalls {
    /// Calls that may be made now.
    saved: f64,
    /// Calls that each request adds to the budget.
    per_request: f64,
    /// When that was last decreased.
    last_backoff_at: Micros,
    /// A reply within the timeout divided by this is quick.
    quick_divisor: Micros,
    /// The calls in flight, by key.
    pending: BTreeMap<CounterId, PendingCall>,
}

impl CounterCalls {
    /// The budget at the start; `shared_by_many` where more gateways share the counter than see a customer
    /// often.
    pub fn new(shared_by_many: bool) -> CounterCalls {
        if shared_by_many {
            CounterCalls {
                saved: INITIAL_SAVED_CALLS_OF_MANY,
                per_request: INITIAL_CALLS_PER_REQUEST_OF_MANY,
                quick_divisor: QUICK_DIVISOR_OF_MANY,
                ..CounterCalls::default()
            }
        } else {
            CounterCalls {
                saved: MAX_SAVED_CALLS / 2.0,
                per_request: INITIAL_CALLS_PER_REQUEST,
                quick_divisor: QUICK_DIVISOR,
                ..CounterCalls::default()
            }
        }
    }

    /// Adds what a request earns.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.per_request).min(MAX_SAVED_CALLS);
    }

    /// Whether a call may be made.
    pub fn allows_call(&self) -> bool {
        self.saved >= 1.0
    }

    /// Makes one call possible, whatever was saved up.
    pub fn allow_one(&mut self) {
        self.saved = self.saved.max(1.0);
    }

    /// Whether a call that no request waits for leaves enough for requests.
    pub fn has_surplus(&self) -> bool {
        self.saved >= CALLS_RESERVED_FOR_REQUESTS
    }

    /// Whether a customer's use over the quota costs enough for one of the calls that are left: the fewer
    /// there are, the more it must cost, and it counts less where other gateways try as well.
    pub fn allow_call_for(&self, now: Micros, customer: &Customer, highest_overage_cost: f64) -> bool {
        let gain = customer.plan.weighted_overage_cost() / customer.demand.at(now).max(1.0);
        // Part of the calls reserved for requests that is used up; negative where more are saved.
        let scarcity = 1.0 - self.saved / CALLS_RESERVED_FOR_REQUESTS;
        customer.is_shared_by_few() || gain >= highest_overage_cost * scarcity
    }

    /// Calls for each request, for the next process.
    pub fn per_request(&self) -> f64 {
        self.per_request
    }

    /// Restores the calls for each request of the predecessor process.
    pub fn set_per_request(&mut self, per_request: f64) {
        self.per_request = per_request;
    }

    /// Records a call that is sent now.
    pub fn begin(&mut self, call: PendingCall) {
        self.saved -= 1.0;
        self.pending.insert(call.key(), call);
    }

    /// The call of a key, which has ended.
    pub fn end(&mut self, key: CounterId) -> Option<PendingCall> {
        self.pending.remove(&key)
    }

    /// Whether a reply after this time was quick.
    pub fn is_quick(&self, elapsed: Micros, timeout: Option<Micros>) -> bool {
        timeout.is_none_or(|timeout| elapsed < timeout / self.quick_divisor)
    }

    /// Makes more calls after a quick reply; backs off after a slow one, so that all gateways call a crowded
    /// or silent counter less.
    pub fn adapt(&mut self, now: Micros, is_quick: bool) {
        if !is_quick && now < self.last_backoff_at + BACKOFF_SETTLING_TIME {
            return;
        }
        let factor = if is_quick { INCREASE } else { DECREASE };
        self.per_request = (self.per_request * factor).clamp(MIN_CALLS_PER_REQUEST, MAX_CALLS_PER_REQUEST);
        if !is_quick {
            self.last_backoff_at = now;
        }
    }
}
