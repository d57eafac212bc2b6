//! Table of the requests that await an answer or have an attempt in flight.

use crate::driver::pending_request::{InFlightAttempt, NewRequest, PendingRequest};
use crate::driver::recent_ids::RecentIds;
use crate::driver::request::Answer;
use crate::driver::timers::Timer;
use grebehook_core::{Micros, RequestId};
use hyper::header::HeaderValue;
use std::collections::{HashMap, HashSet};
use std::time::Instant;
use tokio::sync::oneshot;

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
        let request = PendingRequest::new(request, sender);
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

    /// Sets the time by which the attempts in flight must have their responses because the process ends.
    pub fn set_attempts_shutdown_deadline(&self, deadline: Instant) {
        for in_flight in self.requests.values().filter_map(|request| request.in_flight.as_ref()) {
            in_flight.connection.set_shutdown_deadline(deadline);
        }
    }

    /// Returns the time by which every request must have its answer because the process ends; `None` until a shutdown
    /// begins.
    pub fn shutdown_deadline(&self) -> Option<Micros> {
        self.shutdown_deadline
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
                let may_have_run = request.ended_attempt_may_have_run();
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
