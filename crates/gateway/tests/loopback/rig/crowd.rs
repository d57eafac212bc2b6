//! Many clients of one gateway, whose sockets one thread writes and reads without blocking.

use super::EVENT_TIMEOUT;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time without any progress after which a crowd is at rest.
const REST_TIME: Duration = Duration::from_millis(300);
/// Time after which a crowd that is not at rest is left.
const MAX_TIME: Duration = Duration::from_secs(6);
/// Interval between two rounds over all clients.
const ROUND_INTERVAL: Duration = Duration::from_millis(2);

/// Position of the status code in a response.
const STATUS_START: usize = 9;
/// Position behind the status code in a response.
const STATUS_END: usize = 12;

/// One connection, and what is still to be written to it.
struct CrowdClient {
    stream: TcpStream,
    /// The part of the input that has not been written yet.
    unsent: Vec<u8>,
}

impl CrowdClient {
    /// Writes as much as the system takes. Returns whether anything was written.
    fn write(&mut self) -> bool {
        if self.unsent.is_empty() {
            return false;
        }
        match self.stream.write(&self.unsent) {
            Ok(written) => {
                self.unsent.drain(..written);
                written > 0
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            // The gateway has closed the connection.
            Err(_) => {
                self.unsent.clear();
                false
            }
        }
    }

    /// Waits for the beginning of an answer and returns its status code, or the error.
    fn read_status(&mut self) -> String {
        let mut start = [0; STATUS_END];
        self.stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        match self.stream.read_exact(&mut start) {
            Ok(()) => String::from_utf8_lossy(&start[STATUS_START..]).into_owned(),
            Err(error) => error.to_string(),
        }
    }
}

/// Many clients of one gateway.
pub struct Crowd {
    clients: Vec<CrowdClient>,
}

impl Crowd {
    /// Connects `count` clients; `input` returns what a client is going to write.
    pub fn connect(address: SocketAddr, count: usize, mut input: impl FnMut() -> Vec<u8>) -> Crowd {
        let mut connect = || {
            let stream = TcpStream::connect(address).unwrap();
            stream.set_nonblocking(true).unwrap();
            CrowdClient { stream, unsent: input() }
        };
        Crowd { clients: (0..count).map(|_| connect()).collect() }
    }

    /// Connects at most `count` clients, as many as the gateway takes.
    pub fn connect_available(address: SocketAddr, count: usize, mut input: impl FnMut() -> Vec<u8>) -> Crowd {
        let mut connect = || {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_nonblocking(true).ok()?;
            Some(CrowdClient { stream, unsent: input() })
        };
        Crowd { clients: (0..count).map_while(|_| connect()).collect() }
    }

    /// Returns whether the crowd has no clients.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Writes the input of all clients for some time, or until `stop` is set. The clients read nothing.
    pub fn write_for(&mut self, time: Duration, stop: &AtomicBool) {
        let start = Instant::now();
        while start.elapsed() < time && !stop.load(Ordering::SeqCst) {
            for client in &mut self.clients {
                client.write();
            }
            thread::sleep(ROUND_INTERVAL);
        }
    }

    /// Writes the input of all clients until nothing moves any more, at most for [`MAX_TIME`]. The clients read
    /// nothing.
    pub fn write_until_at_rest(&mut self) {
        let start = Instant::now();
        let mut last_progress = start;
        while last_progress.elapsed() < REST_TIME && start.elapsed() < MAX_TIME {
            let moved = self.clients.iter_mut().filter_map(|client| client.write().then_some(())).count();
            if moved > 0 {
                last_progress = Instant::now();
            }
            thread::sleep(ROUND_INTERVAL);
        }
    }

    /// Connects clients one after another, of which each sends its request and waits for the beginning of its answer.
    /// Returns them with the status codes, or errors, of their answers.
    pub fn connect_answered(
        address: SocketAddr,
        count: usize,
        request: impl Fn() -> String,
    ) -> (Crowd, Vec<String>) {
        let mut clients = Vec::new();
        let mut statuses = Vec::new();
        for _ in 0..count {
            let mut client = CrowdClient { stream: TcpStream::connect(address).unwrap(), unsent: Vec::new() };
            client.stream.write_all(request().as_bytes()).unwrap();
            statuses.push(client.read_status());
            clients.push(client);
        }
        (Crowd { clients }, statuses)
    }
}
