//! The attributes of a client's request that decisions depend on, and the request's final answer.

use crate::bodies::download::ResponseContent;
use crate::network::tcp_info::NewestByteAge;
use crate::operations::request_counts::RequestCounterGuard;
use grebehook_core::{CustomerId, Micros, RequestArrival, RequestId};
use hyper::Response;
use tokio::sync::oneshot;

/// The final answer of a request.
pub enum Answer {
    /// Response of a server, to be forwarded to the client.
    Served(Response<ResponseContent>),
    /// The request has not run and may be retried safely, after the given delay if there is one.
    Rejected(Option<Micros>),
    /// The request failed, and may or may not have taken effect.
    Failed,
    /// The deadline passed before the decision core answered.
    TimedOut,
}

/// What the driver asks of the connection on which a request arrives.
pub trait ClientInput {
    /// Returns the time since the client's newest byte reached this machine.
    fn newest_byte_age(&self) -> NewestByteAge;
    /// Returns the number of bytes that have reached this machine and have not been read.
    fn unread_bytes(&self) -> u64;
}

/// Attributes of a client's request, parsed from its head.
pub struct RequestHead {
    /// Index of the request's class.
    pub class: usize,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Time for which the client waits for the answer, in microseconds.
    pub client_timeout: Micros,
    /// Number of quota units that the request uses.
    pub units: f64,
    /// Number of gateways that serve the customer.
    pub customer_gateway_count: usize,
    /// Index of the first gateway that serves the customer.
    pub first_gateway: usize,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Time for which servers deduplicate retries of the request, in microseconds, if it has an idempotency
    /// key.
    pub deduplication_window: Option<Micros>,
    /// Time for which a request of the same id is not accepted once this one may have run, in microseconds; `None` if it
    /// may run more than once.
    pub id_guard_time: Option<Micros>,
}

impl RequestHead {
    /// Builds the event that reports the arrival of the request to the decision core. `age` is the time since
    /// the request's last byte reached this machine.
    pub fn arrival(&self, id: RequestId, age: Micros, body_incomplete: bool) -> RequestArrival {
        RequestArrival {
            id,
            class: self.class,
            plan: self.plan,
            customer: self.customer,
            client_timeout: self.client_timeout,
            age,
            units: self.units,
            customer_gateway_count: self.customer_gateway_count,
            first_gateway: self.first_gateway,
            is_retry: self.is_retry,
            body_incomplete,
        }
    }
}

/// A request that has been submitted to the decision core.
pub struct SubmittedRequest {
    /// Id of the request in the decision core.
    pub id: RequestId,
    /// Receives the final answer.
    pub answer: oneshot::Receiver<Answer>,
    /// Counts the request as active until it has ended.
    pub counter: RequestCounterGuard,
}
