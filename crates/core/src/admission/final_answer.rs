//! The final answer of a request that no server answered, and the end of a request.

use crate::api::{Action, DeduplicationScope, Idempotency, Micros, RequestId};
use crate::gateway::Gateway;
use crate::requests::Request;
use crate::timer::Timer;

impl Gateway {
    /// The only place that gives a final answer: a rejection where a retry does no harm, else a failure.
    pub(crate) fn reject_or_fail(&mut self, id: RequestId, retry_after: Micros, actions: &mut Vec<Action>) {
        let is_open = |request: &&Request| !request.finished && !request.response_started;
        let Some(request) = self.requests.get(&id).filter(is_open) else { return };
        actions.push(if self.is_retry_harmless(request) {
            Action::Reject { id, retry_after: self.retry_advice(retry_after) }
        } else {
            Action::Fail { id }
        });
        if self.settings.capabilities.cancellation {
            let in_flight = (0..).zip(&request.attempts).filter(|(_, attempt)| attempt.in_flight);
            actions.extend(in_flight.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
        self.finish_request(id);
    }

    /// Whether the client may retry a request without its effect happening twice.
    fn is_retry_harmless(&self, request: &Request) -> bool {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => {
                true
            }
            Idempotency::IdempotencyKey { .. } | Idempotency::NonIdempotent => {
                request.first_that_may_run().is_none()
            }
        }
    }

    /// What clients are told of when to retry, if they may be told.
    fn retry_advice(&self, retry_after: Micros) -> Option<Micros> {
        let capabilities = &self.settings.capabilities;
        let advice = retry_after.min(capabilities.max_retry_after);
        Some(advice).filter(|advice| capabilities.retry_after && *advice > 0)
    }

    /// Ends a request; its record stays while an attempt is in flight.
    pub(crate) fn finish_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let was_finished = std::mem::replace(&mut request.finished, true);
        let customer = self.customers.get_mut(request.customer).filter(|_| !was_finished);
        if let Some(customer) = customer {
            customer.in_flight = customer.in_flight.saturating_sub(1);
        }
        if !request.has_attempt_in_flight() {
            self.requests.remove(&id);
        }
    }

    /// Limits all deadlines to the end of this process: a request still open then would never be answered.
    pub(crate) fn begin_shutdown(&mut self, deadline: Micros, actions: &mut Vec<Action>) {
        self.shutdown_deadline = deadline;
        for (id, request) in self.requests.iter_mut().filter(|(_, request)| request.deadline > deadline) {
            request.deadline = deadline;
            actions.push(Action::Timer { at: deadline, timer: Timer::RequestDeadline(*id).into() });
        }
    }

    /// Answers a request at its deadline. Its time does not count while part of its body is still to come.
    pub(crate) fn expire_request(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let is_due = |request: &Request| !request.body_incomplete && now >= request.deadline;
        if self.requests.get(&id).is_some_and(is_due) {
            self.reject_or_fail(id, 0, actions);
        }
    }

    /// Ends the queueing of a request that has waited long enough.
    pub(crate) fn expire_queueing(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(|request| request.queued) {
            self.dequeue(now, id, actions);
        }
    }
}
