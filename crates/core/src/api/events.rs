//! The events that the decision driver reports to the decision core.

use super::{CounterId, CustomerId, Endpoint, Micros, RequestId, ServerId, TimerId, WatchEvent};

/// The outcome of an attempt or of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The server answered with success.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server rejected the request before it did any work on it.
    Rejected,
    /// The server did not answer within the timeout.
    Timeout,
    /// No connection was established within the timeout.
    ConnectFailed,
    /// The connection broke after the request was sent.
    ConnectionReset,
    /// This gateway cancelled the attempt.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl AttemptStatus {
    /// Returns whether the server may have begun to run a request whose attempt ended with this status.
    pub fn may_have_run(self) -> bool {
        !matches!(self, AttemptStatus::Rejected | AttemptStatus::ConnectFailed | AttemptStatus::NotSent)
    }
}

/// A server's report of its load; fields that the server does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the server, from all gateways.
    pub in_flight: Option<f64>,
    /// Requests queued at the server, from all gateways.
    pub queued: Option<f64>,
    /// Busy fraction of the server's cores, where 1 is all of them.
    pub utilization: Option<f64>,
    /// Recent service time, in milliseconds.
    pub latency_ms: Option<f64>,
}

/// A client's request as it arrived.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// Number that the driver assigned to the request.
    pub id: RequestId,
    /// Index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::plans`](super::Settings::plans).
    pub plan: usize,
    /// The customer whose quota the request uses.
    pub customer: CustomerId,
    /// How long the client waits for the answer to this request, in microseconds.
    pub client_timeout: Micros,
    /// How much of the client timeout has passed: microseconds since the last byte of the request reached
    /// this machine.
    pub age: Micros,
    /// Units of quota that the request uses; an estimate where [`Capabilities::settles_units`] is set.
    ///
    /// [`Capabilities::settles_units`]: super::Capabilities::settles_units
    pub units: f64,
    /// Number of gateways that serve the customer.
    pub customer_gateway_count: usize,
    /// Index of the first gateway that serves the customer; the others follow it in order of index, modulo
    /// the number of gateways.
    pub first_gateway: usize,
    /// Whether the client marked the request as a retry of an earlier one.
    pub is_retry: bool,
    /// Whether part of the request's body is still to arrive; no attempt's time counts until
    /// [`Event::BodyComplete`].
    pub body_incomplete: bool,
}

/// The outcome of one attempt of a request.
#[derive(Clone, Debug)]
pub struct AttemptReport {
    /// The request of the attempt.
    pub id: RequestId,
    /// Index of the attempt; the attempts of a request are numbered from 0 in the order in which they are
    /// sent.
    pub attempt: u32,
    /// The server to which the attempt was sent.
    pub server: ServerId,
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// Time since the attempt was sent, in microseconds.
    pub elapsed: Micros,
    /// Whether the request is over, so that it needs no further attempt.
    pub request_finished: bool,
    /// The customer's usage at all gateways in the last usage report period, in multiples of its rate; `None`
    /// if the response reports none.
    pub reported_usage: Option<f64>,
    /// Units that the request actually used, where [`RequestArrival::units`] is an estimate.
    pub settled_units: Option<f64>,
    /// Load report that the response carried.
    pub load_report: Option<LoadReport>,
}

/// The outcome of a call to the shared counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterResult {
    /// The amount was added; holds the key's total after the addition, in units.
    Total(f64),
    /// The call was refused and nothing was added.
    Refused,
    /// No reply was received; the amount may or may not have been added.
    Unknown,
}

/// An occurrence that the decision core reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// The watch of the endpoint list delivered an update or failed.
    EndpointsChanged {
        /// Whether this is a snapshot, a cached snapshot, a delta or a failure.
        watch_event: WatchEvent,
        /// The entries delivered: all of the list, or the changed ones of a delta.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request arrived.
    RequestArrived(RequestArrival),
    /// A streamed response has begun.
    ResponseStarted {
        /// The request that is answered.
        id: RequestId,
    },
    /// The response to a request has begun to arrive, and is not whole when the client's time is nearly over. It is
    /// waited for until the deadline, and no further attempt follows.
    ResponseLate {
        /// The request that is answered.
        id: RequestId,
        /// Time by which the request must have its final answer.
        deadline: Micros,
    },
    /// The rest of the request's body arrived and was forwarded to the attempt in flight, whose time counts
    /// from that arrival.
    BodyComplete {
        /// The request of the body.
        id: RequestId,
        /// Microseconds since the last byte of the body reached this machine.
        age: Micros,
    },
    /// Part of the request's body was forwarded and is not buffered, so that no further attempt can be sent.
    BodyConsumed {
        /// The request of the body.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptCompleted(AttemptReport),
    /// The process shuts down gracefully.
    Shutdown {
        /// Time by which every open request must have its answer.
        deadline: Micros,
    },
    /// The client disconnected, which ends its request.
    ClientDisconnected {
        /// The request of the client.
        id: RequestId,
    },
    /// A timer set by [`Action::Timer`](super::Action::Timer) expired.
    Timer {
        /// The id with which the timer was set.
        timer: TimerId,
    },
    /// A health check ended.
    HealthCheckCompleted {
        /// The server that was checked.
        server: ServerId,
        /// How the health check ended.
        status: AttemptStatus,
        /// Load report that the response carried.
        load_report: Option<LoadReport>,
    },
    /// A gossip message arrived from another gateway.
    GossipReceived {
        /// Index of the sending gateway.
        from: usize,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// A call to the shared counter ended.
    CounterReplied {
        /// The key that the call added to.
        counter: CounterId,
        /// How the call ended.
        result: CounterResult,
        /// Time since the call was sent, in microseconds.
        elapsed: Micros,
    },
}
