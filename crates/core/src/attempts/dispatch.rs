//! Dispatch of a request's attempts: the decision whether the next one may be sent, made when the request
//! leaves the queue and after each attempt that ended without a final answer.

use super::retry_budget::retry_cost;
use crate::api::{Action, AnswerReason, Idempotency, Micros, RequestId, ServerId};
use crate::balancing::selection::deduplication_site;
use crate::gateway::Gateway;
use crate::requests::{Attempt, Request};
use crate::timer::Timer;

/// An attempt that may be sent, with its server and cost.
struct PreparedAttempt {
    server: ServerId,
    /// Expected latency at the server, in microseconds.
    expected_latency_us: f64,
    /// Cost to withdraw from the retry budget; `None` for the first attempt, which is charged to the
    /// customer.
    retry_cost: Option<f64>,
}

impl Gateway {
    /// Sends the next attempt of a request, or returns the reason why none may be sent now. No other function
    /// sends attempts.
    pub(crate) fn try_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> Result<(), AnswerReason> {
        let prepared = self.prepare_attempt(now, id)?;
        match prepared.retry_cost {
            None => self.charge_customer(id)?,
            Some(cost) => self.retry_budget.withdraw(cost),
        }
        self.send_attempt(now, id, &prepared, actions);
        Ok(())
    }

    /// Selects the server for the next attempt of a request. Fails if the rules, the retry budget, the
    /// expected latency or the load of the back end forbid an attempt.
    fn prepare_attempt(&mut self, now: Micros, id: RequestId) -> Result<PreparedAttempt, AnswerReason> {
        let request = self.requests.get(&id).ok_or(AnswerReason::RetryForbidden)?;
        if !self.is_attempt_allowed(now, request) {
            let is_over = request.response_late || now >= request.deadline;
            return Err(if is_over { AnswerReason::Deadline } else { AnswerReason::RetryForbidden });
        }
        let is_first = request.attempts.is_empty();
        let cost = retry_cost(request.first_attempt_that_may_have_run().is_some());
        if !is_first && !self.retry_budget.allows(cost) {
            return Err(AnswerReason::RetryBudgetExhausted);
        }
        let class = &self.settings.classes[request.class];
        let objective_us = class.latency_objective as f64;
        let objective_left_us = request.objective_left(now, class.latency_objective) as f64;
        let max_latency_us = if is_first { objective_us } else { objective_left_us };
        let weight = self.request_weight(request);
        let late_weight = weight * class.late_priority_weight;
        let choice = self.select_server(now, id, !is_first).ok_or(AnswerReason::NoServer)?;
        if choice.expected_latency_us > max_latency_us {
            return Err(AnswerReason::ExpectedLate);
        }
        let is_expected_late = objective_left_us < choice.expected_latency_us;
        if self.is_overloaded(now, if is_expected_late { late_weight } else { weight }) {
            return Err(AnswerReason::Overloaded);
        }
        Ok(PreparedAttempt {
            server: choice.server,
            expected_latency_us: choice.expected_latency_us,
            retry_cost: (!is_first).then_some(cost),
        })
    }

