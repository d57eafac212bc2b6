//! Admission of requests: an arriving request may be queued for its pacing delay or for the shared counter,
//! and is then forwarded or rejected according to the customer's quota.

pub(crate) mod client_timeouts;
mod final_answer;

use crate::api::{Action, AnswerReason, CustomerId, Micros, RequestArrival, RequestId};
use crate::customer::{Customer, UsageSource};
use crate::gateway::Gateway;
use crate::requests::Request;
use crate::timer::Timer;

/// Maximum fraction of the latency objective that queueing may use: the response needs the rest.
const MAX_QUEUEING_FRACTION_OF_OBJECTIVE: f64 = 0.15;
/// Maximum fraction of the client's remaining time, which may be far shorter than the objective, that
/// queueing may use.
const MAX_QUEUEING_FRACTION_OF_CLIENT_TIME: f64 = 0.25;
/// Margin before the client timeout, in batches of events: the delay between an answer and its delivery.
const MARGIN_BATCHES: Micros = 2;
/// Upper bound (exclusive) of the units that a valid request may specify.
const MAX_UNITS: f64 = 1e9;

impl Gateway {
    /// Validates an arriving request and admits it. Rejects a request that is invalid or has no time left for
    /// an answer.
    pub(crate) fn receive_request(
        &mut self,
        now: Micros,
        arrival: &RequestArrival,
        actions: &mut Vec<Action>,
    ) {
        if self.requests.contains_key(&arrival.id) {
            return;
        }
        let margin = MARGIN_BATCHES * self.settings.batch_interval;
        let time_left = arrival.client_timeout.saturating_sub(arrival.age);
        if !self.is_valid(arrival) {
            let reason = AnswerReason::Invalid;
            return actions.push(Action::Reject { id: arrival.id, retry_after: None, reason });
        }
        if time_left <= margin {
            let reason = AnswerReason::NoTimeLeft;
            return actions.push(Action::Reject { id: arrival.id, retry_after: None, reason });
        }
        let gateway_count = arrival.customer_gateway_count;
        self.ensure_customer(now, arrival.customer, arrival.plan, gateway_count, arrival.first_gateway);
        let latest_deadline = now.saturating_add(time_left - margin);
        let request = Request {
            class: arrival.class,
            plan: arrival.plan,
            customer: arrival.customer,
            units: arrival.units,
            arrived_at: now.saturating_sub(arrival.age),
            elapsed_before_arrival: self.elapsed_before_arrival(arrival),
            deadline: latest_deadline.min(self.shutdown_deadline),
            body_incomplete: arrival.body_incomplete,
            ..Request::default()
        };
        self.admit(now, arrival.id, request, actions);
    }

    /// Returns whether a request specifies a known class, a known plan and a plausible number of units.
    fn is_valid(&self, arrival: &RequestArrival) -> bool {
        let settings = &self.settings;
        arrival.class < settings.classes.len()
            && arrival.plan < settings.plans.len()
            && (0.0..MAX_UNITS).contains(&arrival.units)
    }

    /// Returns how much of the client's time earlier tries of the same request have used, in microseconds.
    fn elapsed_before_arrival(&mut self, arrival: &RequestArrival) -> Micros {
        let class_deadline = self.settings.classes[arrival.class].deadline;
        self.client_timeouts.record(arrival.class, arrival.client_timeout, class_deadline);
        let is_retry = if self.settings.capabilities.marks_retries {
            arrival.is_retry
        } else {
            self.client_timeouts.is_short(arrival.class, arrival.client_timeout)
        };
        if is_retry {
            class_deadline.saturating_sub(arrival.client_timeout)
        } else {
            0
        }
    }

    /// Creates the record of a customer if there is none, else updates which gateways serve the customer.
    pub(crate) fn ensure_customer(
        &mut self,
        now: Micros,
        id: CustomerId,
        plan_index: usize,
        gateway_count: usize,
        first_gateway: usize,
    ) {
        let Some(plan) = self.settings.plans.get(plan_index) else { return };
        let gateway_count = gateway_count.clamp(1, self.settings.gateway_count);
        if let Some(customer) = self.customers.get_mut(id) {
            customer.gateway_count = customer.gateway_count.max(gateway_count);
            customer.first_gateway = first_gateway;
            return;
        }
        let process_age = now - self.started_at;
        let customer = Customer::new(now, plan_index, plan, gateway_count, process_age);
        self.customers.insert(id, Customer { first_gateway, ..customer });
    }

