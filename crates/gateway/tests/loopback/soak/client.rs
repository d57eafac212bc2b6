//! The clients of the soak, which send requests, some in two parts, disconnect at random, and record the
//! outcomes.

use super::plan::{milliseconds, CLASSES};
use super::record::{ClientRequest, Record, RequestOutcome};
use super::server::LONG_BODY_BYTES;
use crate::rig::message::{pattern, read_message};
use crate::rig::received_answer::ReceivedAnswer;
use crate::rig::request::{idempotent_request, keyed_request, non_idempotent_request, with_client_timeout};
use fastrand::Rng;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Probability that a request is written in two parts, in percent.
const SPLIT_PERCENT: u8 = 10;
/// Probability that a client disconnects before it reads the response, in percent.
const DISCONNECT_PERCENT: u8 = 8;
/// Probability that a client that disconnected comes again with the same id, in percent.
const REPEAT_PERCENT: u8 = 50;
/// Time beyond its timeout after which a client treats a response as missing.
const READ_GRACE: Duration = Duration::from_secs(5);

/// A client that reuses its connection for as long as it is open.
pub struct SoakClient {
    /// Address on which the gateway listens.
    pub address: SocketAddr,
    /// Record that receives the outcomes of requests.
    pub record: Arc<Record>,
    /// Random number generator of this client.
    pub rng: Rng,
    /// Deadline of all classes.
    pub deadline: Duration,
    /// Connection of the previous request, if it is still open.
    pub connection: Option<Connection>,
}

/// A connection to the gateway.
pub struct Connection {
    stream: BufReader<TcpStream>,
    /// Time at which the connection was established.
    connected_at: Instant,
    /// Whether no request has been sent on the connection yet.
    is_new: bool,
}

/// A randomly generated request that has not been sent yet.
struct GeneratedRequest {
    id: String,
    /// Index of the request's class.
    class: usize,
    /// Client timeout.
    timeout: Duration,
    text: String,
}

impl Connection {
    /// Connects to the gateway; returns `None` if that fails.
    fn open(address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect(address).ok()?;
        let connected_at = Instant::now();
        stream.set_nodelay(true).ok()?;
        Some(Connection { stream: BufReader::new(stream), connected_at, is_new: true })
    }
}

impl SoakClient {
    /// Sends one request after another until `stop` is set.
    pub fn run(&mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            self.send_request();
        }
    }

    /// Sends a request and records its outcome; returns `None` if the request could not be written.
    fn send_request(&mut self) -> Option<()> {
        thread::sleep(Duration::from_millis(self.rng.u64(..30)));
        let mut connection = self.connection.take().or_else(|| Connection::open(self.address))?;
        let request = self.generate_request();
        self.write(connection.stream.get_mut(), &request.text).ok()?;
        let written_at = Instant::now();
        let connected_at = connection.connected_at;
        let first_on_connection = connection.is_new;
        let outcome = if self.rng.u8(..100) < DISCONNECT_PERCENT {
            self.disconnect(connection)
        } else {
            self.read_response(connection, request.timeout)
        };
        let has_left = matches!(outcome, RequestOutcome::Disconnected(_));
        let repeated = has_left && self.rng.u8(..100) < REPEAT_PERCENT && self.repeat(&request);
        let GeneratedRequest { id, class, timeout, .. } = request;
        let sent = ClientRequest {
            id,
            class,
            timeout,
            connected_at,
            written_at,
            first_on_connection,
            repeated,
            outcome,
        };
        self.record.requests.lock().unwrap().push(sent);
        Some(())
    }

    /// Generates a random request whose client timeout is between half the deadline and the deadline.
    fn generate_request(&mut self) -> GeneratedRequest {
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
        GeneratedRequest { id, class, timeout: Duration::from_millis(timeout_ms), text }
    }

    /// Writes a request, in some cases in two parts with a wait between them.
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

    /// Closes the connection after less than 100 ms without reading a response.
    fn disconnect(&mut self, connection: Connection) -> RequestOutcome {
        thread::sleep(Duration::from_millis(self.rng.u64(..100)));
        drop(connection);
        RequestOutcome::Disconnected(Instant::now())
    }

    /// Sends a request that was left once more with its id, over a new connection. Returns whether it did: a process that is
    /// about to be killed takes what it knows of the request with it.
    fn repeat(&mut self, request: &GeneratedRequest) -> bool {
        if self.record.is_stopping(Instant::now()) {
            return false;
        }
        let Some(mut connection) = Connection::open(self.address) else { return false };
        if connection.stream.get_mut().write_all(request.text.as_bytes()).is_ok() {
            connection.stream.get_ref().set_read_timeout(Some(request.timeout)).unwrap();
            let _ = read_message(&mut connection.stream);
        }
        true
    }

    /// Reads the response, and keeps the connection if the gateway leaves it open.
    fn read_response(&mut self, mut connection: Connection, timeout: Duration) -> RequestOutcome {
        connection.stream.get_ref().set_read_timeout(Some(timeout + READ_GRACE)).unwrap();
        let read_at = Instant::now();
        let response = ReceivedAnswer::read(&mut connection.stream, read_at);
        if response.status == 0 {
            return RequestOutcome::Closed;
        }
        if !response.closes && response.is_whole {
            self.connection = Some(Connection { is_new: false, ..connection });
        }
        RequestOutcome::Response {
            status: response.status,
            complete: response.is_whole,
            is_long: response.body == pattern(LONG_BODY_BYTES),
            began_at: read_at + response.began_after,
            at: read_at + response.ended_after,
        }
    }
}
