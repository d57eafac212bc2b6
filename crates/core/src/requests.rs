//! The records of clients' requests and of their attempts; nothing is decided here.

use crate::api::{CustomerId, Micros, ServerId};

/// An attempt of a request at a server.
pub(crate) struct Attempt {
    /// The server that it was sent to.
    pub server: ServerId,
    /// When it was sent, or when the last of a long body was.
    pub sent_at: Micros,
    /// No outcome yet.
    pub in_flight: bool,
    /// Its server may have begun work on it.
    pub may_have_run: bool,
    /// Requests that the server was expected to have in flight at the send.
    pub expected_in_flight: f64,
    /// Waited for no longer than a slow response takes.
    pub uses_attempt_timeout: bool,
    /// The server has received the complete request.
    pub fully_sent: bool,
}

/// A client's request.
#[derive(Default)]
pub(crate) struct Request {
    /// Index of its class.
    pub class: usize,
    /// Index of its plan.
    pub plan: usize,
    /// Whose it is.
    pub customer: CustomerId,
    /// Units of quota that it uses.
    pub units: f64,
    /// When it reached this machine, or when the last of a long body did.
    pub arrived_at: Micros,
    /// Time that the client has spent on earlier tries of the same request.
    pub elapsed_before_arrival: Micros,
    /// When it must have its final answer.
    pub deadline: Micros,
    /// Waits for its pacing delay or for the shared counter.
    pub queued: bool,
    /// Within the customer's quota.
    pub within_quota: bool,
    /// Its response has begun to stream.
    pub response_started: bool,
    /// Part of its body was forwarded and is not buffered.
    pub body_consumed: bool,
    /// Part of its body is still to come.
    pub body_incomplete: bool,
    /// Answered, or abandoned by its client.
    pub finished: bool,
    /// Its attempts in the order of their sends.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// The first attempt that ended and may have run.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    /// The first attempt that may have run or may still do so.
    pub fn first_that_may_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run || attempt.in_flight)
    }

    /// Whether an attempt has no outcome yet.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// The remainder of a latency objective at a time, counted from the client's first try.
    pub fn objective_left(&self, now: Micros, latency_objective: Micros) -> Micros {
        (self.arrived_at + latency_objective).saturating_sub(now + self.elapsed_before_arrival)
    }
}
