//! The clients of the soak: they send requests, some in two parts, disconnect as is drawn, and record what they saw.

use super::plan::{milliseconds, CLASSES};
use super::record::{ClientRequest, Record, RequestEnd};
use crate::rig::message::read_message;
use crate::rig::request::{idempotent_request, keyed_request, non_idempotent_request, with_client_timeout};
use fastrand::Rng;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The probability that a request is written in two parts.
const SPLIT_PERCENT: u8 = 10;
/// The probability that a client disconnects before its response.
const DISCONNECT_PERCENT: u8 = 8;
/// How long a client waits beyond its timeout before it takes a response for missing.
const READ_GRACE: Duration = Duration::from_secs(5);

/// A client, which uses a connection for as long as it is open.
pub struct SoakClient {
    /// Where the gateway listens.
    pub address: SocketAddr,
    /// What the run observed.
    pub record: Arc<Record>,
    /// The source of its draws.
    pub rng: Rng,
    /// The deadline of all classes.
    pub deadline: Duration,
    /// The connection of the previous request, if it is still open.
    pub connection: Option<Connection>,
}

/// A connection to the gateway.
pub struct Connection {
    /// The stream.
    stream: BufReader<TcpStream>,
    /// When it had been established.
    connected_at: Instant,
    /// Whether no request was sent on it yet.
    is_new: bool,
}

/// A request about to be sent.
struct DrawnRequest {
    /// Its id.
    id: String,
    /// The number of its class.
    class: usize,
    /// How long its client waits.
    timeout: Duration,
    /// Its text.
    text: String,
}

impl Connection {
    /// Connects to the gateway.
    fn open(address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect(address).ok()?;
        let connected_at = Instant::now();
        stream.set_nodelay(true).ok()?;
        Some(Connection { stream: BufReader::new(stream), connected_at, is_new: true })
    }
}

impl SoakClient {
    /// Sends one request after another until told to stop.
    pub fn run(&mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            self.send_request();
        }
    }

    /// Sends a request and records its end; `None` if it could not be written.
    fn send_request(&mut self) -> Option<()> {
        thread::sleep(Duration::from_millis(self.rng.u64(..30)));
        let mut connection = self.connection.take().or_else(|| Connection::open(self.address))?;
        let request = self.draw_request();
        self.write(connection.stream.get_mut(), &request.text).ok()?;
        let written_at = Instant::now();
        let connected_at = connection.connected_at;
        let first_on_connection = connection.is_new;
        let end = if self.rng.u8(..100) < DISCONNECT_PERCENT {
            self.disconnect(connection)
        } else {
            self.read_response(connection, request.timeout)
        };
        let DrawnRequest { id, class, timeout, .. } = request;
        let sent = ClientRequest { id, class, timeout, connected_at, written_at, first_on_connection, end };
        self.record.requests.lock().unwrap().push(sent);
        Some(())
    }

    /// Draws a request with a client timeout of half the deadline or more.
    fn draw_request(&mut self) -> DrawnRequest {
        let class = self.rng.usize(..CLASSES.len());
        let body = "b".repeat(self.rng.usize(..3_000));
        let text = match class {
            0 => idempotent_request(),
            1 => keyed_request(&body),
            _ => non_idempotent_request(&body),
        };
        let timeout_ms = milliseconds(self.deadline.mul_f64(0.5 + 0.5 * self.rng.f64()));
        let text = with_client_timeout(&text, timeout_ms);
        let id = text.split("X-Call-Id: ").nth(1).unwrap().split('\r').next().unwrap().to_owned();
        DrawnRequest { id, class, timeout: Duration::from_millis(timeout_ms), text }
    }

    /// Writes a request, in some cases in two parts with a pause between them.
    fn write(&mut self, stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
        let is_split = self.rng.u8(..100) < SPLIT_PERCENT;
        let split_at = if is_split { self.rng.usize(..text.len()) } else { 0 };
        let (start, rest) = text.as_bytes().split_at(split_at);
        stream.write_all(start)?;
        if split_at > 0 {
            thread::sleep(Duration::from_millis(self.rng.u64(..60)));
        }
        stream.write_all(rest)
    }

    /// Disconnects after some milliseconds.
    fn disconnect(&mut self, connection: Connection) -> RequestEnd {
        thread::sleep(Duration::from_millis(self.rng.u64(..100)));
        drop(connection);
        RequestEnd::Disconnected(Instant::now())
    }

    /// Reads the response, and keeps the connection if it stays open.
    fn read_response(&mut self, mut connection: Connection, timeout: Duration) -> RequestEnd {
        connection.stream.get_ref().set_read_timeout(Some(timeout + READ_GRACE)).unwrap();
        let response = read_message(&mut connection.stream).filter(|response| response.status() > 0);
        let Some(response) = response else { return RequestEnd::Closed };
        let at = Instant::now();
        if response.header("connection") != "close" && response.complete {
            self.connection = Some(Connection { is_new: false, ..connection });
        }
        RequestEnd::Response { status: response.status(), complete: response.complete, at }
    }
}
