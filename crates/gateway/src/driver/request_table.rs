//! The requests that wait for an answer or have an attempt in flight.

use crate::driver::request::Answer;
use crate::driver::timers::DueTimer;
use crate::servers::attempt::{AttemptConnection, OutgoingRequest};
use grebehook_core::{AttemptStatus, Micros, RequestId, ServerId};
use hyper::header::HeaderValue;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// An attempt in flight.
pub struct InFlightAttempt {
    /// Its number among the attempts of its request.
    pub attempt: u32,
    /// The server that it is sent to.
    pub server: ServerId,
    /// When it was sent.
    pub sent_at: Micros,
    /// Its connection.
    pub connection: Rc<AttemptConnection>,
    /// The task that carries it out.
    pub task: AbortHandle,
}

impl InFlightAttempt {
    /// Aborts the attempt: none of it is on the network when this returns. Returns the status with which it ended.
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

/// A request in the table. Its final answer goes through a sender that the first answer consumes, so that there can
/// be no second one.
pub struct PendingRequest {
    /// The id that the client gave it.
    client_request_id: HeaderValue,
    /// Takes the final answer; `None` once it was given.
    pub answer: Option<oneshot::Sender<Answer>>,
    /// What is sent to servers.
    pub outgoing: Rc<OutgoingRequest>,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// How many attempts were made.
    pub attempts: u32,
    /// The decision core was notified that the body cannot be sent again.
    body_consumption_reported: bool,
    /// The attempt in flight.
    pub in_flight: Option<InFlightAttempt>,
    /// How long servers deduplicate retries of a request with an idempotency key.
    deduplication_window: Option<Micros>,
    /// When the first attempt that may have run was sent.
    may_have_run_at: Option<Micros>,
}

impl PendingRequest {
    /// Whether an attempt may start now: never a second one at a time, nor one for a request that is over.
    pub fn may_start_attempt(&self, now: Micros) -> bool {
        self.in_flight.is_none() && self.answer.is_some() && now < self.deadline
    }

    /// Answers a request whose client has disconnected.
    pub fn answer_if_client_disconnected(&mut self) {
        if self.answer.is_none() || !(self.outgoing.client_has_disconnected)() {
            return;
        }
        let answer = self.answer_without_response();
        if let Some(sender) = self.answer.take() {
            // A client that shut down only its sending side still receives the answer.
            let _ = sender.send(answer);
        }
    }

    /// Its final answer if no server's response comes: rejected where no server can have run it.
    pub fn answer_without_response(&self) -> Answer {
        if self.may_have_run() {
            Answer::Failed
        } else {
            Answer::Rejected(None)
        }
    }

    /// Whether a server may have run it: an attempt has ended so that it may have, or the one in flight is written
    /// completely.
    fn may_have_run(&self) -> bool {
        let attempt_written =
            self.in_flight.as_ref().is_some_and(|attempt| attempt.connection.request_written());
        self.may_have_run_at.is_some() || attempt_written
    }

    /// When an attempt that is sent now times out; without a timeout of its own, at the request's deadline.
    pub fn attempt_deadline(&self, now: Micros, timeout: Option<Micros>) -> Micros {
        match timeout {
            None => self.deadline,
            Some(timeout) => now.saturating_add(timeout).min(self.deadline),
        }
    }

    /// The latest time at which an attempt may be written. The decision core checks the deduplication window when it
    /// decides; an attempt whose connection is established after the window has ended must not be sent, since the
    /// request could take effect twice.
    pub fn send_by(&self, attempt_deadline: Micros) -> Micros {
        let first_run = self.may_have_run_at.zip(self.deduplication_window);
        let window_end = first_run.map(|(sent_at, window)| sent_at + window);
        window_end.map_or(attempt_deadline, |end| attempt_deadline.min(end))
    }

