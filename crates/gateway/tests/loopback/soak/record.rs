//! The observations of a run of the soak, made outside the gateway.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// An attempt that a server received completely.
#[derive(Debug)]
pub struct ReceivedAttempt {
    /// Value of the request's `X-Call-Id` header.
    pub request_id: String,
    /// Number of the server.
    pub server: usize,
    /// Time at which the server's kernel received the first byte.
    pub first_byte_at: Instant,
    /// Time at which the server's kernel received the last byte.
    pub complete_at: Instant,
    /// Remaining client timeout that the gateway forwarded.
    pub forwarded_timeout: Duration,
    /// Whether the server's response proves that the request did not run.
    pub rejected: bool,
    /// Whether the server writes a long response with pauses.
    pub responds_slowly: bool,
}

/// The outcome of a request as its client saw it.
#[derive(Debug)]
pub enum RequestOutcome {
    /// The client received a response.
    Response {
        status: u16,
        /// Whether the body ended as its head announced.
        complete: bool,
        /// Whether the body is the long one of a server that writes it slowly.
        is_long: bool,
        /// Time at which the client received the first byte of the response.
        began_at: Instant,
        /// Time at which the client finished reading the response.
        at: Instant,
    },
    /// The gateway closed the connection without a response.
    Closed,
    /// The client disconnected at this time before it read a response.
    Disconnected(Instant),
}

/// A request as its client saw it.
#[derive(Debug)]
pub struct ClientRequest {
    /// Value of the `X-Call-Id` header.
    pub id: String,
    /// Index of the request's class.
    pub class: usize,
    /// Client timeout.
    pub timeout: Duration,
    /// Time at which the connection was established.
    pub connected_at: Instant,
    /// Time at which the client finished writing the request.
    pub written_at: Instant,
    /// Whether the request is the first on its connection.
    pub first_on_connection: bool,
    /// Whether the client came again with the same id after it had disconnected.
    pub repeated: bool,
    /// Response, or the way in which the connection ended without one.
    pub outcome: RequestOutcome,
}

/// A period during which the discovery agent published a server as draining.
pub struct Drain {
    /// Number of the server.
    pub server: usize,
    /// Time right before the server was published as draining.
    pub published_at: Instant,
    /// Time at which the server was published as ready again, if it was.
    pub ended_at: Option<Instant>,
}

/// A period during which the gateway process was paused.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// Time right before the process was paused.
    pub from: Instant,
    /// Time right after the process was resumed.
    pub to: Instant,
}

impl Pause {
    /// Returns the length of the overlap with an interval.
    fn overlap(&self, from: Instant, to: Instant) -> Duration {
        self.to.min(to).saturating_duration_since(self.from.max(from))
    }
}

/// The lifetime of one gateway process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRun {
    /// Time right before the process was started.
    pub started_at: Instant,
    /// Time right before the first signal to stop was sent, if one was.
    pub signaled_at: Option<Instant>,
}

/// All observations of a run.
#[derive(Default)]
pub struct Record {
    /// Attempts that servers received completely.
    pub attempts: Mutex<Vec<ReceivedAttempt>>,
    /// Requests that clients wrote completely.
    pub requests: Mutex<Vec<ClientRequest>>,
    /// Published drains of servers.
    pub drains: Mutex<Vec<Drain>>,
    /// Pauses of gateway processes.
    pub pauses: Mutex<Vec<Pause>>,
    /// Times right before SIGKILL was sent.
    pub kills: Mutex<Vec<Instant>>,
    /// Gateway processes in the order of their start.
    pub processes: Mutex<Vec<ProcessRun>>,
}

impl Record {
    /// Records that a server is about to be published as draining.
    pub fn drain_started(&self, server: usize) {
        let drain = Drain { server, published_at: Instant::now(), ended_at: None };
        self.drains.lock().unwrap().push(drain);
    }

    /// Records that a server is published as ready again.
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

    /// Records that the running process is about to get its first signal to stop.
    pub fn stop_signal_sent(&self, signaled_at: Instant) {
        for process in self.processes.lock().unwrap().iter_mut() {
            process.signaled_at.get_or_insert(signaled_at);
        }
    }

    /// Records that the running process is about to be killed.
    pub fn process_killed(&self) {
        self.kills.lock().unwrap().push(Instant::now());
    }

    /// Returns whether a process was killed in an interval.
    pub fn was_killed_between(&self, from: Instant, to: Instant) -> bool {
        self.kills.lock().unwrap().iter().any(|killed_at| (from..=to).contains(killed_at))
    }

    /// Returns the total time that the gateway was paused in an interval.
    pub fn paused_between(&self, from: Instant, to: Instant) -> Duration {
        self.pauses.lock().unwrap().iter().map(|pause| pause.overlap(from, to)).sum()
    }

    /// Returns the last process that was started at or before a time.
    pub fn process_at(&self, at: Instant) -> Option<ProcessRun> {
        self.processes.lock().unwrap().iter().rfind(|process| process.started_at <= at).copied()
    }

    /// Returns whether the process of that time has been told to stop.
    pub fn is_stopping(&self, at: Instant) -> bool {
        self.process_at(at).is_none_or(|process| process.signaled_at.is_some())
    }

    /// Returns the time since the signal to stop the process of that time, or `None` if it had not been sent.
    pub fn time_since_signal(&self, at: Instant) -> Option<Duration> {
        self.process_at(at)?.signaled_at.and_then(|signaled_at| at.checked_duration_since(signaled_at))
    }
}
