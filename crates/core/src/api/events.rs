//! What happens to a gateway, as its host reports it.

use super::{CounterId, CustomerId, Endpoint, Micros, RequestId, ServerId, TimerId, WatchEvent};

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The server answered with success.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server rejected the request before any work on it.
    Rejected,
    /// No answer in time.
    Timeout,
    /// No connection in time.
    ConnectFailed,
    /// The connection broke after the request was sent.
    ConnectionReset,
    /// Cancelled by this gateway.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptStatus {
    /// Whether a server may have begun work on a request whose attempt ended so.
    pub fn may_have_run(self) -> bool {
        !matches!(self, AttemptStatus::Rejected | AttemptStatus::ConnectFailed | AttemptStatus::NotSent)
    }
}

/// A server's report of its load; what it does not tell is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight there.
    pub in_flight: Option<f64>,
    /// Requests queued there.
    pub queued: Option<f64>,
    /// Busy share of its cores.
    pub utilization: Option<f64>,
    /// Recent service time, milliseconds.
    pub latency_ms: Option<f64>,
}

/// A client's request as it came in.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// Its id.
    pub id: RequestId,
    /// Index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::plans`](super::Settings::plans).
    pub plan: usize,
    /// Whose it is.
    pub customer: CustomerId,
    /// How long the client waits for the answer to this request.
    pub client_timeout: Micros,
    /// How much of that time has passed: how long ago the last byte of the request reached this machine.
    pub age: Micros,
    /// Units of quota it uses.
    pub units: f64,
    /// How many gateways serve the customer.
    pub customer_gateway_count: usize,
    /// The first of them.
    pub first_gateway: usize,
    /// The client marked it as a retry of an earlier request.
    pub is_retry: bool,
    /// Part of its body is still to come; no time of its attempts counts until [`Event::BodyComplete`].
    pub body_incomplete: bool,
}

/// How an attempt of a request ended.
#[derive(Clone, Debug)]
pub struct AttemptReport {
    /// The request.
    pub id: RequestId,
    /// Attempts count from 0 in the order of their sends.
    pub attempt: u32,
    /// Where it went.
    pub server: ServerId,
    /// How it ended.
    pub status: AttemptStatus,
    /// Time since the send.
    pub elapsed: Micros,
    /// The request is over.
    pub request_finished: bool,
    /// The customer's use of its rate by all gateways in the last usage report period, as a share.
    pub reported_usage: Option<f64>,
    /// The true units, where they are settled afterwards.
    pub settled_units: Option<f64>,
    /// The load report that came along.
    pub load_report: Option<LoadReport>,
}

/// How a call of the shared counter ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterResult {
    /// The amount was added; the total after it.
    Total(f64),
    /// Nothing was added.
    Refused,
    /// There was no reply; the amount may have been added.
    Unknown,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The watch of the endpoint list answered or failed.
    EndpointsChanged {
        /// Snapshot, cached snapshot, delta or failure.
        watch_event: WatchEvent,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request came in.
    RequestArrived(RequestArrival),
    /// A streamed response has begun.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// The rest of the request's body came and was forwarded to the attempt in flight; its time counts from
    /// when that came.
    BodyComplete {
        /// The request.
        id: RequestId,
        /// How long ago the last byte of the body reached this machine.
        age: Micros,
    },
    /// Part of the request's body was forwarded and is not buffered: no further attempt can be sent.
    BodyConsumed {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptCompleted(AttemptReport),
    /// The process shuts down: every open request must have its answer by this time.
    Shutdown {
        /// The time.
        deadline: Micros,
    },
    /// The request is over: the client disconnected.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer fell due.
    Timer {
        /// Which.
        timer: TimerId,
    },
    /// A health check ended.
    HealthCheckCompleted {
        /// The server.
        server: ServerId,
        /// How it ended.
        status: AttemptStatus,
        /// The load report that came along.
        load_report: Option<LoadReport>,
    },
    /// A gossip message from another gateway.
    GossipReceived {
        /// Its number.
        from: usize,
        /// The message.
        message: Vec<u8>,
    },
    /// A call of the shared counter ended.
    CounterReplied {
        /// The counter's key.
        counter: CounterId,
        /// How it ended.
        result: CounterResult,
        /// Time since the call.
        elapsed: Micros,
    },
}
