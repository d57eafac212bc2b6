//! The record of a client's request and of its attempts; nothing is decided here.

use crate::api::*;

/// An attempt of a request at a server.
pub(crate) struct Attempt {
    pub server: ServerId,
    pub sent_at: Micros,
    /// No outcome yet.
    pub in_flight: bool,
    pub may_have_run: bool,
    /// Requests that the server was expected to hold at the send.
    pub expected_in_flight: f64,
    /// Waited for no longer than a slow answer takes.
    pub uses_attempt_timeout: bool,
    /// The server has the whole request.
    pub fully_sent: bool,
}

/// A client's request.
#[derive(Default)]
pub(crate) struct Request {
    pub class: usize,
    pub plan: usize,
    pub customer: CustomerId,
    pub units: f64,
    pub arrived_at: Micros,
    /// Time that the client has spent on earlier tries.
    pub elapsed_before_arrival: Micros,
    pub deadline: Micros,
    /// Waits for its delay or for the counter.
    pub queued: bool,
    /// Within the customer's quota.
    pub within_quota: bool,
    /// Its answer has begun to stream.
    pub response_started: bool,
    /// Part of its body has gone on that is at hand no more.
    pub body_consumed: bool,
    /// Part of its body is still to come.
    pub body_incomplete: bool,
    /// Answered, or left by its client.
    pub finished: bool,
    pub attempts: Vec<Attempt>,
}
