//! One attempt at a request: what is sent, what its owner can see of its connection, and how it ended.

use crate::bodies::download::ResponseContent;
use crate::bodies::upload::Upload;
use crate::servers::connection::ServerConnection;
use grebehook_core::{AttemptReport, AttemptStatus, Event, LoadReport, Micros, RequestId, ServerId};
use hyper::{HeaderMap, Method, Response, Uri};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// A client's request as it is forwarded to servers.
pub struct OutgoingRequest {
    /// The client's method.
    pub method: Method,
    /// The client's path and query.
    pub uri: Uri,
    /// The client's end-to-end headers.
    pub headers: HeaderMap,
    /// The client's body.
    pub body: Rc<Upload>,
    /// Whether the client has disconnected, so that nothing more is sent.
    pub client_has_disconnected: Rc<dyn Fn() -> bool>,
}

/// The time limits of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptDeadlines {
    /// Its first byte is written by then, or none is.
    pub send_by: Instant,
    /// It times out then. Its server is sent the time that remains.
    pub answer_by: Instant,
}

/// How an attempt ended.
pub struct AttemptResponse {
    /// What the response, or its absence, means for the request.
    pub status: AttemptStatus,
    /// The customer's usage of its quota, where the response reports it.
    pub reported_usage: Option<f64>,
    /// The units that the request really took, where a successful response reports them.
    pub settled_units: Option<f64>,
    /// The server's load, where the response reports it.
    pub load_report: Option<LoadReport>,
    /// The response to forward, if the attempt succeeded.
    pub response: Option<Response<ResponseContent>>,
}

impl AttemptResponse {
    /// The end of an attempt without a response.
    pub fn without_response(status: AttemptStatus) -> AttemptResponse {
        AttemptResponse {
            status,
            reported_usage: None,
            settled_units: None,
            load_report: None,
            response: None,
        }
    }

    /// The event that reports the attempt's end to the decision core.
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

/// The connection of an attempt, as its owner sees it: none while it is being established.
#[derive(Default)]
pub struct AttemptConnection {
    /// The connection, once the attempt has one.
    connection: RefCell<Option<Rc<ServerConnection>>>,
}

impl AttemptConnection {
    /// Whether the attempt still waits for its connection.
    pub fn is_connecting(&self) -> bool {
        self.connection.borrow().is_none()
    }

    /// Sets the connection of the attempt, or removes it again.
    pub fn set(&self, connection: Option<Rc<ServerConnection>>) {
        self.connection.replace(connection);
    }

    /// Whether the attempt's request has been written completely.
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
