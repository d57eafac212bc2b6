//! Health checks of servers.

use crate::bodies::download::ResponseContent;
use crate::bodies::upload::Upload;
use crate::network::headers;
use crate::servers::attempt::{AttemptConnection, AttemptDeadlines, OutgoingRequest};
use crate::servers::exchange::Upstream;
use grebehook_core::{AttemptStatus, LoadReport, ServerId};
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Method, Uri};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// The result of a health check.
pub struct HealthCheck {
    /// How the request ended.
    pub status: AttemptStatus,
    /// The load that the response reports.
    pub load_report: Option<LoadReport>,
}

impl Upstream {
    /// Checks a server's health by a request for a path.
    pub async fn check_health(
        self: &Rc<Self>,
        server: ServerId,
        path: &'static str,
        limit: Duration,
    ) -> HealthCheck {
        let request = OutgoingRequest {
            method: Method::GET,
            uri: Uri::from_static(path),
            headers: HeaderMap::from_iter([(HOST, HeaderValue::from_static("server"))]),
            body: Rc::new(Upload::empty()),
            client_has_disconnected: Rc::new(|| false),
        };
        let connection = AttemptConnection::default();
        let deadline = Instant::now() + limit;
        let times = AttemptDeadlines { send_by: deadline, answer_by: deadline };
        let exchange = self.exchange(server, &connection, &request, times, None);
        let Ok(response) = timeout(limit, exchange).await else {
            connection.close();
            return HealthCheck { status: AttemptStatus::Timeout, load_report: None };
        };
        let body = response.response.as_ref().and_then(|response| match response.body() {
            ResponseContent::Buffered(body) => HeaderValue::from_bytes(body).ok(),
            ResponseContent::Forwarded(_) => None,
        });
        // The report is either in a header or the body itself.
        let load_report = response.load_report.or_else(|| headers::load_report(body.as_ref()));
        HealthCheck { status: response.status, load_report }
    }
}