    /// Forwards a request within the quota at once and queues any other for its pacing delay. If the shared
    /// counter has to be called first, the request is queued for the reply, up to the longest queueing time.
    fn admit(&mut self, now: Micros, id: RequestId, request: Request, actions: &mut Vec<Action>) {
        let customer_id = request.customer;
        let max_queueing_us = self.max_queueing_us(now, &request);
        let Some(customer) = self.customers.get(customer_id) else { return };
        let source = self.usage_source(now, customer);
        self.gossip.deposit_entries();
        self.counter_calls.deposit_calls();
        let class = &self.settings.classes[request.class];
        let weight = self.settings.plans[request.plan].priority_weight(class);
        let is_quota_irrelevant = self.is_overage_acceptable(request.plan) || self.is_overloaded(now, weight);
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        customer.record_arrival(now, request.units, source, max_queueing_us / 1e3);
        let is_within_quota = customer.is_within_quota(now, request.units, source);
        let dequeue_at = customer.pacer.dequeue_at(now, max_queueing_us as Micros);
        let needs_counter = !is_quota_irrelevant
            && self.settings.capabilities.shared_counter
            && customer.needs_counter_total(request.units, source)
            && self.counter_calls.allows_call_for(now, customer, self.highest_overage_cost);
        // While demand exceeds the quota, the request may be rejected, so no units are reserved for it.
        let reserved_units = if customer.demand.at(now) > 1.0 { 0.0 } else { request.units };
        actions.push(Action::Timer { at: request.deadline, timer: Timer::RequestDeadline(id).into() });
        let waits_for_counter = needs_counter && self.call_counter(now, customer_id, reserved_units, actions);
        let queued = waits_for_counter || !is_within_quota && dequeue_at > now;
        let deadline = request.deadline;
        self.requests.insert(id, Request { queued, ..request });
        if !queued {
            return self.dequeue(now, id, actions);
        }
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        let dequeue_at = if waits_for_counter {
            customer.counter.queue(id);
            now + max_queueing_us as Micros
        } else {
            customer.pacer.set_last_dequeue_at(dequeue_at);
            dequeue_at
        };
        actions.push(Action::Timer { at: dequeue_at.min(deadline), timer: Timer::QueueTimeout(id).into() });
    }

    /// Returns the longest time that a request may be queued, in microseconds.
    fn max_queueing_us(&self, now: Micros, request: &Request) -> f64 {
        let objective = self.settings.classes[request.class].latency_objective as f64;
        let client_time = request.deadline.saturating_sub(now) as f64;
        (objective * MAX_QUEUEING_FRACTION_OF_OBJECTIVE)
            .min(client_time * MAX_QUEUEING_FRACTION_OF_CLIENT_TIME)
    }

    /// Ends the queueing of a request: forwards it if it is within the quota or overage is acceptable, else
    /// rejects it.
    pub(crate) fn dequeue(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.finished) else { return };
        request.queued = false;
        let units = request.units;
        let customer_id = request.customer;
        let class = request.class;
        let plan_index = request.plan;
        let is_overage_acceptable = self.is_overage_acceptable(plan_index);
        let Some(customer) = self.customers.get(customer_id) else { return };
        let source = self.usage_source(now, customer);
        let Some(customer) = self.customers.get_mut(customer_id) else { return };
        customer.refill(now, units, source);
        grant_quota_share(customer, now, units, source);
        let within_quota = customer.is_within_quota(now, units, source);
        if !within_quota && !is_overage_acceptable {
            let retry_after = (customer.seconds_until_available(now, units, source) * 1e6) as Micros;
            return self.reject_or_fail(id, retry_after, AnswerReason::OverQuota, actions);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.within_quota = within_quota;
        }
        if let Err(reason) = self.try_attempt(now, id, actions) {
            let retry_after = self.settings.classes[class].latency_objective / 2;
            self.reject_or_fail(id, retry_after, reason, actions);
        }
    }
}

/// Grants an allowance in proportion to the ratio of the quota to the customer's demand, if usage is known
/// from usage reports and demand exceeds the quota: with a demand of three quotas, a third of each request's
/// units.
fn grant_quota_share(customer: &mut Customer, now: Micros, units: f64, source: UsageSource) {
    let demand = customer.demand.at(now);
    if source == UsageSource::Reported && demand > 1.0 {
        customer.bucket.grant_allowance(units / demand, units);
    }
}
