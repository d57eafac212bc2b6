//! The client of the shared counter.

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

/// Most connections at a time: well below what the counter accepts and what the descriptor limit reserves for it.
const MAX_CONNECTIONS: usize = 16;
/// A connection that has been idle for longer is not reused: the counter may close it just as a call is written,
/// and it would be unknown whether the amount was added.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Largest reply that is read; a total is a short text.
const MAX_REPLY_BYTES: usize = 256;

/// A connection to the counter.
struct CounterConnection {
    /// Sends calls over it.
    sender: SendRequest<Empty<Bytes>>,
    /// Reports how much of a call was written.
    link: Rc<ServerConnection>,
    /// The counter's address.
    address: SocketAddr,
    /// When its last reply was received.
    idle_since: Instant,
}

/// The counter's address and the idle connections to it.
pub struct SharedCounter {
    /// Where new calls go.
    address: Cell<SocketAddr>,
    /// How long a call may take.
    timeout: Duration,
    /// How many connections are open, idle or not.
    open: Rc<Cell<usize>>,
    /// Connections without a call.
    idle: RefCell<Vec<CounterConnection>>,
}

impl SharedCounter {
    /// A counter at an address, with no connection yet.
    pub fn new(address: SocketAddr, timeout: Duration) -> SharedCounter {
        SharedCounter { address: Cell::new(address), timeout, open: Rc::default(), idle: RefCell::default() }
    }

    /// Sends calls to another address from now on; those in flight end at the old one. Returns whether it changed.
    pub fn relocate(&self, address: SocketAddr) -> bool {
        let changed = self.address.replace(address) != address;
        if changed {
            self.idle.borrow_mut().clear();
        }
        changed
    }

    /// Adds to a key once. Returns the event that reports how the call ended.
    pub async fn add(&self, counter: CounterId, amount: f64, ttl: Micros) -> Event {
        let start = Instant::now();
        let result = self.call(counter, amount, ttl, start + self.timeout).await;
        let elapsed = start.elapsed().as_micros() as Micros;
        Event::CounterReplied { counter, result, elapsed }
    }

    /// Makes a call over an idle connection or else a new one.
    async fn call(&self, counter: CounterId, amount: f64, ttl: Micros, deadline: Instant) -> CounterResult {
        let uri = format!("/v2/numbers/{:x}?delta={amount}&life_ms={}", counter.0, ttl.div_ceil(1_000));
        let Ok(uri) = Uri::try_from(uri) else { return CounterResult::Refused };
        while let Some(connection) = self.take_idle() {
            // The counter may have closed an idle connection; the call can be repeated if none of it was written.
            if let Some(result) = self.call_over(connection, &uri, deadline).await {
                return result;
            }
        }
        let Ok(Some(connection)) = timeout_at(deadline.into(), self.connect()).await else {
            return CounterResult::Refused;
        };
        self.call_over(connection, &uri, deadline).await.unwrap_or(CounterResult::Refused)
    }

    /// The most recently used idle connection that is still usable.
    fn take_idle(&self) -> Option<CounterConnection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| {
            !connection.sender.is_closed() && connection.idle_since.elapsed() < MAX_IDLE
        });
        let last = idle.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(idle.remove(last))
    }

    /// A new connection; `None` if it cannot be established or there are too many.
    async fn connect(&self) -> Option<CounterConnection> {
        if self.open.get() >= MAX_CONNECTIONS {
            return None;
        }
        let guard = OpenConnectionGuard::new(&self.open);
        let address = self.address.get();
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let link = ServerConnection::new(stream, guard);
        let io = TokioIo::new(ServerConnectionIo(link.clone()));
        let (sender, connection) = http1::handshake(io).await.ok()?;
        tokio::task::spawn_local(connection);
        Some(CounterConnection { sender, link, address, idle_since: Instant::now() })
    }

    /// Makes a call over a connection, which is closed if the call fails. `None` if the connection failed before the
    /// first byte was written.
    async fn call_over(
        &self,
        connection: CounterConnection,
        uri: &Uri,
        deadline: Instant,
    ) -> Option<CounterResult> {
        let link = connection.link.clone();
        link.begin_request(Some(0));
        let reply = timeout_at(deadline.into(), self.exchange(connection, uri)).await;
        let timed_out = reply.is_err();
        if let Ok(Some(result)) = reply {
            return Some(result);
        }
        let result = match link.request_written() {
            // Once the last byte is written, the amount may have been added.
            true => Some(CounterResult::Unknown),
            false if timed_out || link.has_begun_writing() => Some(CounterResult::Refused),
            false => None,
        };
        link.close();
        result
    }

    /// Sends a call and reads its reply, after which the connection is idle. `None` if there is no valid reply.
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
            self.idle.borrow_mut().push(connection);
        }
        Some(result)
    }
}

/// Reads a reply; `None` if it breaks off or is not valid.
async fn read_reply(response: Response<Incoming>) -> Option<CounterResult> {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_REPLY_BYTES).collect().await.ok()?.to_bytes();
    match status {
        200 => Some(CounterResult::Total(parse_total(&body)?)),
        400 | 404 | 503 => Some(CounterResult::Refused),
        _ => None,
    }
}

/// The total that a reply gives.
fn parse_total(body: &[u8]) -> Option<f64> {
    let total: f64 = std::str::from_utf8(body).ok()?.trim().parse().ok()?;
    Some(total).filter(|total| total.is_finite())
}
