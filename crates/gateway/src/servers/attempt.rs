//! One attempt at a request: the request that is sent, the state of its connection, and its outcome.

use crate::bodies::download::ResponseContent;
use crate::bodies::upload::Upload;
use crate::servers::connection::ServerConnection;
use grebehook_core::{AttemptReport, AttemptStatus, Event, LoadReport, Micros, RequestId, ServerId};
use hyper::{HeaderMap, Method, Response, Uri};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

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
}

impl AttemptConnection {
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

    /// Closes the attempt's connection, if it has one.
    pub fn close(&self) {
        if let Some(connection) = self.connection.borrow().as_ref() {
            connection.close();
        }
    }
}
