//! What a run of the soak observed, from outside the gateway.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A request that reached a server completely.
#[derive(Debug)]
pub struct Receipt {
    /// The id of the request.
    pub request_id: String,
    /// The number of the server.
    pub server: usize,
    /// When the server's machine received its first byte.
    pub first_byte_at: Instant,
    /// When the server's machine had received it completely.
    pub complete_at: Instant,
    /// How long the client waits according to the gateway.
    pub forwarded_timeout: Duration,
    /// Whether the server's response proves that it did not run.
    pub rejected: bool,
}

/// How a request ended for its client.
#[derive(Debug)]
pub enum RequestEnd {
    /// The client got a response.
    Response {
        /// Its status code.
        status: u16,
        /// Whether its body had the announced length.
        complete: bool,
        /// When it had arrived.
        at: Instant,
    },
    /// The gateway closed the connection without a response.
    Closed,
    /// The client disconnected at this time.
    Disconnected(Instant),
}

/// A request as its client saw it.
#[derive(Debug)]
pub struct ClientRequest {
    /// Its id.
    pub id: String,
    /// The number of its class.
    pub class: usize,
    /// How long its client waits.
    pub timeout: Duration,
    /// When its connection had been established.
    pub connected_at: Instant,
    /// When its last byte had been written.
    pub written_at: Instant,
    /// Whether it is the first request on its connection.
    pub first_on_connection: bool,
    /// How it ended.
    pub end: RequestEnd,
}

/// A time during which discovery published a server as draining.
pub struct Drain {
    /// The number of the server.
    pub server: usize,
    /// When the change was published.
    pub published_at: Instant,
    /// When the server was published as ready again.
    pub ended_at: Option<Instant>,
}

/// A time during which the gateway process was stopped.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// When it was about to be stopped.
    pub from: Instant,
    /// When it ran again.
    pub to: Instant,
}

impl Pause {
    /// How much of an interval it covers.
    fn overlap(&self, from: Instant, to: Instant) -> Duration {
        self.to.min(to).saturating_duration_since(self.from.max(from))
    }
}

/// One gateway process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRun {
    /// When it was started.
    pub started_at: Instant,
    /// When it got its first signal to stop.
    pub signaled_at: Option<Instant>,
}

/// All that a run observed.
#[derive(Default)]
pub struct Record {
    /// The requests that reached servers.
    pub receipts: Mutex<Vec<Receipt>>,
    /// The requests that clients sent.
    pub requests: Mutex<Vec<ClientRequest>>,
    /// The drains.
    pub drains: Mutex<Vec<Drain>>,
    /// The pauses of gateway processes.
    pub pauses: Mutex<Vec<Pause>>,
    /// The gateway processes in their order.
    pub processes: Mutex<Vec<ProcessRun>>,
}

impl Record {
    /// Records that a server is published as draining.
    pub fn drain_started(&self, server: usize) {
        let drain = Drain { server, published_at: Instant::now(), ended_at: None };
        self.drains.lock().unwrap().push(drain);
    }

    /// Records that a server has been published as ready.
    pub fn drain_ended(&self, server: usize) {
        let mut drains = self.drains.lock().unwrap();
        let open = drains.iter_mut().filter(|drain| drain.server == server && drain.ended_at.is_none());
        open.for_each(|drain| drain.ended_at = Some(Instant::now()));
    }

    /// Records that a process is about to start.
    pub fn process_started(&self) {
        let process = ProcessRun { started_at: Instant::now(), signaled_at: None };
        self.processes.lock().unwrap().push(process);
    }

    /// Records that the running process gets its first signal to stop.
    pub fn process_signaled(&self, signaled_at: Instant) {
        for process in self.processes.lock().unwrap().iter_mut() {
            process.signaled_at.get_or_insert(signaled_at);
        }
    }

    /// How long the gateway was stopped in an interval.
    pub fn paused_between(&self, from: Instant, to: Instant) -> Duration {
        self.pauses.lock().unwrap().iter().map(|pause| pause.overlap(from, to)).sum()
    }

    /// The process that was running at a time.
    pub fn process_at(&self, at: Instant) -> Option<ProcessRun> {
        self.processes.lock().unwrap().iter().rfind(|process| process.started_at <= at).copied()
    }

    /// How long after the signal to stop a time was, if the process had got it.
    pub fn since_signal(&self, at: Instant) -> Option<Duration> {
        self.process_at(at)?.signaled_at.and_then(|signaled_at| at.checked_duration_since(signaled_at))
    }
}
