//! Table of the requests that await an answer or have an attempt in flight.

use crate::driver::arrival_history::{ArrivalHistory, ArrivalSample};
use crate::driver::clock::Clock;
use crate::driver::recent_ids::{RecentId, RecentIds};
use crate::driver::request::{Answer, ClientInput};
use crate::driver::timers::Timer;
use crate::servers::attempt::{AttemptConnection, OutgoingRequest};
use grebehook_core::{AttemptStatus, Micros, RequestId, ServerId};
use hyper::header::HeaderValue;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// Maximum time for which a body is held back without any progress, in microseconds.
const MAX_HELD_BACK_TIME: Micros = 15_000_000;

/// An attempt that has been started and has not ended yet.
pub struct InFlightAttempt {
    /// Index of the attempt among the attempts of its request.
    pub attempt: u32,
    /// Server that the attempt is sent to.
    pub server: ServerId,
    /// Time at which the attempt was sent.
    pub sent_at: Micros,
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
    client_request_id: HeaderValue,
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
    /// Returns whether an attempt may start now: only if none is in flight and the request has not ended. The
    /// client timeout of a request whose body is incomplete has not begun.
    pub fn may_start_attempt(&mut self, now: Micros) -> bool {
        if self.outgoing.body.is_incomplete() {
            self.deadline = now + self.client_timeout;
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
    /// server that takes nothing for long is not worth waiting for.
    fn held_back_deadline(&self, now: Micros) -> Option<Micros> {
        let body = &self.outgoing.body;
        let earliest_write = self.arrival.earliest_write(body.taken() + self.input.unread_bytes());
        let held_back_for = body.held_back_for().map(|time| time.as_micros() as Micros);
        if earliest_write.is_none() && held_back_for.is_none() {
            return None;
        }
        let newest_byte_at =
            || now.saturating_sub(self.input.newest_byte_age().estimate.as_micros() as Micros);
        let client_deadline = earliest_write.unwrap_or_else(newest_byte_at) + self.client_timeout;
        let stall_deadline = held_back_for.map(|time| now.saturating_sub(time) + MAX_HELD_BACK_TIME);
        Some(stall_deadline.map_or(client_deadline, |deadline| deadline.min(client_deadline)))
    }

    /// Returns the time since the client can have written the last byte of a body that has been read to its end.
    pub fn age_of_last_byte(&self, now: Micros) -> Micros {
        let earliest_write = self.arrival.earliest_write(self.outgoing.body.taken());
        let written_for = earliest_write.map_or(0, |written_at| now.saturating_sub(written_at));
        written_for.max(self.input.newest_byte_age().at_least.as_micros() as Micros)
    }

    /// Sets the time by which the attempt in flight must have its response.
    pub fn set_response_deadline(&self, clock: &Clock, attempt_deadline: Micros) {
        if let Some(in_flight) = &self.in_flight {
            let client_deadline = clock.instant_at(self.deadline);
            in_flight.connection.set_deadlines(clock.instant_at(attempt_deadline), client_deadline);
        }
    }

    /// Restarts the timeouts of the request and of its attempt in flight, once the last part of a streamed
    /// body, which arrived `age` ago, has been forwarded. Returns the index of that attempt, if any.
    pub fn restart_timeouts(&mut self, now: Micros, age: Micros) -> Option<u32> {
        self.deadline = now + self.client_timeout.saturating_sub(age);
        let attempt = self.in_flight.as_mut()?;
        attempt.sent_at = now;
        Some(attempt.attempt)
    }

    /// Returns the id that the client assigned to the request.
    pub fn client_request_id(&self) -> &[u8] {
        self.client_request_id.as_bytes()
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
    /// Time for which servers deduplicate retries of the request, if it has an idempotency key.
    pub deduplication_window: Option<Micros>,
    /// Time for which a request of the same id is not accepted once this one may have run; `None` if it may run more
    /// than once.
    pub id_guard_time: Option<Micros>,
}

/// A request that has just been inserted into the table.
pub struct InsertedRequest {
    /// Id of the request in the table.
    pub id: RequestId,
    /// Receives the final answer.
    pub answer: oneshot::Receiver<Answer>,
}

/// The table of pending requests. No two of them have the same `client_request_id`.
#[derive(Default)]
pub struct RequestTable {
    requests: HashMap<RequestId, PendingRequest>,
    /// Ids that clients assigned to the requests in the table.
    client_request_ids: HashSet<HeaderValue>,
    /// Ids of requests that may have run and must not run again.
    recent_ids: RecentIds,
    /// Id of the newest request.
    last_id: u64,
    /// Time by which every request must have its answer; `None` until a shutdown begins.
    shutdown_deadline: Option<Micros>,
}

impl RequestTable {
    /// Inserts a request. Returns `None` while another request with the same `client_request_id` is in the
    /// table, or may have run and must not run again.
    pub fn insert(&mut self, request: NewRequest) -> Option<InsertedRequest> {
        let client_request_id = &request.client_request_id;
        if self.recent_ids.contains(request.submitted_at, client_request_id.as_bytes())
            || !self.client_request_ids.insert(client_request_id.clone())
        {
            return None;
        }
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let (sender, receiver) = oneshot::channel();
        let request = PendingRequest {
            client_request_id: request.client_request_id,
            answer: Some(sender),
            outgoing: Rc::new(request.outgoing),
            deadline: request.deadline,
            client_timeout: request.client_timeout,
            input: request.input,
            arrival: ArrivalHistory::new(request.submitted_at),
            attempts: 0,
            body_consumption_reported: false,
            in_flight: None,
            deduplication_window: request.deduplication_window,
            first_run_sent_at: None,
            id_guard_time: request.id_guard_time,
        };
        self.requests.insert(id, request);
        Some(InsertedRequest { id, answer: receiver })
    }

    /// Returns the ids of requests that may have run and must not run again.
    pub fn recent_ids(&mut self) -> &mut RecentIds {
        &mut self.recent_ids
    }

    /// Remembers the ids of all requests in the table that must not run twice and have been forwarded.
    pub fn remember_forwarded(&mut self, now: Micros) {
        let forwarded = self.requests.values().filter(|request| request.attempts > 0);
        for recent in forwarded.filter_map(|request| request.guarded_id(now)) {
            self.recent_ids.insert(now, recent);
        }
    }

    /// Returns a pending request, or `None` once it has been removed.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// Returns a pending request for modification, or `None` once it has been removed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns whether the attempt with this index is the one in flight.
    pub fn is_in_flight(&self, id: RequestId, attempt: u32) -> bool {
        let in_flight = self.get(id).and_then(|request| request.in_flight.as_ref());
        in_flight.is_some_and(|in_flight| in_flight.attempt == attempt)
    }

    /// Returns whether a request is still awaiting its final answer.
    pub fn is_unanswered(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(|request| request.answer.is_some())
    }

    /// Returns the ids, in ascending order, of the requests whose attempt in flight satisfies a condition.
    pub fn ids_with_attempt(&self, condition: impl Fn(&InFlightAttempt) -> bool) -> Vec<RequestId> {
        self.ids_where(|request| request.in_flight.as_ref().is_some_and(&condition))
    }

    /// Returns the time by which a request whose body has not been forwarded completely must have its answer, as
    /// far as that is known now; `None` if the body is complete, or if more data of the client is awaited.
    pub fn answer_deadline(&self, id: RequestId, now: Micros) -> Option<Micros> {
        let request = self.get(id).filter(|request| request.outgoing.body.is_incomplete())?;
        let deadlines = request.held_back_deadline(now).into_iter().chain(self.shutdown_deadline);
        deadlines.min()
    }

    /// Sets the time by which every request must have its answer because the process ends. Returns the ids, in
    /// ascending order, of the requests whose body has not been forwarded completely.
    pub fn begin_shutdown(&mut self, deadline: Micros) -> Vec<RequestId> {
        self.shutdown_deadline = Some(deadline);
        self.ids_where(|request| request.outgoing.body.is_incomplete())
    }

    /// Returns the ids, in ascending order, of the requests that satisfy a condition.
    fn ids_where(&self, condition: impl Fn(&PendingRequest) -> bool) -> Vec<RequestId> {
        let selected = self.requests.iter().filter(|(_, request)| condition(request));
        let mut ids: Vec<RequestId> = selected.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Sends the final answer of a request, unless the request has been answered already.
    pub fn answer(&mut self, now: Micros, id: RequestId, answer: Answer) {
        if let Some(sender) = self.get_mut(id).and_then(|request| request.answer.take()) {
            // A client that has just disconnected needs no answer.
            let _ = sender.send(answer);
            self.remove_if_finished(now, id);
        }
    }

    /// Removes a request that has been answered and has no attempt in flight. Remembers its id if it may have run and
    /// must not run again.
    pub fn remove_if_finished(&mut self, now: Micros, id: RequestId) {
        let is_finished = |request: &PendingRequest| request.answer.is_none() && request.in_flight.is_none();
        if self.get(id).is_some_and(is_finished) {
            if let Some(request) = self.requests.remove(&id) {
                self.client_request_ids.remove(&request.client_request_id);
                let may_have_run = request.first_run_sent_at.is_some();
                if let Some(recent) = request.guarded_id(now).filter(|_| may_have_run) {
                    self.recent_ids.insert(now, recent);
                }
            }
        }
    }

    /// Returns whether a timer no longer has any effect because its request or attempt has ended.
    pub fn is_obsolete(&self, timer: Timer) -> bool {
        match timer {
            Timer::Decision(_) | Timer::CloseExpiredServerConnections => false,
            Timer::AttemptTimeout { id, attempt } => !self.is_in_flight(id, attempt),
            Timer::RequestDeadline(id) => !self.is_unanswered(id),
        }
    }
}
