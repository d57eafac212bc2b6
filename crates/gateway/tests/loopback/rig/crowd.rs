//! Many clients of one gateway, whose sockets one thread writes and reads without blocking.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time without any progress after which a crowd is at rest.
const REST_TIME: Duration = Duration::from_millis(300);
/// Time after which a crowd that is not at rest is left.
const MAX_TIME: Duration = Duration::from_secs(6);
/// Interval between two rounds over all clients.
const ROUND_INTERVAL: Duration = Duration::from_millis(2);

/// A client of the crowd.
struct CrowdClient {
    stream: TcpStream,
    /// The part of the input that has not been written yet.
    unsent: Vec<u8>,
}

impl CrowdClient {
    /// Writes as much as the system takes. Returns whether anything was written.
    fn write(&mut self) -> bool {
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
}
