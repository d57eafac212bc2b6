//! What a reply of the shared counter means for a customer's bucket, by one strategy for few gateways and
//! another for many, and what follows it.

use crate::api::{Action, CounterId, CounterResult, CustomerId, Micros, RequestId};
use crate::customer::counter_account::{CountedTotal, COUNTER_KEY_LIFETIME, TOTAL_FRESH_FOR};
use crate::customer::token_bucket::{max_deficit, MAX_DEBT_OF_BURST};
use crate::customer::{Customer, UsageSource};
use crate::decaying_rate::seconds;
use crate::gateway::Gateway;
use crate::quota::counter_calls::PendingCall;
use crate::quota::MAX_DEMAND;

/// Demand, in multiples of the quota, that is assumed of a customer whose bucket the counter shows to be
/// empty.
const EMPTY_BUCKET_DEMAND: f64 = 2.0;
/// Factor on the demand assumed before, if the bucket is empty again and many gateways serve the customer.
const STILL_EMPTY_FACTOR: f64 = 1.5;

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
        let fraction = self.random_source.next_fraction();
        let has_total = matches!(result, CounterResult::Total(_));
        let timeout = self.settings.capabilities.counter_timeout;
        let is_quick = has_total && self.counter_calls.is_quick(elapsed, timeout);
        self.counter_calls.adapt(now, is_quick);
        let Some(call) = self.counter_calls.end(counter) else { return };
        let Some(customer) = self.customers.get_mut(call.customer) else { return };
        let completed = customer.counter.end_call();
        match result {
            CounterResult::Total(total) if total.is_finite() => {
                let counted = CountedTotal { total, added: completed.units };
                self.apply_total(now, call, counted, fraction, actions);
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

    /// Applies a total of the counter.
    fn apply_total(
        &mut self,
        now: Micros,
        call: PendingCall,
        counted: CountedTotal,
        fraction: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(customer) = self.customers.get_mut(call.customer) else { return };
        customer.refill(now, 0.0, UsageSource::Exact);
        if customer.is_shared_by_few() {
            apply_total_of_few(customer, counted);
        } else if call.is_lookup() {
            let deficit = customer.counter.carry_over_deficit(counted.total, &customer.plan);
            customer.bucket.set_level(customer.bucket.level() - deficit);
        } else if counted.before() == 0.0 && may_owe_previous_window(customer, now, call.window) {
            // The first to call in a window looks up what the window before left owing.
            customer.counter.begin_lookup(counted.total);
            let lookup = PendingCall { window: call.window - COUNTER_KEY_LIFETIME, ..call };
            self.send_counter_call(lookup, 0.0, actions);
        } else {
            let elapsed = now - call.window;
            let level = customer.counter.level_by_shared_total(elapsed, counted, &customer.plan, fraction);
            if let Some(level) = level {
                customer.bucket.set_level(level);
            }
        }
        let Some(customer) = self.customers.get_mut(call.customer) else { return };
        customer.counter.record_reply(now);
        if !customer.is_shared_by_few() {
            customer.bucket.allow_whole_level();
        }
        assume_demand_of_empty_bucket(customer, now);
    }

    /// Ends the queueing of requests that waited for the counter.
    fn dequeue_all(&mut self, now: Micros, ids: Vec<RequestId>, actions: &mut Vec<Action>) {
        for id in ids {
            if self.requests.get(&id).is_some_and(|request| request.queued) {
                self.dequeue(now, id, actions);
            }
        }
    }

    /// Corrects the total at once where many gateways go by it: what it lacks, and what it holds for a
    /// request that was not forwarded, does not wait for the next tick.
    fn correct_total(&mut self, now: Micros, id: CustomerId, actions: &mut Vec<Action>) {
        let Some(customer) = self.customers.get(id) else { return };
        let may_call = !customer.is_shared_by_few() && !customer.counter.has_call_in_flight();
        if may_call && customer.counter.needs_correction() {
            self.counter_calls.allow_one();
            self.call_counter(now, id, 0.0, actions);
        }
    }
}

/// Applies a total where few gateways serve the customer. Others used their units while the bucket filled, so
/// first of all what it could not hold. What several used at once, each by a total of some age, becomes a
/// debt; use beyond that was rejected.
fn apply_total_of_few(customer: &mut Customer, counted: CountedTotal) {
    let others = customer.counter.use_of_others(counted);
    let plan = &customer.plan;
    let simultaneous_use = seconds(TOTAL_FRESH_FOR) * plan.rate * customer.gateway_count as f64;
    let max_debt = simultaneous_use.min(plan.burst * MAX_DEBT_OF_BURST);
    let level = customer.bucket.level();
    let min_level = level.min(-max_debt);
    let overflow = customer.counter.take_overflow();
    customer.bucket.set_level((level + overflow - others).clamp(min_level, plan.burst));
}

/// Whether what the window before left owing may still bear on one that began then.
fn may_owe_previous_window(customer: &Customer, now: Micros, window: Micros) -> bool {
    let refilled = customer.plan.rate * seconds(now - window);
    window >= COUNTER_KEY_LIFETIME && refilled < max_deficit(&customer.plan)
}

/// Assumes a demand over the quota where the counter shows the bucket to be empty.
fn assume_demand_of_empty_bucket(customer: &mut Customer, now: Micros) {
    let known = customer.demand.at(now);
    let assumed = if customer.is_shared_by_few() {
        EMPTY_BUCKET_DEMAND
    } else {
        (STILL_EMPTY_FACTOR * known).clamp(EMPTY_BUCKET_DEMAND, MAX_DEMAND)
    };
    if customer.bucket.level() < 1.0 && known < assumed {
        customer.record_demand(now, assumed, 0.0);
    }
}
