//! One request that awaits its answer or has an attempt in flight: its deadlines, the arrival of its body, and what is
//! known of its having run.

use crate::driver::arrival_history::{ArrivalHistory, ArrivalSample};
use crate::driver::clock::Clock;
use crate::driver::recent_ids::RecentId;
use crate::driver::request::{Answer, ClientInput};
use crate::servers::attempt::{AttemptConnection, OutgoingRequest};
use grebehook_core::{AttemptStatus, Micros, ServerId};
use hyper::header::HeaderValue;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// Longest pause in which a server counts as still writing its response where another server could be tried instead.
const MAX_PAUSE_BEFORE_RETRY: Duration = Duration::from_millis(100);
/// Interval between two checks whether a server is still writing its response, in microseconds.
const WRITE_CHECK_INTERVAL: Micros = 50_000;
/// Maximum time for which a body is held back without any progress, in microseconds.
const MAX_HELD_BACK_TIME: Micros = 15_000_000;
/// The same for a body of which the client has written only a part.
const MAX_UNWRITTEN_HELD_BACK_TIME: Micros = 5_000_000;

/// A request to be inserted into the table.
pub struct NewRequest {
    /// Id that the client assigned to the request.
    pub client_request_id: HeaderValue,
    /// Request that is forwarded to servers.
    pub outgoing: OutgoingRequest,
    /// Time at which the client stops waiting.
    pub deadline: Micros,
    /// Time for which the client waits after the arrival of the request's last byte.
    pub client_timeout: Micros,
    /// The connection on which the request arrives.
    pub input: Rc<dyn ClientInput>,
    /// Time at which the request is submitted.
    pub submitted_at: Micros,
    /// Time from which the client may have been kept from sending before that; `None` if it was not.
    pub held_back_since: Option<Micros>,
    /// Time for which servers deduplicate retries of the request, if it has an idempotency key.
    pub deduplication_window: Option<Micros>,
    /// Time for which a request of the same id is not accepted once this one may have run; `None` if it may run more
    /// than once.
    pub id_guard_time: Option<Micros>,
}

/// An attempt that has been started and has not ended yet.
pub struct InFlightAttempt {
    /// Index of the attempt among the attempts of its request.
    pub attempt: u32,
    /// Server that the attempt is sent to.
    pub server: ServerId,
    /// Time at which the attempt was sent.
    pub sent_at: Micros,
    /// Time at which the attempt times out.
    pub deadline: Micros,
    /// Connection of the attempt, which is shared with `task` so that the driver can close it.
    pub connection: Rc<AttemptConnection>,
    /// Handle of the task that carries out the attempt.
    pub task: AbortHandle,
}

impl InFlightAttempt {
    /// Aborts the attempt and returns its final status. The connection is closed when this function returns,
    /// so nothing more of the attempt is written.
    pub fn abort(&self, status: AttemptStatus) -> AttemptStatus {
        let request_written = self.connection.request_written();
        self.connection.close();
        self.task.abort();
        match status {
            // A request that was not written completely cannot have run.
            AttemptStatus::Timeout | AttemptStatus::Cancelled if !request_written => AttemptStatus::NotSent,
            status => status,
        }
    }
}

/// A request in the table. Its final answer is sent through a channel whose sender is consumed by the first
/// answer, so that a second answer is impossible.
pub struct PendingRequest {
    /// Id that the client assigned to the request.
    pub client_request_id: HeaderValue,
    /// Sender of the final answer; `None` once the request has been answered.
    pub answer: Option<oneshot::Sender<Answer>>,
    /// Request that is forwarded to servers.
    pub outgoing: Rc<OutgoingRequest>,
    /// Time at which the client stops waiting. While the body has not been forwarded completely, the time at
    /// which it would if the request had arrived completely at its submission or newest attempt.
    pub deadline: Micros,
    /// Time for which the client waits after the arrival of the request's last byte.
    client_timeout: Micros,
    /// The connection on which the request arrives.
    input: Rc<dyn ClientInput>,
    /// The history of the arrival of a streamed body.
    arrival: ArrivalHistory,
    /// Number of attempts made.
    pub attempts: u32,
    /// Whether the decision core has been notified that the body cannot be sent again.
    body_consumption_reported: bool,
    /// Attempt in flight, if any.
    pub in_flight: Option<InFlightAttempt>,
    /// Time for which servers deduplicate retries of the request, if it has an idempotency key.
    deduplication_window: Option<Micros>,
    /// Time at which the first attempt that may have run was sent.
    first_run_sent_at: Option<Micros>,
    /// Time for which a request of the same id is not accepted once this one may have run; `None` if it may run more
    /// than once.
    id_guard_time: Option<Micros>,
}