    /// Restarts the request's time once the last of a long body is forwarded. Returns the attempt in flight.
    pub fn restart(&mut self, now: Micros, deadline: Micros) -> Option<u32> {
        self.deadline = deadline;
        let attempt = self.in_flight.as_mut()?;
        attempt.sent_at = now;
        Some(attempt.attempt)
    }

    /// Records how an attempt ended. Returns whether the decision core has yet to be notified that the body cannot
    /// be sent again.
    pub fn record_end(&mut self, ended: &InFlightAttempt, status: AttemptStatus) -> bool {
        if status.may_have_run() {
            self.may_have_run_at.get_or_insert(ended.sent_at);
        }
        let unreported = self.outgoing.body.is_consumed() && !self.body_consumption_reported;
        self.body_consumption_reported |= unreported;
        unreported
    }
}

/// A request that was just entered in the table.
pub struct OpenedRequest {
    /// Its number.
    pub id: RequestId,
    /// Receives its final answer.
    pub answer: oneshot::Receiver<Answer>,
}

/// The table of pending requests; no two have the same client's id.
#[derive(Default)]
pub struct RequestTable {
    /// The requests by their numbers.
    requests: HashMap<RequestId, PendingRequest>,
    /// The ids that clients gave them.
    client_request_ids: HashSet<HeaderValue>,
    /// The number of the newest request.
    last_id: u64,
}

impl RequestTable {
    /// Enters a request. `None` while another one with the same client's id is in the table.
    pub fn open(
        &mut self,
        client_request_id: HeaderValue,
        outgoing: OutgoingRequest,
        deadline: Micros,
        deduplication_window: Option<Micros>,
    ) -> Option<OpenedRequest> {
        if !self.client_request_ids.insert(client_request_id.clone()) {
            return None;
        }
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let (sender, receiver) = oneshot::channel();
        let request = PendingRequest {
            client_request_id,
            answer: Some(sender),
            outgoing: Rc::new(outgoing),
            deadline,
            attempts: 0,
            body_consumption_reported: false,
            in_flight: None,
            deduplication_window,
            may_have_run_at: None,
        };
        self.requests.insert(id, request);
        Some(OpenedRequest { id, answer: receiver })
    }

    /// A request.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// A request, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Whether this attempt of a request is in flight.
    pub fn is_in_flight(&self, id: RequestId, attempt: u32) -> bool {
        let in_flight = self.get(id).and_then(|request| request.in_flight.as_ref());
        in_flight.is_some_and(|in_flight| in_flight.attempt == attempt)
    }

    /// Whether a request waits for its answer.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(|request| request.answer.is_some())
    }

    /// The requests whose attempt in flight satisfies a condition, in the order of their numbers.
    pub fn with_attempt(&self, condition: impl Fn(&InFlightAttempt) -> bool) -> Vec<RequestId> {
        let satisfies = |request: &PendingRequest| request.in_flight.as_ref().is_some_and(&condition);
        let selected = self.requests.iter().filter(|(_, request)| satisfies(request));
        let mut ids: Vec<RequestId> = selected.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Gives a request its final answer, unless it has one.
    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(sender) = self.get_mut(id).and_then(|request| request.answer.take()) {
            // A client that has just disconnected needs no answer.
            let _ = sender.send(answer);
            self.remove_if_finished(id);
        }
    }

    /// Removes a request that has its answer and no attempt in flight.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = |request: &PendingRequest| request.answer.is_none() && request.in_flight.is_none();
        if self.get(id).is_some_and(is_finished) {
            if let Some(request) = self.requests.remove(&id) {
                self.client_request_ids.remove(&request.client_request_id);
            }
        }
    }

    /// Whether a timer has nothing left to do, since its request or attempt has ended.
    pub fn is_obsolete(&self, timer: DueTimer) -> bool {
        match timer {
            DueTimer::Decision(_) | DueTimer::CloseExpiredConnections => false,
            DueTimer::AttemptTimeout { id, attempt } => !self.is_in_flight(id, attempt),
            DueTimer::RequestDeadline(id) => !self.is_open(id),
        }
    }
}
