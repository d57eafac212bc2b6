//! What a gateway has its host do.

use super::{CounterId, Micros, RequestId, ServerId, TimerId};

/// Something for the host to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Its timeout.
        timeout: Micros,
    },
    /// Final answer: rejected; the client may safely retry.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client should retry; `None` gives no advice.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed; the request may or may not have taken effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Set a timer.
    Timer {
        /// When.
        at: Micros,
        /// Handed back then.
        timer: TimerId,
    },
    /// Send a health check to a server.
    CheckHealth {
        /// Which.
        server: ServerId,
    },
    /// Send a gossip message to another gateway.
    SendGossip {
        /// Its number.
        to: usize,
        /// At most 256 bytes.
        message: Vec<u8>,
    },
    /// Ask service discovery for the endpoint list.
    PollEndpoints,
    /// Add to a key of the shared counter.
    AddToCounter {
        /// The key.
        counter: CounterId,
        /// What to add.
        amount: f64,
        /// How long a new key lives.
        ttl: Micros,
    },
    /// A line for the operators' log.
    Log {
        /// The text.
        text: String,
    },
}