impl PendingRequest {
    /// Creates a request of which no attempt has been made, with the sender of its final answer.
    pub fn new(request: NewRequest, sender: oneshot::Sender<Answer>) -> PendingRequest {
        let arrival = match request.held_back_since {
            Some(time) => ArrivalHistory::held_back_since(time),
            None => ArrivalHistory::new(request.submitted_at),
        };
        PendingRequest {
            client_request_id: request.client_request_id,
            answer: Some(sender),
            outgoing: Rc::new(request.outgoing),
            deadline: request.deadline,
            client_timeout: request.client_timeout,
            input: request.input,
            arrival,
            attempts: 0,
            body_consumption_reported: false,
            in_flight: None,
            deduplication_window: request.deduplication_window,
            first_run_sent_at: None,
            id_guard_time: request.id_guard_time,
        }
    }

    /// Returns whether an attempt may start now: only if none is in flight and the request has not ended. The
    /// client timeout of a request whose body is incomplete has not begun, unless its client was kept from sending and
    /// may have written all of it before.
    pub fn may_start_attempt(&mut self, now: Micros) -> bool {
        if self.outgoing.body.is_incomplete() {
            let written_at = self.arrival.earliest_write(self.possible_end()).unwrap_or(now);
            self.deadline = written_at + self.client_timeout;
        }
        self.in_flight.is_none() && self.answer.is_some() && now < self.deadline
    }

    /// Answers a request whose client has disconnected.
    pub fn answer_if_client_disconnected(&mut self) {
        if self.answer.is_none() || !(self.outgoing.client_has_disconnected)() {
            return;
        }
        let answer = self.answer_without_response();
        if let Some(sender) = self.answer.take() {
            // A client that has shut down only its sending side still receives the answer.
            let _ = sender.send(answer);
        }
    }

    /// Returns the final answer for a request without a server's response: rejected if no server can have run
    /// it, else failed.
    pub fn answer_without_response(&self) -> Answer {
        if self.may_have_run() {
            Answer::Failed
        } else {
            Answer::Rejected(None)
        }
    }

    /// Returns whether a server may have run the request: the status of a completed attempt does not rule it
    /// out, or the attempt in flight has been written completely.
    fn may_have_run(&self) -> bool {
        let attempt_written =
            self.in_flight.as_ref().is_some_and(|attempt| attempt.connection.request_written());
        self.first_run_sent_at.is_some() || attempt_written
    }

    /// Returns the deadline of an attempt that is sent now, which is at most the request's deadline.
    pub fn attempt_deadline(&self, now: Micros, timeout: Option<Micros>) -> Micros {
        match timeout {
            None => self.deadline,
            Some(timeout) => now.saturating_add(timeout).min(self.deadline),
        }
    }

    /// Returns the latest time at which the first byte of an attempt may be written. The decision core checks
    /// the deduplication window only when it decides on the attempt. A retry whose connection is established
    /// after the end of the window must not be sent, because the request could take effect twice.
    pub fn send_deadline(&self, attempt_deadline: Micros) -> Micros {
        let first_run = self.first_run_sent_at.zip(self.deduplication_window);
        let window_end = first_run.map(|(sent_at, window)| sent_at + window);
        window_end.map_or(attempt_deadline, |end| attempt_deadline.min(end))
    }

    /// Records how much of a streamed body has arrived by now.
    pub fn record_arrival(&mut self, now: Micros) {
        let body = &self.outgoing.body;
        let unread = self.input.unread_bytes();
        self.arrival.record(ArrivalSample {
            at: now,
            arrived: body.taken() + unread,
            is_caught_up: unread == 0 && body.awaits_client(),
            held_back_for: body.held_back_for().map_or(0, |time| time.as_micros() as Micros),
        });
    }

