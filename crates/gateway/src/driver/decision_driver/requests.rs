//! What clients do: a request arrives, its body is completed, its client disconnects.

use super::{DecisionDriver, DriverState};
use crate::driver::request::{Answer, RequestHead, SubmittedRequest};
use crate::driver::request_table::OpenedRequest;
use crate::driver::timers::DueTimer;
use crate::servers::attempt::OutgoingRequest;
use grebehook_core::{AttemptStatus, Event, Micros, RequestId};
use hyper::header::HeaderValue;
use std::rc::Rc;
use std::time::Duration;

impl DecisionDriver {
    /// Enters a client's request; its time counts from when its last byte reached this machine, which is asked of
    /// the connection once that byte has been read. `None` while another one with the same client's id is pending.
    pub fn submit(
        self: &Rc<Self>,
        client_request_id: HeaderValue,
        head: RequestHead,
        outgoing: OutgoingRequest,
        newest_byte_age: impl Fn() -> Duration + 'static,
    ) -> Option<SubmittedRequest> {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let is_complete = outgoing.body.is_read_to_end();
        let age = if is_complete { newest_byte_age().as_micros() as Micros } else { 0 };
        let deadline = now + head.client_timeout.saturating_sub(age);
        let window = head.deduplication_window;
        let OpenedRequest { id, answer } =
            state.requests.open(client_request_id, outgoing, deadline, window)?;
        self.arm(&mut state, deadline, DueTimer::RequestDeadline(id));
        let body_incomplete = self.watch_body(&state, id, head.client_timeout, newest_byte_age);
        state.events.push_back(Event::RequestArrived(head.arrival(id, age, body_incomplete)));
        // The decision core must see the same time as the deadline timer was computed from: on a busy machine a
        // second reading of the clock can be late by more than the core's margin, and the deadline would then
        // come first.
        self.process_events_from(&mut state, now);
        Some(SubmittedRequest { id, answer, counter: self.request_counters.begin(head.class) })
    }

    /// Has [`DecisionDriver::body_complete`] called once all of a request's body is forwarded. Returns whether
    /// part of it is still to come.
    fn watch_body(
        self: &Rc<Self>,
        state: &DriverState,
        id: RequestId,
        client_timeout: Micros,
        newest_byte_age: impl Fn() -> Duration + 'static,
    ) -> bool {
        let Some(request) = state.requests.get(id) else { return false };
        let driver = self.clone();
        request
            .outgoing
            .body
            .on_forwarded(move || driver.body_complete(id, client_timeout, newest_byte_age()))
    }

    /// The last of a long body was forwarded: the request's time starts when that reached this machine.
    fn body_complete(self: &Rc<Self>, id: RequestId, client_timeout: Micros, age: Duration) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let Some(request) = state.requests.get_mut(id) else { return };
        let age = age.as_micros() as Micros;
        let deadline = now + client_timeout.saturating_sub(age);
        if let Some(attempt) = request.restart(now, deadline) {
            self.arm(&mut state, deadline, DueTimer::AttemptTimeout { id, attempt });
        }
        self.arm(&mut state, deadline, DueTimer::RequestDeadline(id));
        state.events.push_back(Event::BodyComplete { id, age });
        self.process_events_from(&mut state, now);
    }

    /// A request's client disconnected. Returns the request's final answer.
    pub fn client_disconnected(self: &Rc<Self>, id: RequestId) -> Answer {
        let mut state = self.state.borrow_mut();
        let Some(request) = state.requests.get_mut(id) else { return Answer::Failed };
        let answer = request.answer_without_response();
        if request.answer.take().is_none() {
            return answer;
        }
        let in_flight = request.in_flight.as_ref();
        let is_unwritten = in_flight.is_some_and(|attempt| !attempt.connection.request_written());
        state.events.push_back(Event::ClientDisconnected { id });
        // Nothing is sent for a request that is over, not even by an attempt that waits for its connection.
        if is_unwritten {
            self.abort_attempt(&mut state, id, AttemptStatus::NotSent);
        }
        state.requests.remove_if_finished(id);
        self.process_events(&mut state);
        answer
    }

    /// Ends a request at its deadline. The decision core is first notified that the attempt in flight timed out
    /// and may answer; if it does not, the request ends without its answer.
    pub(super) fn end_overdue(&self, state: &mut DriverState, id: RequestId) {
        let Some(request) = state.requests.get(id).filter(|request| request.answer.is_some()) else { return };
        // While the body is incomplete the deadline is not known yet.
        if request.outgoing.body.is_incomplete() || self.clock.now() < request.deadline {
            return;
        }
        if request.in_flight.is_some() {
            let deadline = request.deadline;
            self.abort_attempt(state, id, AttemptStatus::Timeout);
            self.arm(state, deadline, DueTimer::RequestDeadline(id));
            return;
        }
        self.log.left_unanswered();
        state.requests.answer(id, Answer::TimedOut);
        state.events.push_back(Event::ClientDisconnected { id });
    }
}
