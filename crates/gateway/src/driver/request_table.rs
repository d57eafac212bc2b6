//! The requests that are open, or of which an attempt is out.

use crate::driver::request::Answer;
use crate::driver::timers::DueTimer;
use crate::servers::attempt::{AttemptConnection, OutgoingRequest};
use grebehook_core::{AttemptStatus, Micros, RequestId, ServerId};
use hyper::header::HeaderValue;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// An attempt that is out.
pub struct InFlightAttempt {
    /// Its number among those of its request.
    pub attempt: u32,
    /// Where it went.
    pub server: ServerId,
    /// When.
    pub sent_at: Micros,
    /// Its connection.
    pub connection: Rc<AttemptConnection>,
    /// Its task.
    pub task: AbortHandle,
}

/// A request in the table. Its final answer goes through a sender that is used up by the first, so that a
/// second cannot be given.
pub struct PendingRequest {
    /// The client's id for it, among those that are open.
    call: HeaderValue,
    /// Where its one answer goes, until it is given.
    pub answer: Option<oneshot::Sender<Answer>>,
    /// What goes out.
    pub outgoing: Rc<OutgoingRequest>,
    /// When its client waits no longer.
    pub client_deadline: Micros,
    /// Attempts so far.
    pub attempts: u32,
    /// The module knows that its body cannot be sent again.
    body_consumed: bool,
    /// The attempt that is out.
    pub in_flight: Option<InFlightAttempt>,
    /// How long servers drop repeats, for a keyed class.
    deduplication_window: Option<Micros>,
    /// When the first attempt that may have run was sent.
    pub may_have_run_at: Option<Micros>,
}

impl InFlightAttempt {
    /// Gives the attempt up: nothing of it is on the network when this returns. How it ended thereby.
    pub fn abort(&self, status: AttemptStatus) -> AttemptStatus {
        let unsent = !self.connection.request_written();
        self.connection.close();
        self.task.abort();
        match status {
            // What was not written whole cannot have run, whatever it was given up for.
            AttemptStatus::Timeout | AttemptStatus::Cancelled if unsent => AttemptStatus::NotSent,
            status => status,
        }
    }
}

impl PendingRequest {
    /// Ends a request whose client has gone away. One that ended only its own side can still read the answer.
    pub fn end_if_client_left(&mut self) {
        if self.answer.is_none() || !(self.outgoing.client_has_left)() {
            return;
        }
        let answer = if self.cannot_have_run() { Answer::Rejected(None) } else { Answer::Failed };
        if let Some(sender) = self.answer.take() {
            let _ = sender.send(answer);
        }
    }

    /// Whether no server can have run it: no attempt that may have, and none written whole that is still out.
    pub fn cannot_have_run(&self) -> bool {
        self.may_have_run_at.is_none()
            && self.in_flight.as_ref().is_none_or(|running| !running.connection.request_written())
    }

    /// When an attempt that is sent now ends; a time-out of 0 leaves it the whole limit.
    pub fn deadline(&self, now: Micros, timeout: Micros) -> Micros {
        match timeout {
            0 => self.client_deadline,
            _ => now.saturating_add(timeout).min(self.client_deadline),
        }
    }

    /// Until when an attempt may go out. The decision core holds a repeat to the window as it decides; one whose
    /// connection comes up later than that must not go out, or its effect could happen twice.
    pub fn send_by(&self, deadline: Micros) -> Micros {
        let window_end =
            self.may_have_run_at.zip(self.deduplication_window).map(|(ran, window)| ran + window);
        window_end.map_or(deadline, |end| deadline.min(end))
    }

    /// The last of a long body has gone on: its time begins now. The attempt that is out.
    pub fn restart(&mut self, now: Micros, limit: Micros) -> Option<u32> {
        self.client_deadline = limit;
        let running = self.in_flight.as_mut()?;
        running.sent_at = now;
        Some(running.attempt)
    }

    /// Notes how an attempt ended. Whether the module is to learn that the body cannot be sent again.
    pub fn record_end(&mut self, ended: &InFlightAttempt, status: AttemptStatus) -> bool {
        let never_ran =
            matches!(status, AttemptStatus::Rejected | AttemptStatus::ConnectFailed | AttemptStatus::NotSent);
        if !never_ran {
            self.may_have_run_at.get_or_insert(ended.sent_at);
        }
        self.outgoing.body.is_consumed() && !std::mem::replace(&mut self.body_consumed, true)
    }
}

/// The table. The clients' ids of its requests are all different.
#[derive(Default)]
pub struct RequestTable {
    requests: HashMap<RequestId, PendingRequest>,
    calls: HashSet<HeaderValue>,
    last: u64,
}

impl RequestTable {
    /// A new request, open until the limit; where its answer will arrive. `None` while another with its client's
    /// id is in the table.
    pub fn open(
        &mut self,
        call: HeaderValue,
        outgoing: OutgoingRequest,
        limit: Micros,
        window: Option<Micros>,
    ) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        if !self.calls.insert(call.clone()) {
            return None;
        }
        self.last += 1;
        let id = RequestId(self.last);
        let (sender, receiver) = oneshot::channel();
        let held = PendingRequest {
            call,
            answer: Some(sender),
            outgoing: Rc::new(outgoing),
            client_deadline: limit,
            attempts: 0,
            body_consumed: false,
            in_flight: None,
            deduplication_window: window,
            may_have_run_at: None,
        };
        self.requests.insert(id, held);
        Some((id, receiver))
    }

    /// A request.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// A request, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Whether this attempt of a request is out.
    pub fn is_running(&self, id: RequestId, attempt: u32) -> bool {
        let running = self.get(id).and_then(|held| held.in_flight.as_ref());
        running.is_some_and(|running| running.attempt == attempt)
    }

    /// Whether a request waits for its answer.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(|held| held.answer.is_some())
    }

    /// The requests whose attempt answers to this, in their order.
    pub fn with_attempt(&self, select: impl Fn(&InFlightAttempt) -> bool) -> Vec<RequestId> {
        let selected = |held: &PendingRequest| held.in_flight.as_ref().is_some_and(&select);
        let selected = self.requests.iter().filter(|(_, held)| selected(held));
        let mut ids: Vec<RequestId> = selected.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Gives a request its final answer, unless it has one.
    pub fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(sender) = self.get_mut(id).and_then(|held| held.answer.take()) {
            // A client that left a moment ago needs no answer.
            let _ = sender.send(answer);
            self.forget(id);
        }
    }

    /// Drops a request once it is over and no attempt is out.
    pub fn forget(&mut self, id: RequestId) {
        let over = |held: &PendingRequest| held.answer.is_none() && held.in_flight.is_none();
        if self.get(id).is_some_and(over) {
            if let Some(held) = self.requests.remove(&id) {
                self.calls.remove(&held.call);
            }
        }
    }

    /// Whether nothing is left to do when this falls due, since the request or its attempt has ended.
    pub fn is_spent(&self, due: DueTimer) -> bool {
        match due {
            DueTimer::Decision(_) | DueTimer::RetireIdleConnections => false,
            DueTimer::Attempt(id, attempt) => !self.is_running(RequestId(id), attempt),
            DueTimer::RequestLimit(id) => !self.is_open(RequestId(id)),
        }
    }
}
