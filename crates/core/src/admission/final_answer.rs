//! Final answers to requests that no server answered, and the end of requests.

use crate::api::{Action, AnswerReason, DeduplicationScope, Idempotency, Micros, RequestId};
use crate::gateway::Gateway;
use crate::requests::Request;
use crate::timer::Timer;

impl Gateway {
    /// Gives a request its final answer: a rejection if it is safe to retry, otherwise a failure. No other
    /// function answers an admitted request.
    pub(crate) fn reject_or_fail(
        &mut self,
        id: RequestId,
        retry_after: Micros,
        reason: AnswerReason,
        actions: &mut Vec<Action>,
    ) {
        let is_open = |request: &&Request| !request.finished && !request.response_started;
        let Some(request) = self.requests.get(&id).filter(is_open) else { return };
        actions.push(if self.is_safe_to_retry(request) {
            Action::Reject { id, retry_after: self.capped_retry_after(retry_after), reason }
        } else {
            Action::Fail { id, reason }
        });
        if self.settings.capabilities.cancellation {
            let in_flight = (0..).zip(&request.attempts).filter(|(_, attempt)| attempt.in_flight);
            actions.extend(in_flight.map(|(attempt, _)| Action::Cancel { id, attempt }));
        }
        self.finish_request(id);
    }

    /// Returns whether the client can retry a request without its taking effect twice.
    fn is_safe_to_retry(&self, request: &Request) -> bool {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => {
                true
            }
            Idempotency::IdempotencyKey { .. } | Idempotency::NonIdempotent => {
                request.first_attempt_that_may_take_effect().is_none()
            }
        }
    }

    /// Returns the `Retry-After` time for the client, at most the configured maximum; `None` if it is 0 or
    /// the deployment does not allow it.
    fn capped_retry_after(&self, retry_after: Micros) -> Option<Micros> {
        let capabilities = &self.settings.capabilities;
        let capped = retry_after.min(capabilities.max_retry_after);
        Some(capped).filter(|capped| capabilities.retry_after && *capped > 0)
    }

    /// Marks a request as finished and removes its record once no attempt is in flight.
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

    /// Limits all deadlines to the end of this process, since requests still open then would never be
    /// answered.
    pub(crate) fn begin_shutdown(&mut self, deadline: Micros, actions: &mut Vec<Action>) {
        self.shutdown_deadline = deadline;
        for (id, request) in self.requests.iter_mut().filter(|(_, request)| request.deadline > deadline) {
            request.deadline = deadline;
            actions.push(Action::Timer { at: deadline, timer: Timer::RequestDeadline(*id).into() });
        }
    }

    /// Extends the deadline of a request whose response has begun to arrive, at most until the end of this
    /// process.
    pub(crate) fn await_late_response(&mut self, id: RequestId, deadline: Micros, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.response_late = true;
        request.deadline = deadline.max(request.deadline).min(self.shutdown_deadline);
        actions.push(Action::Timer { at: request.deadline, timer: Timer::RequestDeadline(id).into() });
    }

    /// Answers a request whose deadline has passed. The deadline does not apply while part of the body is
    /// still to be received.
    pub(crate) fn expire_request(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let is_due = |request: &Request| !request.body_incomplete && now >= request.deadline;
        if self.requests.get(&id).is_some_and(is_due) {
            self.reject_or_fail(id, 0, AnswerReason::Deadline, actions);
        }
    }

    /// Ends the queueing of a request whose queue timeout has expired.
    pub(crate) fn expire_queued_request(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(|request| request.queued) {
            self.dequeue(now, id, actions);
        }
    }
}