    /// Returns whether the rules allow another attempt of a request.
    fn is_attempt_allowed(&self, now: Micros, request: &Request) -> bool {
        let first = request.first_attempt_that_may_have_run();
        let may_repeat = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { window, .. } => {
                first.is_none_or(|attempt| now < attempt.sent_at + window)
            }
            Idempotency::NonIdempotent => first.is_none(),
        };
        let is_open = !request.finished && !request.response_started && now < request.deadline;
        may_repeat
            && is_open
            && !request.body_consumed
            && !request.response_late
            && !request.has_attempt_in_flight()
            && request.attempts.len() < self.max_attempts()
    }

    /// Returns the maximum number of attempts of one request.
    fn max_attempts(&self) -> usize {
        self.settings.capabilities.max_attempts as usize
    }

    /// Returns the priority weight of a request, scaled by the plan's overage weight if it is over the quota.
    fn request_weight(&self, request: &Request) -> f64 {
        let class = &self.settings.classes[request.class];
        let plan = &self.settings.plans[request.plan];
        let quota_factor = if request.within_quota { 1.0 } else { plan.overage_weight };
        plan.priority_weight(class) * quota_factor
    }

    /// Charges the units of a request to its customer for the first attempt, and deposits in the retry
    /// budget. Fails without a charge if the units would exceed the hard limit.
    fn charge_customer(&mut self, id: RequestId) -> Result<(), AnswerReason> {
        let over_limit = AnswerReason::OverHardLimit;
        let request = self.requests.get(&id).ok_or(over_limit)?;
        let customer = self.customers.get_mut(request.customer).ok_or(over_limit)?;
        if customer.hard_limit.is_exceeded_by(request.units, &customer.plan) {
            return Err(over_limit);
        }
        customer.hard_limit.take(request.units);
        if request.within_quota {
            customer.consume_units(request.units);
            self.changed_customers.insert(request.customer);
        }
        self.retry_budget.deposit();
        Ok(())
    }

    /// Sends an attempt and records it on its request and on its server.
    fn send_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        prepared: &PreparedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let attempt_timeout = self.attempt_timeout(now, id, prepared);
        self.load.record_send(now);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let server = prepared.server;
        let fully_sent = !request.body_incomplete;
        let idempotency = self.settings.classes[request.class].idempotency;
        let (rules, virtual_time) = (&self.settings.rules, &mut self.virtual_time);
        let attempt = self.servers.update(now, server, |record| {
            let attempt = Attempt {
                server,
                deduplication_site: deduplication_site(idempotency, &record.endpoint),
                sent_at: now,
                in_flight: true,
                may_have_run: false,
                expected_in_flight: record.expected_in_flight(now),
                uses_attempt_timeout: attempt_timeout.is_some(),
                fully_sent,
            };
            record.slow_start_budget -= 1.0;
            *virtual_time = virtual_time.max(record.virtual_time);
            record.virtual_time = *virtual_time + record.busy_time_us(now, rules);
            record.attempts_in_flight += u32::from(fully_sent);
            attempt
        });
        let Some(attempt) = attempt else { return };
        request.attempts.push(attempt);
        if fully_sent {
            self.load.record_fully_sent();
        }
        let timeout = attempt_timeout.unwrap_or(request.deadline - now);
        actions.push(Action::Send { id, server, timeout });
    }

    /// Returns the attempt timeout, or `None` if no retry could follow it: the latency objective, the retry
    /// budget, the rules and the other servers must all allow one.
    fn attempt_timeout(&self, now: Micros, id: RequestId, prepared: &PreparedAttempt) -> Option<Micros> {
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        let timeout = self.attempt_timeouts.timeout(request.class, class.latency_objective);
        let window_started_at =
            request.first_attempt_that_may_have_run().map_or(now, |attempt| attempt.sent_at);
        let is_within_deduplication_window = match class.idempotency {
            Idempotency::IdempotencyKey { window, .. } => now + timeout < window_started_at + window,
            Idempotency::Idempotent | Idempotency::NonIdempotent => true,
        };
        let has_alternative =
            is_within_deduplication_window && self.has_alternative(now, prepared.server, class.idempotency);
        let may_retry =
            request.attempts.len() + 1 < self.max_attempts() && self.retry_budget.allows_attempt_timeout();
        let objective_at =
            (request.arrived_at + class.latency_objective).saturating_sub(request.elapsed_before_arrival);
        let retry_answered_at = now + timeout + prepared.expected_latency_us as Micros;
        let is_in_time = retry_answered_at < objective_at.min(request.deadline);
        (has_alternative && may_retry && is_in_time).then_some(timeout)
    }

    /// Handles the complete receipt of a streamed body. The server begins work only now, so the attempt
    /// counts as sent now, and the request's time counts from when the last of the body reached this machine.
    pub(crate) fn body_completed(
        &mut self,
        now: Micros,
        id: RequestId,
        age: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.body_incomplete) else {
            return;
        };
        request.body_incomplete = false;
        request.restart_client_timeout(now.saturating_sub(age), self.shutdown_deadline);
        actions.push(Action::Timer { at: request.deadline, timer: Timer::RequestDeadline(id).into() });
        for attempt in request.attempts.iter_mut().filter(|attempt| attempt.in_flight) {
            attempt.sent_at = now;
            attempt.fully_sent = true;
            self.load.record_fully_sent();
            self.servers.update(now, attempt.server, |server| {
                attempt.expected_in_flight = server.expected_in_flight(now);
                server.attempts_in_flight += 1;
            });
        }
    }
}
