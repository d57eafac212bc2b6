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

/// Longest time before the client timeout at which a response that is still arriving is passed on. The client has to
/// receive its beginning by then, also from a process that waited for a core.
const MAX_PASS_ON_MARGIN: Duration = Duration::from_millis(50);
/// Divisor of the time of an attempt that gives the margin of a short one.
const PASS_ON_MARGIN_DIVISOR: u32 = 4;
/// Time after the client timeout until which a response that has begun to arrive is waited for. A final answer may come
/// half a second late, also from a process that waited for a core.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(300);
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
    /// Time until which the client waits.
    client_deadline: ClientDeadline,
    /// Time by which every request must have its answer because the process ends; `None` until a shutdown begins.
    shutdown_deadline: Cell<Option<Instant>>,
    /// When a response that is not whole is passed on; `None` while the client's time has not begun.
    pass_on_times: Cell<Option<PassOnTimes>>,
    /// Notified when `pass_on_times` changes.
    times_changed: Notify,
    /// Whether a response has begun that may be a long one.
    has_long_response: Cell<bool>,
    /// Called, once, when the response has begun to arrive and is waited for beyond the client timeout.
    on_late: RefCell<Option<Box<dyn FnOnce()>>>,
}

/// When a response that is still arriving is passed on.
#[derive(Clone, Copy)]
struct PassOnTimes {
    /// Time at which a response is passed on that its server is writing.
    due: Instant,
    /// Time by which any other response is passed on or given up.
    latest: Instant,
}

impl AttemptConnection {
    /// Sets the time until which the client waits.
    pub fn set_client_deadline(&self, client_deadline: Instant) {
        self.client_deadline.set(Some(client_deadline));
        self.schedule_pass_on();
    }

    /// Sets the time by which every request must have its answer because the process ends.
    pub fn set_shutdown_deadline(&self, deadline: Instant) {
        self.shutdown_deadline.set(Some(deadline));
        self.schedule_pass_on();
    }

    /// Sets the function to call when the response is waited for beyond the client timeout.
    pub fn on_late(&self, callback: impl FnOnce() + 'static) {
        self.on_late.replace(Some(Box::new(callback)));
    }

    /// Reports that the response is waited for beyond the client timeout.
    pub fn notify_late(&self) {
        let callback = self.on_late.borrow_mut().take();
        if let Some(callback) = callback {
            callback();
        }
    }

    /// Computes when a response that is still arriving is passed on.
    fn schedule_pass_on(&self) {
        let Some(client_deadline) = self.client_deadline.get() else { return };
        let now = Instant::now();
        let just_before = |end: Instant| {
            let remaining = end.saturating_duration_since(now);
            end - MAX_PASS_ON_MARGIN.min(remaining / PASS_ON_MARGIN_DIVISOR)
        };
        let before_shutdown =
            |at: Instant| self.shutdown_deadline.get().map_or(at, |end| at.min(just_before(end)));
        let due = before_shutdown(just_before(client_deadline));
        let latest = before_shutdown(client_deadline + LATE_RESPONSE_WAIT);
        self.pass_on_times.set(Some(PassOnTimes { due, latest }));
        self.times_changed.notify_one();
    }

    /// Returns the time until which the client waits, as it changes.
    pub fn client_deadline(&self) -> ClientDeadline {
        self.client_deadline.clone()
    }

    /// Waits until a response has to be passed on that its server is writing.
    pub async fn pass_on_due(&self) {
        self.wait_until(|times| times.due).await;
    }

    /// Waits until any response has to be passed on or given up.
    pub async fn latest_pass_on(&self) {
        self.wait_until(|times| times.latest).await;
    }

    /// Waits until one of the times, which may change meanwhile.
    async fn wait_until(&self, time: impl Fn(PassOnTimes) -> Instant) {
        loop {
            let at = self.pass_on_times.get().map(&time);
            if at.is_some_and(|at| at <= Instant::now()) {
                return;
            }
            let check_at = at.unwrap_or(Instant::now() + DEADLINE_CHECK_INTERVAL);
            // The time is looked at again whether it has come or has changed.
            let _ = timeout_at(check_at.into(), self.times_changed.notified()).await;
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

    /// Records that a response has begun that may be a long one.
    pub fn record_long_response(&self) {
        self.has_long_response.set(true);
    }

    /// Returns whether a response has begun that may be a long one, and its server has written part of it within
    /// `max_pause`.
    pub fn is_long_response_arriving(&self, max_pause: Duration) -> bool {
        let progress = self.response_progress().filter(|_| self.has_long_response.get());
        progress.is_some_and(|progress| progress.pause < max_pause)
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
