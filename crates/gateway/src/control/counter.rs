//! The shared counter: carries the module's calls to it and tells what each came to.

use crate::servers::connection::{self, ServerConnection, ServerConnectionIo};
use bytes::Bytes;
use grebehook_core::{CounterId, CounterResult, Event, Micros};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderValue, HOST};
use hyper::{Method, Request, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// Connections at once: well under what the counter holds and what the gateway spares for it.
const MAX_CONNECTIONS: usize = 16;
/// A connection idle for longer is not used again: the counter may close it just as a call is written, and
/// nobody could tell then whether the amount was added.
const IDLE_MOST: Duration = Duration::from_secs(2);
/// Largest answer read; a total is a short text.
const ANSWER_MOST: usize = 256;

struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    link: Rc<ServerConnection>,
    address: SocketAddr,
    idle_since: Instant,
}

/// The counter's address, and the idle connections to it.
pub struct SharedCounter {
    address: Cell<SocketAddr>,
    timeout: Duration,
    open: Rc<Cell<usize>>,
    idle: RefCell<Vec<Connection>>,
}

impl SharedCounter {
    /// A counter at an address, whose calls end after a time; no connection yet.
    pub fn new(address: SocketAddr, limit: Duration) -> SharedCounter {
        SharedCounter {
            address: Cell::new(address),
            timeout: limit,
            open: Rc::default(),
            idle: RefCell::default(),
        }
    }

    /// Calls go to another address from now on; those that are out end where they are. Whether it changed.
    pub fn relocate(&self, address: SocketAddr) -> bool {
        let moved = self.address.replace(address) != address;
        if moved {
            self.idle.borrow_mut().clear();
        }
        moved
    }

    /// Adds to a number once, and tells the decision core how that ended.
    pub async fn add(&self, counter: CounterId, amount: f64, ttl: Micros) -> Event {
        let start = Instant::now();
        let result = self.call(counter, amount, ttl, start + self.timeout).await;
        let elapsed = start.elapsed().as_micros() as Micros;
        Event::CounterReplied { counter, result, elapsed }
    }

    async fn call(&self, counter: CounterId, amount: f64, ttl: Micros, until: Instant) -> CounterResult {
        let path = format!("/v2/numbers/{:x}?delta={amount}&life_ms={}", counter.0, ttl.div_ceil(1_000));
        let Ok(path) = Uri::try_from(path) else { return CounterResult::Refused };
        loop {
            let (connection, used) = match self.idle() {
                Some(connection) => (connection, true),
                None => match timeout_at(until.into(), self.connect()).await {
                    Ok(Some(connection)) => (connection, false),
                    Ok(None) | Err(_) => return CounterResult::Refused,
                },
            };
            let link = connection.link.clone();
            link.begin_request(Some(0));
            let count = match timeout_at(until.into(), self.over(connection, &path)).await {
                Ok(Some(count)) => return count,
                Ok(None) if used && !link.has_begun_writing() => continue,
                // No answer that can be read: once the last byte is out, the amount may have been added.
                Ok(None) | Err(_) if link.request_written() => CounterResult::Unknown,
                Ok(None) | Err(_) => CounterResult::Refused,
            };
            link.close();
            return count;
        }
    }

    /// The connection used last, if it is fit for use.
    fn idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|c| !c.sender.is_closed() && c.idle_since.elapsed() < IDLE_MOST);
        let last = idle.iter().rposition(|c| c.sender.is_ready())?;
        Some(idle.remove(last))
    }

    /// A new connection; none where it does not come up or there are enough.
    async fn connect(&self) -> Option<Connection> {
        if self.open.get() >= MAX_CONNECTIONS {
            return None;
        }
        let (opened, address) = (connection::OpenConnectionGuard::new(&self.open), self.address.get());
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let link = ServerConnection::new(stream, opened);
        let (sender, connection) =
            http1::handshake(TokioIo::new(ServerConnectionIo(link.clone()))).await.ok()?;
        tokio::task::spawn_local(connection);
        Some(Connection { sender, link, address, idle_since: Instant::now() })
    }

    /// One call over a connection, which is kept if its answer was sound; `None` if there is no such answer.
    async fn over(&self, mut connection: Connection, path: &Uri) -> Option<CounterResult> {
        let mut request = Request::new(Empty::new());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = path.clone();
        let host = HeaderValue::from_str(&connection.address.to_string()).ok()?;
        request.headers_mut().insert(HOST, host);
        let response = connection.sender.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), ANSWER_MOST).collect().await.ok()?.to_bytes();
        let count = match status {
            200 => CounterResult::Total(number(&body)?),
            400 | 404 | 503 => CounterResult::Refused,
            _ => return None,
        };
        if connection.address == self.address.get() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().push(connection);
        }
        Some(count)
    }
}

fn number(body: &[u8]) -> Option<f64> {
    let total: f64 = std::str::from_utf8(body).ok()?.trim().parse().ok()?;
    Some(total).filter(|t| t.is_finite())
}
