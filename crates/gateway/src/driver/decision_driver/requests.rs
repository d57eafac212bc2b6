//! Handles clients' requests: their arrival, the end of their bodies, disconnecting clients, and deadlines.

use super::{DecisionDriver, DriverState};
use crate::driver::request::{Answer, RequestHead, SubmittedRequest};
use crate::driver::request_table::InsertedRequest;
use crate::driver::timers::Timer;
use crate::servers::attempt::OutgoingRequest;
use grebehook_core::{AttemptStatus, Event, Micros, RequestId};
use hyper::header::HeaderValue;
use std::rc::Rc;
use std::time::Duration;

impl DecisionDriver {
    /// Submits a client's request to the decision core. The client timeout runs from the arrival of the
    /// request's last byte at this machine; `newest_byte_age`, which returns the time since the arrival of
    /// the newest byte, is called once that byte has been read. Returns `None` while another request with the
    /// same `client_request_id` is pending.
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
        let InsertedRequest { id, answer } =
            state.requests.insert(client_request_id, outgoing, deadline, window)?;
        self.arm(&mut state, deadline, Timer::RequestDeadline(id));
        let body_incomplete =
            self.notify_when_body_forwarded(&state, id, head.client_timeout, newest_byte_age);
        state.events.push_back(Event::RequestArrived(head.arrival(id, age, body_incomplete)));
        // The decision core must receive the time from which the deadline timer was computed. On a busy
        // machine, a second reading of the clock can be later by more than the core's margin, and the
        // deadline would then fall due before the core's own timer.
        self.process_events_at(&mut state, now);
        Some(SubmittedRequest { id, answer, counter: self.request_counters.begin(head.class) })
    }

    /// Arranges for [`DecisionDriver::handle_body_forwarded`] to be called once a request's body has been
    /// forwarded completely. Returns whether part of the body has yet to be forwarded.
    fn notify_when_body_forwarded(
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
            .on_forwarded(move || driver.handle_body_forwarded(id, client_timeout, newest_byte_age()))
    }

    /// Restarts the client timeout after the last part of a streamed body has been forwarded. The timeout
    /// runs from the arrival of that part at this machine, which was `age` ago.
    fn handle_body_forwarded(self: &Rc<Self>, id: RequestId, client_timeout: Micros, age: Duration) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let Some(request) = state.requests.get_mut(id) else { return };
        let age = age.as_micros() as Micros;
        let deadline = now + client_timeout.saturating_sub(age);
        if let Some(attempt) = request.restart_timeouts(now, deadline) {
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
        state.requests.remove_if_finished(id);
        self.process_events(&mut state);
        answer
    }

    /// Ends a request at its deadline. If an attempt is in flight, this first reports its timeout to the
    /// decision core, which may then answer the request. If the core does not answer, the driver answers
    /// [`Answer::TimedOut`].
    pub(super) fn expire_request(&self, state: &mut DriverState, id: RequestId) {
        let Some(request) = state.requests.get(id).filter(|request| request.answer.is_some()) else { return };
        // The deadline is unknown while the body is incomplete.
        if request.outgoing.body.is_incomplete() || self.clock.now() < request.deadline {
            return;
        }
        if request.in_flight.is_some() {
            let deadline = request.deadline;
            self.abort_attempt(state, id, AttemptStatus::Timeout);
            self.arm(state, deadline, Timer::RequestDeadline(id));
            return;
        }
        self.log.log_unanswered_request();
        state.requests.answer(id, Answer::TimedOut);
        state.events.push_back(Event::ClientDisconnected { id });
    }
}
