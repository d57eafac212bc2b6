//! Where operators call: whether this process takes clients, and its figures. One call a connection.

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

/// Connections at once. One more closes the oldest...
pub const MAX_CONNECTIONS: usize = 16;
/// ...which has had this long by then: a true call is over sooner, so that one waits idly.
const SETTLED: Duration = Duration::from_millis(100);
/// How long a connection may take over its call.
const CALL_MOST: Duration = Duration::from_secs(5);
/// The pause after an accept error.
const PAUSE: Duration = Duration::from_millis(20);
/// The least that hyper lets a read buffer hold.
const BUFFER: usize = 8 << 10;

/// Answers operators.
pub struct OperationsServer {
    front: Rc<ClientServer>,
    core: Rc<DecisionDriver>,
}

impl OperationsServer {
    /// Answers for this front and this core.
    pub fn new(front: Rc<ClientServer>, core: Rc<DecisionDriver>) -> Rc<OperationsServer> {
        Rc::new(OperationsServer { front, core })
    }

    /// Takes calls for ever.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<(Instant, AbortHandle)> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(PAUSE).await;
                continue;
            };
            callers.retain(|(_, c)| !c.is_finished());
            if callers.len() >= MAX_CONNECTIONS {
                if let Some((since, oldest)) = callers.pop_front() {
                    sleep_until(since + SETTLED).await;
                    oldest.abort();
                }
            }
            let call = timeout(CALL_MOST, self.clone().call(stream));
            callers.push_back((Instant::now(), tokio::task::spawn_local(call).abort_handle()));
        }
    }

    async fn call(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| {
            let answer = self.answer(&request);
            async { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new()
            .keep_alive(false)
            .max_buf_size(BUFFER)
            .serve_connection(TokioIo::new(Socket::new(stream)), service);
        // A call that broke concerns its caller alone. hyper answers what it cannot read.
        let _ = connection.await;
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let plain = |status, text: String| {
            let mut response = Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = status;
            response
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
            response
        };
        match request.uri().path() {
            "/admin/health" | "/admin/stats" if request.method() != Method::GET => {
                let mut response = plain(StatusCode::METHOD_NOT_ALLOWED, "GET only\n".to_owned());
                response.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
                response
            }
            "/admin/health" if self.front.accepting() => plain(StatusCode::OK, "takes clients\n".to_owned()),
            "/admin/health" => plain(StatusCode::SERVICE_UNAVAILABLE, "takes no clients\n".to_owned()),
            "/admin/stats" => plain(StatusCode::OK, self.core.metrics_text()),
            _ => plain(StatusCode::NOT_FOUND, "/admin/health or /admin/stats\n".to_owned()),
        }
    }
}
