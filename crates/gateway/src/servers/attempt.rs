//! One attempt at a request: the request that is sent, the state of its connection, and its outcome.

use crate::bodies::download::ResponseContent;
use crate::bodies::late_answer::ClientDeadline;
use crate::bodies::upload::Upload;
use crate::operations::request_log::ResponseProgress;
use crate::servers::connection::ServerConnection;
use grebehook_core::{AttemptReport, AttemptStatus, Event, LoadReport, Micros, RequestId, ServerId};
use hyper::{HeaderMap, Method, Response, Uri};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout_at;

/// Longest time before the timeout of an attempt at which the response that is still arriving is passed on. The client
/// has to receive its beginning by then, also from a process that waited for a core.
const MAX_PASS_ON_MARGIN: Duration = Duration::from_millis(50);
/// Divisor of the time of an attempt that gives the margin of a short one.
const PASS_ON_MARGIN_DIVISOR: u32 = 4;
/// Interval between checks for the deadline of an attempt whose request is still arriving.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A client's request in the form in which it is forwarded to servers.
pub struct OutgoingRequest {
    /// HTTP method of the client's request.
    pub method: Method,
    /// Path and query of the client's request.
    pub uri: Uri,
    /// End-to-end headers of the client's request.
    pub headers: HeaderMap,
    /// Body of the client's request.
    pub body: Rc<Upload>,
    /// Reports whether the client has disconnected; nothing more is sent once it has.
    pub client_has_disconnected: Rc<dyn Fn() -> bool>,
}

/// Deadlines for sending an attempt and for receiving its response.
#[derive(Clone, Copy)]
pub struct AttemptDeadlines {
    /// Latest time at which the first byte may be written; after it, nothing is written.
    pub send_deadline: Instant,
    /// Time at which the attempt times out. The time remaining until then is the forwarded timeout that the
    /// server receives.
    pub response_deadline: Instant,
}

/// The outcome of an attempt, with or without a response.
pub struct AttemptOutcome {
    /// Classification of the response or of its absence.
    pub status: AttemptStatus,
    /// The customer's quota usage, if the response reports it.
    pub reported_usage: Option<f64>,
    /// Units that the request actually used, if a successful response reports them.
    pub settled_units: Option<f64>,
    /// The server's load, if the response reports it.
    pub load_report: Option<LoadReport>,
    /// Response to forward to the client, if the attempt succeeded.
    pub response: Option<Response<ResponseContent>>,
}

impl AttemptOutcome {
    /// Returns the outcome of an attempt that received no response.
    pub fn without_response(status: AttemptStatus) -> AttemptOutcome {
        AttemptOutcome {
            status,
            reported_usage: None,
            settled_units: None,
            load_report: None,
            response: None,
        }
    }

    /// Converts the outcome to the event that reports it to the decision core.
    pub fn into_event(
        self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        elapsed: Micros,
        request_finished: bool,
    ) -> Event {
        Event::AttemptCompleted(AttemptReport {
            id,
            attempt,
            server,
            status: self.status,
            elapsed,
            request_finished,
            reported_usage: self.reported_usage,
            settled_units: self.settled_units,
            load_report: self.load_report,
        })
    }
}

/// The connection of an attempt, shared between the attempt's task and the code that may abort the attempt;
/// empty while the connection is being established.
#[derive(Default)]
pub struct AttemptConnection {
    connection: RefCell<Option<Rc<ServerConnection>>>,
    /// Time at which the attempt times out; `None` while the client's time has not begun.
    attempt_deadline: Cell<Option<Instant>>,
    /// Time until which the client waits.
    client_deadline: ClientDeadline,
    /// Time by which every request must have its answer because the process ends; `None` until a shutdown begins.
    shutdown_deadline: Cell<Option<Instant>>,
    /// Time at which a response that is still arriving is passed on; `None` while the client's time has not begun.
    pass_on_at: Cell<Option<Instant>>,
    /// Notified when `pass_on_at` changes.
    pass_on_changed: Notify,
    /// Whether the attempt times out so long before the client does that another one may follow.
    leaves_time_for_retry: Cell<bool>,
}

impl AttemptConnection {
    /// Sets the time at which the attempt times out, and until which the client waits.
    pub fn set_deadlines(&self, attempt_deadline: Instant, client_deadline: Instant) {
        self.attempt_deadline.set(Some(attempt_deadline));
        self.client_deadline.set(Some(client_deadline));
        self.schedule_pass_on();
    }

    /// Sets the time by which every request must have its answer because the process ends.
    pub fn set_shutdown_deadline(&self, deadline: Instant) {
        self.shutdown_deadline.set(Some(deadline));
        self.schedule_pass_on();
    }

    /// Computes when a response that is still arriving is passed on.
    fn schedule_pass_on(&self) {
        let Some(attempt_deadline) = self.attempt_deadline.get() else { return };
        let Some(client_deadline) = self.client_deadline.get() else { return };
        let before_shutdown = |at: Instant| self.shutdown_deadline.get().map_or(at, |end| at.min(end));
        let last_chance = before_shutdown(attempt_deadline);
        let remaining = last_chance.saturating_duration_since(Instant::now());
        let margin = MAX_PASS_ON_MARGIN.min(remaining / PASS_ON_MARGIN_DIVISOR);
        self.pass_on_at.set(Some(last_chance - margin));
        let time_after = before_shutdown(client_deadline).saturating_duration_since(last_chance);
        self.leaves_time_for_retry.set(time_after > MAX_PASS_ON_MARGIN);
        self.pass_on_changed.notify_one();
    }

    /// Returns whether the attempt times out so long before the client does that another one may follow.
    pub fn leaves_time_for_retry(&self) -> bool {
        self.leaves_time_for_retry.get()
    }

    /// Returns the time until which the client waits, as it changes.
    pub fn client_deadline(&self) -> ClientDeadline {
        self.client_deadline.clone()
    }

    /// Waits until the response that is still arriving has to be passed on to its client.
    pub async fn pass_on_due(&self) {
        loop {
            let due = self.pass_on_at.get();
            if due.is_some_and(|due| due <= Instant::now()) {
                return;
            }
            let check_at = due.unwrap_or(Instant::now() + DEADLINE_CHECK_INTERVAL);
            // The time is looked at again whether it has come or has changed.
            let _ = timeout_at(check_at.into(), self.pass_on_changed.notified()).await;
        }
    }

    /// Returns whether the attempt is still waiting for its connection.
    pub fn is_connecting(&self) -> bool {
        self.connection.borrow().is_none()
    }

    /// Sets the attempt's connection, or removes it if `None`.
    pub fn set(&self, connection: Option<Rc<ServerConnection>>) {
        self.connection.replace(connection);
    }

    /// Returns whether the attempt's request has been written completely.
    pub fn request_written(&self) -> bool {
        self.connection.borrow().as_ref().is_some_and(|connection| connection.request_written())
    }

    /// Returns what has come of the response; `None` while the connection is being established.
    pub fn response_progress(&self) -> Option<ResponseProgress> {
        self.connection.borrow().as_ref().map(|connection| connection.response_progress())
    }

    /// Closes the attempt's connection, if it has one.
    pub fn close(&self) {
        if let Some(connection) = self.connection.borrow().as_ref() {
            connection.close();
        }
    }
}
