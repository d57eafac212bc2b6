//! Records of clients' requests and of their attempts, without any decisions.

use crate::api::{CustomerId, Micros, ServerId};
use crate::endpoints::server_index::Site;

/// An attempt of a request at a server.
pub(crate) struct Attempt {
    /// Server that the attempt was sent to.
    pub server: ServerId,
    /// Site whose servers drop duplicates of the attempt, as listed when the attempt was sent: the server may
    /// leave the list, or return elsewhere, before its request ends. `None` if no server or every one does.
    pub deduplication_site: Option<Site>,
    /// Send time, or the time when the last part of a streamed body was sent.
    pub sent_at: Micros,
    /// Whether the attempt has no outcome yet.
    pub in_flight: bool,
    /// Whether the attempt has ended and its server may have begun work on it.
    pub may_have_run: bool,
    /// Number of requests expected in flight at the server when the attempt was sent.
    pub expected_in_flight: f64,
    /// Whether the attempt was sent with the attempt timeout of its class rather than the request's deadline.
    pub uses_attempt_timeout: bool,
    /// Whether the complete request was sent to the server.
    pub fully_sent: bool,
}

/// A client's request.
#[derive(Default)]
pub(crate) struct Request {
    /// Index of the request's class.
    pub class: usize,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Customer that the request is charged to.
    pub customer: CustomerId,
    /// Units of quota that the request uses.
    pub units: f64,
    /// Time when the request, or the last part of a streamed body, reached this machine.
    pub arrived_at: Micros,
    /// Time that the client has spent on earlier tries of the same request, in microseconds.
    pub elapsed_before_arrival: Micros,
    /// Time by which the request must have its final answer.
    pub deadline: Micros,
    /// Whether the request is queued for its pacing delay or for the shared counter.
    pub queued: bool,
    /// Whether the request is within the customer's quota.
    pub within_quota: bool,
    /// Whether the response has begun to stream.
    pub response_started: bool,
    /// Whether the response is waited for beyond the client's time, which rules out further attempts.
    pub response_late: bool,
    /// Whether part of the body was forwarded without being buffered, which rules out further attempts.
    pub body_consumed: bool,
    /// Whether part of the body has not been forwarded yet, so that the client timeout has not begun.
    pub body_incomplete: bool,
    /// Whether the request has its final answer or its client disconnected.
    pub finished: bool,
    /// Attempts of the request, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Returns the first attempt that has ended and on which its server may have begun work.
    pub fn first_attempt_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    /// Returns the first attempt that may have run, or may still run because it is in flight.
    pub fn first_attempt_that_may_take_effect(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run || attempt.in_flight)
    }

    /// Returns the site that further attempts must stay in, because an attempt may have run there; `None` if
    /// they are not limited to a site.
    pub fn required_site(&self) -> Option<Site> {
        self.first_attempt_that_may_take_effect()?.deduplication_site
    }

    /// Restarts the client timeout at the arrival of a part of the body, at most until `latest_deadline`.
    pub fn restart_client_timeout(&mut self, arrived_at: Micros, latest_deadline: Micros) {
        let client_timeout = self.deadline.saturating_sub(self.arrived_at);
        self.arrived_at = arrived_at;
        self.deadline = (arrived_at + client_timeout).min(latest_deadline);
    }

    /// Returns whether an attempt has no outcome yet.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Returns the time left until the latency objective, counted from the client's first try; 0 once it has
    /// passed.
    pub fn objective_left(&self, now: Micros, latency_objective: Micros) -> Micros {
        (self.arrived_at + latency_objective).saturating_sub(now + self.elapsed_before_arrival)
    }
}
