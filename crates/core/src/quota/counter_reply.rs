//! Handling of the shared counter's replies: the update of a customer's bucket, by one strategy for few
//! gateways and another for many, and the actions that follow.

use crate::api::{Action, CounterId, CounterResult, CustomerId, Micros, RequestId};
use crate::customer::counter_account::{CounterTotal, COUNTER_KEY_LIFETIME, FRESH_TOTAL_MAX_AGE};
use crate::customer::token_bucket::{max_deficit, MAX_OVERDRAFT_FRACTION};
use crate::customer::{Customer, UsageSource};
use crate::decaying_rate::seconds;
use crate::gateway::Gateway;
use crate::quota::counter_calls::CounterCall;
use crate::quota::MAX_DEMAND;

/// Demand, in multiples of the quota, that is assumed for a customer whose bucket is empty by the counter's
/// total.
const EMPTY_BUCKET_DEMAND: f64 = 2.0;
/// Factor on the demand assumed so far if the bucket is still empty and many gateways serve the customer.
const STILL_EMPTY_DEMAND_FACTOR: f64 = 1.5;

impl Gateway {
    /// Handles the end of a counter call.
    pub(crate) fn apply_counter_reply(
        &mut self,
        now: Micros,
        counter: CounterId,
        result: CounterResult,
        elapsed: Micros,
        actions: &mut Vec<Action>,
    ) {
        let random_fraction = self.random_source.next_fraction();
        let has_total = matches!(result, CounterResult::Total(_));
        let timeout = self.settings.capabilities.counter_timeout;
        let is_quick = has_total && self.counter_calls.is_quick(elapsed, timeout);
        self.counter_calls.adapt(now, is_quick);
        let Some(call) = self.counter_calls.end(counter) else { return };
        let Some(customer) = self.customers.get_mut(call.customer) else { return };
        let completed = customer.counter.end_call();
        match result {
            CounterResult::Total(total) if total.is_finite() => {
                let counter_total = CounterTotal { total, added: completed.units };
                self.apply_total(now, call, counter_total, random_fraction, actions);
            }
            CounterResult::Unknown => customer.counter.record_missing_reply(completed.units),
            CounterResult::Total(_) | CounterResult::Refused => {
                customer.counter.record_refusal(completed.units);
            }
        }
        self.changed_customers.insert(call.customer);
        self.dequeue_all(now, completed.queued_requests, actions);
        if has_total {
            self.correct_total(now, call.customer, actions);
        }
    }

    /// Applies a total of the counter to the customer's bucket.
    fn apply_total(
        &mut self,
        now: Micros,
        call: CounterCall,
        counter_total: CounterTotal,
        random_fraction: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(customer) = self.customers.get_mut(call.customer) else { return };
        customer.refill(now, 0.0, UsageSource::Exact);
        if customer.is_served_by_few_gateways() {
            apply_total_of_few_gateways(customer, counter_total);
        } else if call.is_lookup() {
            let deficit = customer.counter.carry_over_deficit(counter_total.total, &customer.plan);
            customer.bucket.set_level(customer.bucket.level() - deficit);
        } else if counter_total.before() == 0.0 && may_carry_over_deficit(customer, now, call.window_start) {
            // The first call in a window looks up the deficit that the previous window left.
            customer.counter.begin_lookup(counter_total.total);
            let lookup = CounterCall { window_start: call.window_start - COUNTER_KEY_LIFETIME, ..call };
            self.send_counter_call(lookup, 0.0, actions);
        } else {
            let elapsed = now - call.window_start;
            let level =
                customer.counter.level_from_total(elapsed, counter_total, &customer.plan, random_fraction);
            if let Some(level) = level {
                customer.bucket.set_level(level);
            }
        }
        let Some(customer) = self.customers.get_mut(call.customer) else { return };
        customer.counter.record_reply(now);
        if !customer.is_served_by_few_gateways() {
            customer.bucket.allow_whole_level();
        }
        assume_demand_of_empty_bucket(customer, now);
    }

    /// Dequeues the requests that waited for the counter.
    fn dequeue_all(&mut self, now: Micros, ids: Vec<RequestId>, actions: &mut Vec<Action>) {
        for id in ids {
            if self.requests.get(&id).is_some_and(|request| request.queued) {
                self.dequeue(now, id, actions);
            }
        }
    }

    /// Calls the counter at once, without waiting for the next tick, where many gateways rely on its total
    /// and the total lacks a correction or includes a reservation of a request that was not forwarded.
    fn correct_total(&mut self, now: Micros, id: CustomerId, actions: &mut Vec<Action>) {
        let Some(customer) = self.customers.get(id) else { return };
        let may_call = !customer.is_served_by_few_gateways() && !customer.counter.has_call_in_flight();
        if may_call && customer.counter.needs_correction() {
            self.counter_calls.allow_one_call();
            self.call_counter(now, id, 0.0, actions);
        }
    }
}

/// Applies a total where few gateways serve the customer. Peers used their units while the bucket was
/// refilled, so their usage is first taken from the units that overflowed it. Simultaneous usage by several
/// gateways, each relying on a total of some age, overdraws the bucket; usage beyond that was rejected.
fn apply_total_of_few_gateways(customer: &mut Customer, counter_total: CounterTotal) {
    let peer_usage = customer.counter.peer_usage_since_last_total(counter_total);
    let plan = &customer.plan;
    let simultaneous_usage = seconds(FRESH_TOTAL_MAX_AGE) * plan.rate * customer.gateway_count as f64;
    let max_overdraft = simultaneous_usage.min(plan.burst * MAX_OVERDRAFT_FRACTION);
    let level = customer.bucket.level();
    let min_level = level.min(-max_overdraft);
    let overflow = customer.counter.take_overflow();
    customer.bucket.set_level((level + overflow - peer_usage).clamp(min_level, plan.burst));
}

/// Returns whether a deficit of the previous window may still affect the current one, given its refill since.
fn may_carry_over_deficit(customer: &Customer, now: Micros, window_start: Micros) -> bool {
    let refilled = customer.plan.rate * seconds(now - window_start);
    window_start >= COUNTER_KEY_LIFETIME && refilled < max_deficit(&customer.plan)
}

/// Assumes a demand over the quota if the bucket is empty by the counter's total.
fn assume_demand_of_empty_bucket(customer: &mut Customer, now: Micros) {
    let known = customer.demand.at(now);
    let assumed = if customer.is_served_by_few_gateways() {
        EMPTY_BUCKET_DEMAND
    } else {
        (STILL_EMPTY_DEMAND_FACTOR * known).clamp(EMPTY_BUCKET_DEMAND, MAX_DEMAND)
    };
    if customer.bucket.level() < 1.0 && known < assumed {
        customer.record_demand(now, assumed, 0.0);
    }
}
