//! One attempt at a request: what goes out, what its owner can see of it meanwhile, and how it ended.

use crate::bodies::forwarding::{ResponseContent, Upload};
use crate::servers::connection::ServerConnection;
use grebehook_core::{AttemptReport, AttemptStatus, Event, LoadReport, Micros, RequestId, ServerId};
use hyper::{HeaderMap, Method, Response, Uri};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// A client's request as it goes on to servers.
pub struct OutgoingRequest {
    /// Its method, unchanged.
    pub method: Method,
    /// Its path and query, unchanged.
    pub uri: Uri,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its body, unchanged.
    pub body: Rc<Upload>,
    /// Whether its client has gone away: nothing more is sent for it then.
    pub client_has_left: Box<dyn Fn() -> bool>,
}

/// The times that an attempt has to keep.
#[derive(Clone, Copy)]
pub struct AttemptTimes {
    /// Its first byte goes out by then, or none does.
    pub send_by: Instant,
    /// It is given up then: its server is told what is left until that time as the request is written.
    pub answer_by: Instant,
}

/// How an attempt ended.
pub struct AttemptResponse {
    /// By the protocol's table.
    pub status: AttemptStatus,
    /// The customer's use, where the answer told it.
    pub reported_usage: Option<f64>,
    /// The request's true units, where a good answer told them.
    pub settled_units: Option<f64>,
    /// The server's load, where the answer told it.
    pub load_report: Option<LoadReport>,
    /// The answer to pass on, if it was served.
    pub response: Option<Response<ResponseContent>>,
}

impl AttemptResponse {
    /// An end without an answer.
    pub fn without_response(status: AttemptStatus) -> AttemptResponse {
        AttemptResponse {
            status,
            reported_usage: None,
            settled_units: None,
            load_report: None,
            response: None,
        }
    }

    /// What the decision core is told of the attempt; `closed` where its request is over.
    pub fn into_event(
        self,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        took: Micros,
        closed: bool,
    ) -> Event {
        let AttemptResponse {
            status, reported_usage: used, settled_units: settled, load_report: load, ..
        } = self;
        Event::AttemptCompleted(AttemptReport {
            id,
            attempt,
            server,
            status,
            elapsed: took,
            request_finished: closed,
            reported_usage: used,
            settled_units: settled,
            load_report: load,
        })
    }
}

/// What the owner of an attempt can see of its connection: none while it is being established.
#[derive(Default)]
pub struct AttemptConnection(RefCell<Option<Rc<ServerConnection>>>);

impl AttemptConnection {
    /// Whether no connection has been given to the attempt yet.
    pub fn is_connecting(&self) -> bool {
        self.0.borrow().is_none()
    }

    /// Gives the attempt its connection, or takes it away again.
    pub fn set(&self, link: Option<Rc<ServerConnection>>) {
        self.0.replace(link);
    }

    /// Whether the attempt's request has been written whole.
    pub fn request_written(&self) -> bool {
        self.0.borrow().as_ref().is_some_and(|link| link.request_written())
    }

    /// Closes the attempt's connection, if it has one.
    pub fn close(&self) {
        if let Some(link) = self.0.borrow().as_ref() {
            link.close();
        }
    }
}
