//! Handles clients' requests: their arrival, the end of their bodies, disconnecting clients, and deadlines.

use super::{DecisionDriver, DriverState};
use crate::driver::pending_request::NewRequest;
use crate::driver::request::{Answer, ClientInput, RequestHead, SubmittedRequest};
use crate::driver::request_table::InsertedRequest;
use crate::driver::timers::Timer;
use crate::operations::request_events::RequestEvent;
use crate::servers::attempt::OutgoingRequest;
use grebehook_core::{AttemptStatus, Event, Micros, RequestId};
use hyper::header::HeaderValue;
use std::rc::Rc;

/// Interval between checks of a request whose body is incomplete, in microseconds. If a server begins to hold the body
/// back meanwhile, the request is answered late by at most this interval.
const UPLOAD_CHECK_INTERVAL: Micros = 50_000;

impl DecisionDriver {
    /// Submits a client's request to the decision core. The client timeout runs from the arrival of the
    /// request's last byte at this machine, which `input` tells. Returns `None` while another request with the same `client_request_id` is pending, or may have run and must not run again.
    pub fn submit(
        self: &Rc<Self>,
        client_request_id: HeaderValue,
        head: RequestHead,
        outgoing: OutgoingRequest,
        input: Rc<dyn ClientInput>,
    ) -> Option<SubmittedRequest> {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let is_complete = outgoing.body.is_read_to_end();
        let age = if is_complete { input.newest_byte_age().at_least.as_micros() as Micros } else { 0 };
        let deadline = now + head.client_timeout.saturating_sub(age);
        let held_back_since = outgoing.body.held_back_since().map(|time| self.clock.micros_at(time));
        let DriverState { requests, id_exchange, .. } = &mut *state;
        id_exchange.receive(now, requests.recent_ids());
        let InsertedRequest { id, answer } = requests.insert(NewRequest {
            client_request_id,
            outgoing,
            deadline,
            client_timeout: head.client_timeout,
            input,
            submitted_at: now,
            held_back_since,
            deduplication_window: head.deduplication_window,
            id_guard_time: head.id_guard_time,
        })?;
        let body_incomplete = self.notify_when_body_forwarded(&state, id);
        let first_check = if body_incomplete { now + UPLOAD_CHECK_INTERVAL } else { deadline };
        self.arm(&mut state, first_check, Timer::RequestDeadline(id));
        state.events.push_back(Event::RequestArrived(head.arrival(id, age, body_incomplete)));
        // The decision core must receive the time from which the deadline timer was computed. On a busy
        // machine, a second reading of the clock can be later by more than the core's margin, and the
        // deadline would then fall due before the core's own timer.
        self.process_events_at(&mut state, now);
        Some(SubmittedRequest { id, answer, counter: self.request_counters.begin(head.class) })
    }

    /// Arranges for [`DecisionDriver::handle_body_forwarded`] to be called once a request's body has been
    /// forwarded completely. Returns whether part of the body has yet to be forwarded.
    fn notify_when_body_forwarded(self: &Rc<Self>, state: &DriverState, id: RequestId) -> bool {
        let Some(request) = state.requests.get(id) else { return false };
        let driver = self.clone();
        request.outgoing.body.on_forwarded(move || driver.handle_body_forwarded(id))
    }

    /// Restarts the client timeout after the last part of a streamed body has been forwarded. The timeout
    /// runs from the arrival of that part at this machine.
    fn handle_body_forwarded(self: &Rc<Self>, id: RequestId) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let Some(request) = state.requests.get_mut(id) else { return };
        let age = request.age_of_last_byte(now);
        let attempt = request.restart_timeouts(now, age);
        let deadline = request.deadline;
        request.set_response_deadline(&self.clock, deadline);
        if let Some(attempt) = attempt {
            self.arm(&mut state, deadline, Timer::AttemptTimeout { id, attempt });
        }
        self.arm(&mut state, deadline, Timer::RequestDeadline(id));
        state.events.push_back(Event::BodyComplete { id, age });
        self.process_events_at(&mut state, now);
    }

    /// Ends a request whose client has disconnected, and returns its final answer.
    pub fn handle_client_disconnect(self: &Rc<Self>, id: RequestId) -> Answer {
        let mut state = self.state.borrow_mut();
        let Some(request) = state.requests.get_mut(id) else { return Answer::Failed };
        let answer = request.answer_without_response();
        if request.answer.take().is_none() {
            return answer;
        }
        let in_flight = request.in_flight.as_ref();
        let is_unwritten = in_flight.is_some_and(|attempt| !attempt.connection.request_written());
        state.events.push_back(Event::ClientDisconnected { id });
        // Nothing may be sent for a request that has ended, including by an attempt that waits for its
        // connection.
        if is_unwritten {
            self.abort_attempt(&mut state, id, AttemptStatus::NotSent);
        }
        state.requests.remove_if_finished(self.clock.now(), id);
        self.process_events(&mut state);
        answer
    }

    /// Ends a request at its deadline. If an attempt is in flight, this first reports its timeout to the
    /// decision core, which may then answer the request. If the core does not answer, the driver answers
    /// [`Answer::TimedOut`].
    pub(super) fn expire_request(&self, state: &mut DriverState, id: RequestId) {
        let Some(request) = state.requests.get(id).filter(|request| request.answer.is_some()) else { return };
        if request.outgoing.body.is_incomplete() {
            return self.check_upload(state, id);
        }
        if self.clock.now() < request.deadline {
            return;
        }
        if request.in_flight.is_some() {
            let deadline = request.deadline;
            self.abort_attempt(state, id, AttemptStatus::Timeout);
            self.arm(state, deadline, Timer::RequestDeadline(id));
            return;
        }
        self.log.log_unanswered_request();
        state.requests.answer(self.clock.now(), id, Answer::TimedOut);
        state.events.push_back(Event::ClientDisconnected { id });
    }

    /// Ends a request whose body is incomplete if its client may have stopped waiting or the process ends, or
    /// else arms the timer of the next check.
    fn check_upload(&self, state: &mut DriverState, id: RequestId) {
        let Some(request) = state.requests.get_mut(id) else { return };
        let now = self.clock.now();
        request.record_arrival(now);
        let is_held_back = !request.outgoing.body.awaits_client();
        let deadline = state.requests.answer_deadline(id, now);
        if deadline.is_some_and(|deadline| deadline <= now) {
            return self.end_upload(state, id, is_held_back);
        }
        let latest_check = now + UPLOAD_CHECK_INTERVAL;
        let next_check = deadline.map_or(latest_check, |deadline| deadline.min(latest_check));
        self.arm(state, next_check, Timer::RequestDeadline(id));
    }

    /// Ends a request whose body has not been forwarded completely. If a server held the body back, its attempt
    /// failed.
    fn end_upload(&self, state: &mut DriverState, id: RequestId, is_held_back: bool) {
        let Some(request) = state.requests.get(id) else { return };
        if is_held_back {
            self.record_event(RequestEvent::UploadGivenUp, request.client_request_id.as_bytes());
        }
        let answer = request.answer_without_response();
        state.requests.answer(self.clock.now(), id, answer);
        state.events.push_back(Event::ClientDisconnected { id });
        let status = if is_held_back { AttemptStatus::ConnectFailed } else { AttemptStatus::NotSent };
        self.abort_attempt(state, id, status);
    }
}
