//! Calls of the shared counter: which use is reported, and when a request is worth a call.

use crate::api::{Action, CustomerId, Micros};
use crate::customer::counter_account::COUNTER_KEY_LIFETIME;
use crate::customer::{Customer, UsageSource};
use crate::gateway::Gateway;
use crate::quota::counter_calls::PendingCall;

/// Customers whose use is looked at in a tick; the others wait for the next one.
const MAX_CUSTOMERS_PER_TICK: usize = 1_000;
/// Part of the burst: with a fresh total and this much in the bucket a request needs no call, but with less
/// others may empty it meanwhile.
const SURE_LEVEL_OF_BURST: f64 = 0.5;

impl Gateway {
    /// Adds what is not reported yet, and what is reserved for a waiting request, to the shared counter, one
    /// call at a time for each customer. Whether a call is in flight now.
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
        let window = customer.counter_window(now, id);
        self.send_counter_call(PendingCall { customer: id, window, for_window: window }, amount, actions);
        true
    }

    /// Sends a call to the counter.
    pub(crate) fn send_counter_call(&mut self, call: PendingCall, amount: f64, actions: &mut Vec<Action>) {
        self.counter_calls.begin(call);
        actions.push(Action::AddToCounter { counter: call.key(), amount, ttl: COUNTER_KEY_LIFETIME });
    }

    /// Whether a request of so many units should wait for the counter: others' use is not known well enough,
    /// and use over the quota costs enough for one of the calls that are left.
    pub(crate) fn needs_counter(
        &self,
        now: Micros,
        customer: &Customer,
        units: f64,
        source: UsageSource,
    ) -> bool {
        let sure_level = SURE_LEVEL_OF_BURST * customer.plan.burst;
        let is_sure = source == UsageSource::Exact && customer.bucket.level() >= sure_level;
        self.settings.capabilities.shared_counter
            && self.is_worth_call(now, customer)
            && !is_sure
            && !customer.demand.is_low()
            && customer.bucket.level() >= units
    }

    /// Whether a customer's use over the quota costs enough for one of the calls that are left: the fewer
    /// there are, the more it must cost, and it counts less where other gateways try as well.
    fn is_worth_call(&self, now: Micros, customer: &Customer) -> bool {
        let overage_cost = customer.plan.weight_multiplier * customer.plan.overage_cost;
        let gain = overage_cost / customer.demand.at(now).max(1.0);
        customer.is_shared_by_few() || gain >= self.highest_overage_cost * self.counter_calls.scarcity()
    }

    /// Reports use that no request waits for, to the counter and to other gateways.
    pub(crate) fn report_changed_customers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for id in self.changed_customers.take(MAX_CUSTOMERS_PER_TICK) {
            self.entries_examined += 1;
            let Some(customer) = self.customers.get(id) else { continue };
            let unreported = customer.counter.unreported_units();
            let may_call =
                customer.is_shared_by_few() || unreported < 0.0 || self.counter_calls.has_surplus();
            let is_due = self.settings.capabilities.shared_counter
                && unreported != 0.0
                && !self.overage_is_acceptable(customer.plan_index);
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