    /// Returns the time by which a request whose body is held back must be answered; `None` while more data of
    /// the client is awaited. The newest byte may be the last one, from which the client's time counts; and a
    /// server that takes nothing for long is not worth waiting for. The last byte of a body of known length has
    /// not been written while more than a client's system keeps is missing.
    pub fn held_back_deadline(&self, now: Micros) -> Option<Micros> {
        let earliest_write = self.arrival.earliest_write(self.possible_end());
        let held_back_for = self.outgoing.body.held_back_for().map(|time| time.as_micros() as Micros);
        if earliest_write.is_none() && held_back_for.is_none() {
            return None;
        }
        let newest_byte_at =
            || now.saturating_sub(self.input.newest_byte_age().estimate.as_micros() as Micros);
        let has_arrived = self.arrived_bytes() >= self.possible_end();
        let written_at = earliest_write.or_else(|| has_arrived.then(newest_byte_at));
        let client_deadline = written_at.map(|at| at + self.client_timeout);
        let may_be_written = written_at.is_some_and(|at| at < now);
        let stall_time = if may_be_written { MAX_HELD_BACK_TIME } else { MAX_UNWRITTEN_HELD_BACK_TIME };
        let stall_deadline = held_back_for.map(|time| now.saturating_sub(time) + stall_time);
        client_deadline.into_iter().chain(stall_deadline).min()
    }

    /// Returns the number of bytes of the body that have reached this machine.
    fn arrived_bytes(&self) -> u64 {
        self.outgoing.body.taken() + self.input.unread_bytes()
    }

    /// Returns the number of bytes after which the body ends, or may end if its length is not known.
    fn possible_end(&self) -> u64 {
        self.outgoing.body.length().unwrap_or_else(|| self.arrived_bytes())
    }

    /// Returns the time since the client can have written the last byte of a body that has been read to its end.
    pub fn age_of_last_byte(&self, now: Micros) -> Micros {
        let earliest_write = self.arrival.earliest_write(self.outgoing.body.taken());
        let written_for = earliest_write.map_or(0, |written_at| now.saturating_sub(written_at));
        written_for.max(self.input.newest_byte_age().at_least.as_micros() as Micros)
    }

    /// Sets the time by which the attempt in flight must have its response.
    pub fn set_response_deadline(&mut self, clock: &Clock, attempt_deadline: Micros) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.deadline = attempt_deadline;
            in_flight.connection.set_client_deadline(clock.instant_at(self.deadline));
        }
    }

    /// Extends the deadlines of the request and of its attempt in flight, whose response has begun to arrive.
    pub fn extend_deadlines(&mut self, deadline: Micros) {
        self.deadline = deadline;
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.deadline = deadline;
        }
    }

    /// Returns until when the attempt in flight is not timed out at `now`: its timeout has been extended, or its server
    /// is writing a response that may be long and there is time. `None` if it has timed out.
    pub fn attempt_timeout_after(&self, now: Micros) -> Option<Micros> {
        let in_flight = self.in_flight.as_ref()?;
        if now < in_flight.deadline {
            return Some(in_flight.deadline);
        }
        let is_arriving =
            now < self.deadline && in_flight.connection.is_long_response_arriving(MAX_PAUSE_BEFORE_RETRY);
        is_arriving.then(|| self.deadline.min(now + WRITE_CHECK_INTERVAL))
    }

    /// Restarts the timeouts of the request and of its attempt in flight, once the last part of a streamed
    /// body, which arrived `age` ago, has been forwarded. Returns the index of that attempt, if any.
    pub fn restart_timeouts(&mut self, now: Micros, age: Micros) -> Option<u32> {
        self.deadline = now + self.client_timeout.saturating_sub(age);
        let attempt = self.in_flight.as_mut()?;
        attempt.sent_at = now;
        Some(attempt.attempt)
    }

    /// Returns whether an attempt has ended that may have run.
    pub fn ended_attempt_may_have_run(&self) -> bool {
        self.first_run_sent_at.is_some()
    }

    /// Returns the id that must not be accepted again from now on; `None` if the request may run more than once.
    pub fn guarded_id(&self, now: Micros) -> Option<RecentId> {
        let forgotten_at = now.saturating_add(self.id_guard_time?);
        Some(RecentId { id: self.client_request_id.as_bytes().into(), forgotten_at })
    }

    /// Records that an attempt that has ended with this status may have run, unless the status rules that out.
    pub fn record_run(&mut self, ended: &InFlightAttempt, status: AttemptStatus) {
        if status.may_have_run() {
            self.first_run_sent_at.get_or_insert(ended.sent_at);
        }
    }

    /// Records the end of an attempt. Returns true, once per request, if the decision core has to be notified
    /// that the body cannot be sent again.
    pub fn record_attempt_end(&mut self, ended: &InFlightAttempt, status: AttemptStatus) -> bool {
        self.record_run(ended, status);
        let unreported = self.outgoing.body.is_consumed() && !self.body_consumption_reported;
        self.body_consumption_reported |= unreported;
        unreported
    }
}
