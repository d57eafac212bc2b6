//! Calls to the shared counter: which usage is reported, and when.

use crate::api::{Action, CustomerId, Micros};
use crate::customer::counter_account::COUNTER_KEY_LIFETIME;
use crate::gateway::Gateway;
use crate::quota::counter_calls::CounterCall;

/// Maximum number of customers that a tick visits; the others wait for the next one.
const MAX_CUSTOMERS_PER_TICK: usize = 1_000;

impl Gateway {
    /// Adds the units not reported yet, and `reserve` units for a waiting request, to the shared counter,
    /// with at most one call in flight per customer. Returns whether a call is in flight now.
    pub(crate) fn call_counter(
        &mut self,
        now: Micros,
        id: CustomerId,
        reserve: f64,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(customer) = self.customers.get_mut(id) else { return false };
        if customer.counter.has_call_in_flight() {
            return true;
        }
        if !self.counter_calls.allows_call() {
            return false;
        }
        let amount = customer.counter.begin_call(reserve);
        let window_start = customer.counter_window_start(now, id);
        self.send_counter_call(
            CounterCall { customer: id, window_start, current_window_start: window_start },
            amount,
            actions,
        );
        true
    }

    /// Sends a call to the counter.
    pub(crate) fn send_counter_call(&mut self, call: CounterCall, amount: f64, actions: &mut Vec<Action>) {
        self.counter_calls.begin(call);
        actions.push(Action::AddToCounter { counter: call.key(), amount, ttl: COUNTER_KEY_LIFETIME });
    }

    /// Reports usage that no request waits for to the counter and to peers.
    pub(crate) fn report_changed_customers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for id in self.changed_customers.take(MAX_CUSTOMERS_PER_TICK) {
            self.entries_visited_by_ticks += 1;
            let Some(customer) = self.customers.get(id) else { continue };
            let unreported = customer.counter.unreported_units();
            let may_call =
                customer.is_served_by_few_gateways() || unreported < 0.0 || self.counter_calls.has_surplus();
            let is_due = self.settings.capabilities.shared_counter
                && unreported != 0.0
                && !self.is_overage_acceptable(customer.plan_index);
            if self.gossip.is_full_mesh() && customer.peer_usage.is_repeated() {
                self.publish(id);
            }
            if !is_due {
                continue;
            }
            let is_reported = may_call && self.call_counter(now, id, 0.0, actions);
            if !is_reported || !self.counter_calls.allows_call() {
                self.changed_customers.insert(id);
            }
        }
    }
}
