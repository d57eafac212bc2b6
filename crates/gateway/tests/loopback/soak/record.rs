//! What a run of the soak saw, from outside the gateway.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A request that reached a server whole.
#[derive(Debug)]
pub struct Receipt {
    pub call: String,
    pub server: usize,
    pub first_byte: Instant,
    pub whole: Instant,
    /// The time that the gateway said it would wait.
    pub told: Duration,
    /// The server's answer proves that it has not run.
    pub rejected: bool,
}

/// How a request ended for its client.
#[derive(Debug)]
pub enum End {
    Answer {
        status: u16,
        whole: bool,
        at: Instant,
    },
    /// The gateway closed the connection with no answer.
    Closed,
    /// The client left.
    Left(Instant),
}

#[derive(Debug)]
pub struct Sent {
    pub call: String,
    pub class: usize,
    pub budget: Duration,
    /// Its last byte was written.
    pub written: Instant,
    pub first_on_connection: bool,
    pub end: End,
}

/// What a run saw, for the judge.
#[derive(Default)]
pub struct Record {
    pub receipts: Mutex<Vec<Receipt>>,
    pub sent: Mutex<Vec<Sent>>,
    /// From when to when a server was told to drain.
    pub drains: Mutex<Vec<(usize, Instant, Option<Instant>)>>,
    pub lives: Mutex<Vec<Life>>,
}

/// When a process was started, and told to stop.
#[derive(Clone, Copy, Debug)]
pub struct Life {
    pub started: Instant,
    pub told_to_stop: Option<Instant>,
}

impl Record {
    /// The process that was there at a time.
    pub fn life_at(&self, at: Instant) -> Option<Life> {
        self.lives.lock().unwrap().iter().rfind(|life| life.started <= at).copied()
    }

    /// How long after the signal to stop, if that had come, a time was.
    pub fn since_signal(&self, at: Instant) -> Option<Duration> {
        self.life_at(at)?.told_to_stop.and_then(|told| at.checked_duration_since(told))
    }
}
