//! The actions that the decision core asks the decision driver to carry out.

use super::{CounterId, Micros, RequestId, ServerId, TimerId};

/// Why a request gets a final answer that is not the response of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerReason {
    /// The request names an unknown class or plan, or an implausible number of units.
    Invalid,
    /// The client's time was over, or nearly over, when the request arrived.
    NoTimeLeft,
    /// The customer has used up its quota.
    OverQuota,
    /// The customer has used up its hard limit.
    OverHardLimit,
    /// The back end is overloaded.
    Overloaded,
    /// No server may be used.
    NoServer,
    /// Every server that may be used is expected to answer after the latency objective.
    ExpectedLate,
    /// An attempt failed, and no further one may be made of the request.
    RetryForbidden,
    /// An attempt failed, and the retry budget is used up.
    RetryBudgetExhausted,
    /// The client's time is over.
    Deadline,
}

impl AnswerReason {
    /// Returns a short name for the log.
    pub fn name(self) -> &'static str {
        match self {
            AnswerReason::Invalid => "invalid",
            AnswerReason::NoTimeLeft => "no_time_left",
            AnswerReason::OverQuota => "over_quota",
            AnswerReason::OverHardLimit => "over_hard_limit",
            AnswerReason::Overloaded => "overloaded",
            AnswerReason::NoServer => "no_server",
            AnswerReason::ExpectedLate => "expected_late",
            AnswerReason::RetryForbidden => "retry_forbidden",
            AnswerReason::RetryBudgetExhausted => "retry_budget_exhausted",
            AnswerReason::Deadline => "deadline",
        }
    }
}

/// An instruction to the decision driver, which carries out actions in the order in which they were emitted.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt of a request to a server.
    Send {
        /// The request to send.
        id: RequestId,
        /// The destination.
        server: ServerId,
        /// How long the driver waits for the response, in microseconds.
        timeout: Micros,
    },
    /// Answers the client with a rejection (final answer); the client may safely retry the request.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// Time after which the client should retry, in microseconds; `None` sends no such advice.
        retry_after: Option<Micros>,
        /// Why the request is rejected.
        reason: AnswerReason,
    },
    /// Answers the client with a failure (final answer). The request may or may not have taken effect.
    Fail {
        /// The failed request.
        id: RequestId,
        /// Why no server's response is the answer.
        reason: AnswerReason,
    },
    /// Cancels an attempt in flight.
    Cancel {
        /// The request of the attempt.
        id: RequestId,
        /// Index of the attempt, as in [`AttemptReport::attempt`](super::AttemptReport::attempt).
        attempt: u32,
    },
    /// Sets a timer, which the driver reports with [`Event::Timer`](super::Event::Timer) once it expires.
    Timer {
        /// Expiry time, by the clock of the decision driver.
        at: Micros,
        /// Opaque id that the driver returns unchanged.
        timer: TimerId,
    },
    /// Sends a health check to a server.
    CheckHealth {
        /// The server to check.
        server: ServerId,
    },
    /// Sends a gossip message to another gateway.
    SendGossip {
        /// Index of the receiving gateway.
        to: usize,
        /// Encoded message of at most 256 bytes.
        message: Vec<u8>,
    },
    /// Requests the endpoint list from service discovery.
    PollEndpoints,
    /// Adds an amount to a key of the shared counter.
    AddToCounter {
        /// The key to add to.
        counter: CounterId,
        /// Units to add.
        amount: f64,
        /// Lifetime of the key in microseconds, applied if this call creates it.
        ttl: Micros,
    },
    /// Writes a line to the operators' log.
    Log {
        /// Text of the log line.
        text: String,
    },
}
