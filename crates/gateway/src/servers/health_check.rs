//! Active health checks of servers.

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

/// Outcome of a health check.
pub struct HealthCheckResult {
    /// Status of the health check's request.
    pub status: AttemptStatus,
    /// The server's load, if the response reports it.
    pub load_report: Option<LoadReport>,
}

impl Upstream {
    /// Checks a server's health with a GET request for `path`, which times out after `check_timeout`.
    pub async fn check_health(
        self: &Rc<Self>,
        server: ServerId,
        path: &'static str,
        check_timeout: Duration,
    ) -> HealthCheckResult {
        let request = OutgoingRequest {
            method: Method::GET,
            uri: Uri::from_static(path),
            headers: HeaderMap::from_iter([(HOST, HeaderValue::from_static("server"))]),
            body: Rc::new(Upload::empty()),
            client_has_disconnected: Rc::new(|| false),
        };
        let connection = AttemptConnection::default();
        let deadline = Instant::now() + check_timeout;
        let deadlines = AttemptDeadlines { send_deadline: deadline, response_deadline: deadline };
        let exchange = self.exchange(server, &connection, &request, deadlines, None);
        let Ok(outcome) = timeout(check_timeout, exchange).await else {
            connection.close();
            return HealthCheckResult { status: AttemptStatus::Timeout, load_report: None };
        };
        let body = outcome.response.as_ref().and_then(|response| match response.body() {
            ResponseContent::Buffered(content) => HeaderValue::from_bytes(&content.data.to_vec()).ok(),
            ResponseContent::Streamed(_) => None,
        });
        // The load report is either in a header or the body itself.
        let load_report = outcome.load_report.or_else(|| headers::load_report(body.as_ref()));
        HealthCheckResult { status: outcome.status, load_report }
    }
}
