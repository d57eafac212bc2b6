//! The budget for calls to the shared counter, which adapts to the counter's latency, and the calls in
//! flight.

use crate::api::{CounterId, CustomerId, Micros};
use crate::customer::Customer;
use std::collections::BTreeMap;

/// Minimum calls per request: enough to detect that an unresponsive counter replies again.
const MIN_CALLS_PER_REQUEST: f64 = 0.05;
/// Maximum calls per request: one to reserve units and half a call to settle them.
const MAX_CALLS_PER_REQUEST: f64 = 1.5;
/// Initial calls per request in a large fleet, whose gateways may all start at once.
const LARGE_FLEET_INITIAL_CALLS_PER_REQUEST: f64 = 0.3;
/// Initial calls per request in a small fleet.
const INITIAL_CALLS_PER_REQUEST: f64 = 1.0;
/// Maximum balance of the call budget, in calls.
const MAX_BALANCE: f64 = 10.0;
/// Initial balance in a large fleet, whose gateways may all start at once.
const LARGE_FLEET_INITIAL_BALANCE: f64 = 2.0;
/// Balance that is reserved for requests: usage that no request waits for is reported only while the balance
/// is at least this.
const CALLS_RESERVED_FOR_REQUESTS: f64 = MAX_BALANCE / 2.0;
/// Factor on the calls per request after a quick reply.
const INCREASE_FACTOR: f64 = 1.05;
/// Factor on the calls per request after a slow or missing reply.
const DECREASE_FACTOR: f64 = 0.85;
/// Divisor of a call's timeout that gives the time within which a reply is quick, in a small fleet.
const QUICK_REPLY_DIVISOR: Micros = 2;
/// Divisor of a call's timeout that gives the time within which a reply is quick, in a large fleet.
const LARGE_FLEET_QUICK_REPLY_DIVISOR: Micros = 4;
/// Time after a decrease in which slow replies are ignored: by its end the replies to calls made before the
/// decrease, which do not show its effect, have arrived.
const BACKOFF_COOLDOWN: Micros = 300_000;
/// Number of bits of a customer identifier, which is below 2^33; the bits above it in a counter key hold the
/// start of the window.
const CUSTOMER_BITS: u32 = 33;

/// A call to the shared counter for one customer.
#[derive(Clone, Copy)]
pub(crate) struct CounterCall {
    /// Customer whose usage the call reports.
    pub customer: CustomerId,
    /// Start of the window whose key is called.
    pub window_start: Micros,
    /// Start of the window for which the call is made; differs from `window_start` for a lookup of the
    /// previous window.
    pub current_window_start: Micros,
}

impl CounterCall {
    /// Returns the counter's key, which is the same for a customer and window at all gateways.
    pub fn key(&self) -> CounterId {
        CounterId(self.customer.0 ^ (self.window_start / 1_000) << CUSTOMER_BITS)
    }

    /// Returns whether the call only looks up the deficit that the previous window left.
    pub fn is_lookup(&self) -> bool {
        self.window_start != self.current_window_start
    }
}

/// The budget for calls to the shared counter and the calls in flight.
#[derive(Default)]
pub(crate) struct CounterCalls {
    /// Number of calls that may be made now.
    balance: f64,
    /// Number of calls that each request deposits in the budget.
    calls_per_request: f64,
    /// Time at which `calls_per_request` was last decreased.
    last_backoff_at: Micros,
    /// Divisor of a call's timeout that gives the time within which a reply is quick.
    quick_reply_divisor: Micros,
    /// Calls in flight, by counter key.
    in_flight: BTreeMap<CounterId, CounterCall>,
}

impl CounterCalls {
    /// Creates the initial budget. `is_large_fleet` states that the fleet has more than
    /// [`MAX_FEW_GATEWAYS`](crate::customer::MAX_FEW_GATEWAYS) gateways, which all call the counter.
    pub fn new(is_large_fleet: bool) -> CounterCalls {
        if is_large_fleet {
            CounterCalls {
                balance: LARGE_FLEET_INITIAL_BALANCE,
                calls_per_request: LARGE_FLEET_INITIAL_CALLS_PER_REQUEST,
                quick_reply_divisor: LARGE_FLEET_QUICK_REPLY_DIVISOR,
                ..CounterCalls::default()
            }
        } else {
            CounterCalls {
                balance: MAX_BALANCE / 2.0,
                calls_per_request: INITIAL_CALLS_PER_REQUEST,
                quick_reply_divisor: QUICK_REPLY_DIVISOR,
                ..CounterCalls::default()
            }
        }
    }

    /// Adds the calls that one request contributes to the budget.
    pub fn deposit_calls(&mut self) {
        self.balance = (self.balance + self.calls_per_request).min(MAX_BALANCE);
    }

    /// Returns whether the budget allows a call.
    pub fn allows_call(&self) -> bool {
        self.balance >= 1.0
    }

    /// Ensures that the budget allows one call.
    pub fn allow_one_call(&mut self) {
        self.balance = self.balance.max(1.0);
    }

    /// Returns whether a call that no request waits for leaves enough of the budget for requests.
    pub fn has_surplus(&self) -> bool {
        self.balance >= CALLS_RESERVED_FOR_REQUESTS
    }

    /// Returns whether a customer's overage costs enough to justify a call. The lower the balance, the higher
    /// the cost must be. The cost is divided by the demand, since other gateways call the counter for the
    /// customer as well.
    pub fn allows_call_for(&self, now: Micros, customer: &Customer, highest_overage_cost: f64) -> bool {
        let avoided_cost = customer.plan.weighted_overage_cost() / customer.demand.at(now).max(1.0);
        // Used fraction of the balance reserved for requests; negative while the balance exceeds it.
        let scarcity = 1.0 - self.balance / CALLS_RESERVED_FOR_REQUESTS;
        customer.is_served_by_few_gateways() || avoided_cost >= highest_overage_cost * scarcity
    }

    /// Returns the calls per request, for the successor process.
    pub fn calls_per_request(&self) -> f64 {
        self.calls_per_request
    }

    /// Restores the calls per request of the predecessor process.
    pub fn set_calls_per_request(&mut self, calls_per_request: f64) {
        self.calls_per_request = calls_per_request;
    }

    /// Records a call that is being sent.
    pub fn begin(&mut self, call: CounterCall) {
        self.balance -= 1.0;
        self.in_flight.insert(call.key(), call);
    }

    /// Removes and returns the call in flight for a key, which has ended.
    pub fn end(&mut self, key: CounterId) -> Option<CounterCall> {
        self.in_flight.remove(&key)
    }

    /// Returns whether a reply after the time `elapsed` is quick.
    pub fn is_quick(&self, elapsed: Micros, timeout: Option<Micros>) -> bool {
        timeout.is_none_or(|timeout| elapsed < timeout / self.quick_reply_divisor)
    }

    /// Increases the calls per request after a quick reply and decreases them after a slow one, so that all
    /// gateways call an overloaded or unresponsive counter less.
    pub fn adapt(&mut self, now: Micros, is_quick: bool) {
        if !is_quick && now < self.last_backoff_at + BACKOFF_COOLDOWN {
            return;
        }
        let factor = if is_quick { INCREASE_FACTOR } else { DECREASE_FACTOR };
        self.calls_per_request =
            (self.calls_per_request * factor).clamp(MIN_CALLS_PER_REQUEST, MAX_CALLS_PER_REQUEST);
        if !is_quick {
            self.last_backoff_at = now;
        }
    }
}
