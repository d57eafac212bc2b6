//! Health checks of servers.

use crate::bodies::download::ResponseContent;
use crate::bodies::upload::Upload;
use crate::network::headers;
use crate::servers::attempt::{AttemptConnection, AttemptTimes, OutgoingRequest};
use crate::servers::exchange::Upstream;
use grebehook_core::{AttemptStatus, LoadReport, ServerId};
use hyper::header::{HeaderMap, HeaderValue, HOST};
use hyper::{Method, Uri};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

impl Upstream {
    /// Checks a server's health: the status of a request for a path, and the load that the response reports.
    pub async fn probe(
        self: &Rc<Self>,
        server: ServerId,
        path: &'static str,
        limit: Duration,
    ) -> (AttemptStatus, Option<LoadReport>) {
        let request = OutgoingRequest {
            method: Method::GET,
            uri: Uri::from_static(path),
            headers: HeaderMap::from_iter([(HOST, HeaderValue::from_static("server"))]),
            body: Rc::new(Upload::empty()),
            client_has_left: Box::new(|| false),
        };
        let connection = AttemptConnection::default();
        let deadline = Instant::now() + limit;
        let times = AttemptTimes { send_by: deadline, answer_by: deadline };
        let exchange = self.exchange(server, &connection, &request, times, None);
        let Ok(response) = timeout(limit, exchange).await else {
            connection.close();
            return (AttemptStatus::Timeout, None);
        };
        let body = response.response.as_ref().and_then(|response| match response.body() {
            ResponseContent::Buffered(body) => HeaderValue::from_bytes(body).ok(),
            ResponseContent::Forwarded(_) => None,
        });
        // The report is either in a header or the body itself.
        let load_report = response.load_report.or_else(|| headers::load_report(body.as_ref()));
        (response.status, load_report)
    }
}
