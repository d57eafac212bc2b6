//! HTTP server for operators, which reports whether this process accepts clients and its metrics. A
//! connection serves one request.

use crate::clients::server::ClientServer;
use crate::driver::decision_driver::DecisionDriver;
use crate::network::socket::Socket;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Maximum number of open connections; a further connection closes the oldest one.
pub const MAX_CONNECTIONS: usize = 16;
/// Minimum age at which the oldest connection is closed for a new one. A request takes less time, so the
/// connection is idle.
const MIN_CONNECTION_TIME: Duration = Duration::from_millis(100);
/// Timeout of a connection, from `accept` to the end of its request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after an `accept` error.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(20);
/// Size limit of a connection's read buffer, the smallest one that hyper allows.
const MAX_BUFFER_BYTES: usize = 8 << 10;
/// HTTP path that reports whether this process accepts clients.
const HEALTH_PATH: &str = "/admin/health";
/// HTTP path of the metrics.
const METRICS_PATH: &str = "/admin/stats";

/// Open connection of an operator.
struct OperatorConnection {
    /// Time at which the connection was accepted.
    accepted_at: Instant,
    /// Handle that closes the connection.
    task: AbortHandle,
}

/// HTTP server for operators.
pub struct OperationsServer {
    /// Server whose health is reported.
    clients: Rc<ClientServer>,
    driver: Rc<DecisionDriver>,
}

impl OperationsServer {
    /// Creates a server that reports the health of `clients` and the metrics of `driver`.
    pub fn new(clients: Rc<ClientServer>, driver: Rc<DecisionDriver>) -> Rc<OperationsServer> {
        Rc::new(OperationsServer { clients, driver })
    }

    /// Accepts connections until the future is dropped.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut connections: VecDeque<OperatorConnection> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_ERROR_DELAY).await;
                continue;
            };
            connections.retain(|connection| !connection.task.is_finished());
            if connections.len() >= MAX_CONNECTIONS {
                if let Some(oldest) = connections.pop_front() {
                    sleep_until(oldest.accepted_at + MIN_CONNECTION_TIME).await;
                    oldest.task.abort();
                }
            }
            let serve = timeout(REQUEST_TIMEOUT, self.clone().serve(stream));
            let task = tokio::task::spawn_local(serve).abort_handle();
            connections.push_back(OperatorConnection { accepted_at: Instant::now(), task });
        }
    }

    /// Serves the request of a connection.
    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| {
            let response = self.respond(&request);
            async { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .keep_alive(false)
            .max_buf_size(MAX_BUFFER_BYTES)
            .serve_connection(TokioIo::new(Socket::new(stream)), service);
        // An error concerns only this connection; hyper itself answers a malformed request.
        let _ = connection.await;
    }

    /// Returns the response to a request.
    fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            HEALTH_PATH | METRICS_PATH if request.method() != Method::GET => method_not_allowed(),
            HEALTH_PATH if self.clients.is_accepting() => text_response(StatusCode::OK, "takes clients\n"),
            HEALTH_PATH => text_response(StatusCode::SERVICE_UNAVAILABLE, "takes no clients\n"),
            METRICS_PATH => text_response(StatusCode::OK, self.driver.metrics_text()),
            _ => text_response(StatusCode::NOT_FOUND, "/admin/health or /admin/stats\n"),
        }
    }
}

/// Returns the response to a method other than GET.
fn method_not_allowed() -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "GET only\n");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
    response
}

/// Returns a plain-text response.
fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
