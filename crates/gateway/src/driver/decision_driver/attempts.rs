//! Starts, completes and aborts the attempts of requests.

use super::{DecisionDriver, DriverState};
use crate::bodies::download::ResponseContent;
use crate::driver::pending_request::{InFlightAttempt, PendingRequest};
use crate::driver::request::Answer;
use crate::driver::timers::Timer;
use crate::operations::request_log::AttemptEnd;
use crate::servers::attempt::{AttemptConnection, AttemptDeadlines, AttemptOutcome, OutgoingRequest};
use grebehook_core::{AttemptStatus, Event, Micros, RequestId, ServerId};
use std::future::Future;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// Time after the client timeout by which the driver ends a request whose response it waited for, in microseconds.
const LATE_RESPONSE_TIME: Micros = 350_000;

impl DecisionDriver {
    /// Starts an attempt that times out after `timeout`, or at the request's deadline if `timeout` is 0.
    pub(super) fn start_attempt(
        self: &Rc<Self>,
        state: &mut DriverState,
        now: Micros,
        id: RequestId,
        server: ServerId,
        timeout: Micros,
    ) {
        let shutdown_deadline = state.requests.shutdown_deadline();
        let Some(request) = state.requests.get_mut(id) else { return };
        let attempt = request.attempts;
        request.attempts += 1;
        if !request.may_start_attempt(now) {
            let not_sent = AttemptOutcome::without_response(AttemptStatus::NotSent);
            let request_finished = request.answer.is_none();
            state.events.push_back(not_sent.into_event(id, attempt, server, 0, request_finished));
            return;
        }
        if state.id_exchange.is_active() {
            if let Some(recent) = request.guarded_id(now) {
                state.id_exchange.send(now, &recent);
            }
        }
        self.log_retry(request, attempt, server);
        let deadline = request.attempt_deadline(now, Some(timeout).filter(|timeout| *timeout > 0));
        let connection = Rc::new(AttemptConnection::default());
        if let Some(shutdown_deadline) = shutdown_deadline {
            connection.set_shutdown_deadline(self.clock.instant_at(shutdown_deadline));
        }
        let deadlines = self.attempt_deadlines(request, deadline);
        let exchange =
            self.clone().send_attempt(server, connection.clone(), request.outgoing.clone(), deadlines);
        let task = self.spawn_attempt(id, attempt, &connection, exchange);
        request.in_flight =
            Some(InFlightAttempt { attempt, server, sent_at: now, deadline, connection, task });
        if !request.outgoing.body.is_incomplete() {
            request.set_response_deadline(&self.clock, deadline);
            self.arm(state, deadline, Timer::AttemptTimeout { id, attempt });
        }
    }

    /// Carries out an attempt in a task of its own, which reports its end.
    fn spawn_attempt(
        self: &Rc<Self>,
        id: RequestId,
        attempt: u32,
        connection: &AttemptConnection,
        exchange: impl Future<Output = AttemptOutcome> + 'static,
    ) -> AbortHandle {
        let late_driver = Rc::downgrade(self);
        connection.on_late(move || {
            if let Some(driver) = late_driver.upgrade() {
                driver.handle_late_response(id, attempt);
            }
        });
        let driver = self.clone();
        let task = tokio::task::spawn_local(async move {
            let outcome = exchange.await;
            driver.handle_attempt_end(id, attempt, outcome);
        });
        task.abort_handle()
    }

    /// Returns the deadlines of an attempt that times out at `deadline`.
    fn attempt_deadlines(&self, request: &PendingRequest, deadline: Micros) -> AttemptDeadlines {
        AttemptDeadlines {
            send_deadline: self.clock.instant_at(request.send_deadline(deadline)),
            response_deadline: self.clock.instant_at(deadline),
        }
    }

    /// Sends an attempt to a server and reads its response. The attempt is counted once its request has been
    /// written completely.
    async fn send_attempt(
        self: Rc<Self>,
        server: ServerId,
        connection: Rc<AttemptConnection>,
        outgoing: Rc<OutgoingRequest>,
        deadlines: AttemptDeadlines,
    ) -> AttemptOutcome {
        let written_attempts = Some(&self.request_counters.attempts);
        self.transports.upstream.exchange(server, &connection, &outgoing, deadlines, written_attempts).await
    }

    /// Handles the end of an attempt that was not aborted. A successful response is passed to the client
    /// immediately and ends the request.
    fn handle_attempt_end(self: &Rc<Self>, id: RequestId, attempt: u32, mut outcome: AttemptOutcome) {
        let mut state = self.state.borrow_mut();
        let Some(request) = state.requests.get_mut(id) else { return };
        let Some(ended) = request.in_flight.take_if(|in_flight| in_flight.attempt == attempt) else { return };
        if outcome.status == AttemptStatus::NotSent {
            request.answer_if_client_disconnected();
        }
        request.record_run(&ended, outcome.status);
        if let Some(served) = outcome.response.take() {
            if let ResponseContent::Streamed(_) = served.body() {
                let progress = ended.connection.response_progress().unwrap_or_default();
                self.request_log.log_passed_on(request.client_request_id.as_bytes(), progress);
            }
            state.requests.answer(self.clock.now(), id, Answer::Served(served));
        }
        self.record_attempt_end(&mut state, id, &ended, outcome);
        self.process_events(&mut state);
    }

