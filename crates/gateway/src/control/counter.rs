//! HTTP client of the shared counter.

use crate::bodies::size::SERVER_BUFFER_BYTES;
use crate::servers::connection::{OpenConnectionGuard, ServerConnection, ServerConnectionIo};
use bytes::Bytes;
use grebehook_core::{CounterId, CounterResult, Event, Micros};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// Maximum number of open connections: well below what the counter accepts and what the descriptor limit
/// reserves for it.
const MAX_CONNECTIONS: usize = 16;
/// Maximum idle time of a connection that is reused. The counter may close one that has been idle for longer
/// just as a call is written, which leaves it unknown whether the amount was added.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);
/// Maximum size of a reply body; a total is a short decimal number.
const MAX_REPLY_BYTES: usize = 256;

/// HTTP connection to the counter.
struct CounterConnection {
    sender: SendRequest<Empty<Bytes>>,
    /// Underlying connection, which tracks how much of a call has been written.
    transport: Rc<ServerConnection>,
    address: SocketAddr,
    /// Time at which the last reply was received.
    idle_since: Instant,
}

/// Client of the shared counter, with a pool of idle connections.
pub struct SharedCounter {
    /// Address to which new calls are sent.
    address: Cell<SocketAddr>,
    /// Timeout of a call, including the time to connect.
    timeout: Duration,
    /// Number of open connections, idle or in use.
    open_connections: Rc<Cell<usize>>,
    idle_connections: RefCell<Vec<CounterConnection>>,
}

impl SharedCounter {
    /// Creates a client without opening a connection.
    pub fn new(address: SocketAddr, timeout: Duration) -> SharedCounter {
        SharedCounter {
            address: Cell::new(address),
            timeout,
            open_connections: Rc::default(),
            idle_connections: RefCell::default(),
        }
    }

    /// Sets the address for new calls; calls in flight complete at the previous one. Returns whether the
    /// address changed.
    pub fn set_address(&self, address: SocketAddr) -> bool {
        let changed = self.address.replace(address) != address;
        if changed {
            self.idle_connections.borrow_mut().clear();
        }
        changed
    }

    /// Adds `amount` to the total of a counter, at most once. Returns the event that reports the outcome of
    /// the call.
    pub async fn add(&self, counter: CounterId, amount: f64, ttl: Micros) -> Event {
        let start = Instant::now();
        let result = self.call(counter, amount, ttl, start + self.timeout).await;
        let elapsed = start.elapsed().as_micros() as Micros;
        Event::CounterReplied { counter, result, elapsed }
    }

    /// Makes a call over an idle connection, or over a new one if none is usable.
    async fn call(&self, counter: CounterId, amount: f64, ttl: Micros, deadline: Instant) -> CounterResult {
        let uri = format!("/v2/numbers/{:x}?delta={amount}&life_ms={}", counter.0, ttl.div_ceil(1_000));
        let Ok(uri) = Uri::try_from(uri) else { return CounterResult::Refused };
        while let Some(connection) = self.take_idle() {
            // The counter may have closed the idle connection; the call is retried only if none of it was
            // written.
            if let Some(result) = self.call_over(connection, &uri, deadline).await {
                return result;
            }
        }
        let Ok(Some(connection)) = timeout_at(deadline.into(), self.connect()).await else {
            return CounterResult::Refused;
        };
        self.call_over(connection, &uri, deadline).await.unwrap_or(CounterResult::Refused)
    }

    /// Removes and returns the most recently used idle connection that is still usable.
    fn take_idle(&self) -> Option<CounterConnection> {
        let mut idle = self.idle_connections.borrow_mut();
        idle.retain(|connection| {
            !connection.sender.is_closed() && connection.idle_since.elapsed() < MAX_IDLE_TIME
        });
        let last = idle.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(idle.remove(last))
    }

    /// Opens a connection; returns `None` if it cannot be established or [`MAX_CONNECTIONS`] are open.
    async fn connect(&self) -> Option<CounterConnection> {
        if self.open_connections.get() >= MAX_CONNECTIONS {
            return None;
        }
        let guard = OpenConnectionGuard::new(&self.open_connections);
        let address = self.address.get();
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let transport = ServerConnection::new(stream, guard);
        let io = TokioIo::new(ServerConnectionIo(transport.clone()));
        let (sender, connection) =
            http1::Builder::new().max_buf_size(SERVER_BUFFER_BYTES).handshake(io).await.ok()?;
        tokio::task::spawn_local(connection);
        Some(CounterConnection { sender, transport, address, idle_since: Instant::now() })
    }

    /// Makes a call over a connection, which is closed if the call fails. Returns `None` if the connection
    /// failed before the first byte was written.
    async fn call_over(
        &self,
        connection: CounterConnection,
        uri: &Uri,
        deadline: Instant,
    ) -> Option<CounterResult> {
        let transport = connection.transport.clone();
        transport.begin_request(Some(0));
        let reply = timeout_at(deadline.into(), self.exchange(connection, uri)).await;
        let timed_out = reply.is_err();
        if let Ok(Some(result)) = reply {
            return Some(result);
        }
        let result = match transport.request_written() {
            // The request was written completely, so the counter may have added the amount.
            true => Some(CounterResult::Unknown),
            false if timed_out || transport.has_begun_writing() => Some(CounterResult::Refused),
            false => None,
        };
        transport.close();
        result
    }

    /// Sends a call and reads its reply, then returns the connection to the pool. Returns `None` if no valid
    /// reply is received.
    async fn exchange(&self, mut connection: CounterConnection, uri: &Uri) -> Option<CounterResult> {
        let mut request = Request::new(Empty::new());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = uri.clone();
        let host = HeaderValue::from_str(&connection.address.to_string()).ok()?;
        request.headers_mut().insert(HOST, host);
        let response = connection.sender.send_request(request).await.ok()?;
        let result = read_reply(response).await?;
        if connection.address == self.address.get() {
            connection.idle_since = Instant::now();
            self.idle_connections.borrow_mut().push(connection);
        }
        Some(result)
    }
}

/// Reads a reply; returns `None` if it is truncated or malformed.
async fn read_reply(response: Response<Incoming>) -> Option<CounterResult> {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_REPLY_BYTES).collect().await.ok()?.to_bytes();
    match status {
        200 => Some(CounterResult::Total(parse_total(&body)?)),
        400 | 404 | 503 => Some(CounterResult::Refused),
        _ => None,
    }
}

/// Parses the total in a reply body; returns `None` unless it is a finite number.
fn parse_total(body: &[u8]) -> Option<f64> {
    let total: f64 = std::str::from_utf8(body).ok()?.trim().parse().ok()?;
    Some(total).filter(|total| total.is_finite())
}