    /// Aborts the attempts that are still waiting for a connection to a server that is no longer ready. They
    /// would otherwise be sent once the connection is established, possibly after the grace period of a
    /// draining server.
    pub(super) fn abort_attempts_to_unready_servers(&self, state: &mut DriverState) {
        let pool = &self.transports.upstream.pool;
        let is_affected =
            |attempt: &InFlightAttempt| attempt.connection.is_connecting() && !pool.is_ready(attempt.server);
        for id in state.requests.ids_with_attempt(is_affected) {
            self.abort_attempt(state, id, AttemptStatus::ConnectFailed);
        }
    }

    /// Waits beyond the client timeout for a response that has begun to arrive.
    fn handle_late_response(self: &Rc<Self>, id: RequestId, attempt: u32) {
        let mut state = self.state.borrow_mut();
        if !state.requests.is_in_flight(id, attempt) || !state.requests.is_unanswered(id) {
            return;
        }
        let shutdown_deadline = state.requests.shutdown_deadline().unwrap_or(Micros::MAX);
        let Some(request) = state.requests.get_mut(id) else { return };
        let deadline = request.deadline.saturating_add(LATE_RESPONSE_TIME).min(shutdown_deadline);
        request.extend_deadlines(deadline);
        self.arm(&mut state, deadline, Timer::AttemptTimeout { id, attempt });
        self.arm(&mut state, deadline, Timer::RequestDeadline(id));
        state.events.push_back(Event::ResponseLate { id, deadline });
        self.process_events(&mut state);
    }

    /// Aborts an attempt that has timed out, unless its timeout has been extended.
    pub(super) fn expire_attempt(&self, state: &mut DriverState, id: RequestId, attempt: u32) {
        if !state.requests.is_in_flight(id, attempt) {
            return;
        }
        let now = self.clock.now();
        let later = state.requests.get(id).and_then(|request| request.attempt_timeout_after(now));
        match later {
            Some(at) => self.arm(state, at, Timer::AttemptTimeout { id, attempt }),
            None => self.abort_attempt(state, id, AttemptStatus::Timeout),
        }
    }

    /// Aborts an attempt if it is still the one in flight.
    pub(super) fn abort_if_in_flight(
        &self,
        state: &mut DriverState,
        id: RequestId,
        attempt: u32,
        status: AttemptStatus,
    ) {
        if state.requests.is_in_flight(id, attempt) {
            self.abort_attempt(state, id, status);
        }
    }

    /// Aborts a request's attempt in flight. Its connection is closed when this function returns.
    pub(super) fn abort_attempt(&self, state: &mut DriverState, id: RequestId, status: AttemptStatus) {
        let Some(request) = state.requests.get_mut(id) else { return };
        let Some(in_flight) = request.in_flight.take() else { return };
        let status = in_flight.abort(status);
        self.record_attempt_end(state, id, &in_flight, AttemptOutcome::without_response(status));
    }

    /// Records the end of an attempt and queues the events that report it to the decision core.
    fn record_attempt_end(
        &self,
        state: &mut DriverState,
        id: RequestId,
        ended: &InFlightAttempt,
        outcome: AttemptOutcome,
    ) {
        let now = self.clock.now();
        let elapsed = now.saturating_sub(ended.sent_at);
        if let Some(request) = state.requests.get_mut(id) {
            if outcome.status != AttemptStatus::Ok {
                self.log_attempt_end(request, ended, outcome.status, elapsed);
            }
            if request.record_attempt_end(ended, outcome.status) {
                state.events.push_back(Event::BodyConsumed { id });
            }
        }
        let request_finished = !state.requests.is_unanswered(id);
        let event = outcome.into_event(id, ended.attempt, ended.server, elapsed, request_finished);
        state.events.push_back(event);
        state.requests.remove_if_finished(now, id);
    }

    /// Logs an attempt that is not the first one of its request.
    fn log_retry(&self, request: &PendingRequest, attempt: u32, server: ServerId) {
        if attempt > 0 {
            let address = self.transports.upstream.pool.address(server);
            self.request_log.log_retry(request.client_request_id.as_bytes(), attempt, address);
        }
    }

    /// Logs the end of an attempt that has no whole response.
    fn log_attempt_end(
        &self,
        request: &PendingRequest,
        ended: &InFlightAttempt,
        status: AttemptStatus,
        elapsed: Micros,
    ) {
        self.request_log.log_attempt_end(&AttemptEnd {
            client_request_id: request.client_request_id.as_bytes(),
            attempt: ended.attempt,
            server: self.transports.upstream.pool.address(ended.server),
            status,
            elapsed,
            request_written: ended.connection.request_written(),
            body_taken: request.outgoing.body.taken(),
            response: ended.connection.response_progress(),
        });
    }
}
