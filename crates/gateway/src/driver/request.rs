//! A client's request as the decision core needs it, and its final answer.

use crate::bodies::download::ResponseContent;
use crate::operations::request_counts::RequestCounterGuard;
use grebehook_core::{CustomerId, Micros, RequestArrival, RequestId};
use hyper::Response;
use tokio::sync::oneshot;

/// The final answer of a request.
pub enum Answer {
    /// A server's response, passed on.
    Served(Response<ResponseContent>),
    /// Rejected: a retry is harmless, after this delay if one is advised.
    Rejected(Option<Micros>),
    /// Failed: the request may or may not have taken effect.
    Failed,
    /// The deadline passed before the decision core answered.
    TimedOut,
}

/// What a client asks for.
pub struct RequestHead {
    /// Index of the class.
    pub class: usize,
    /// Index of the plan.
    pub plan: usize,
    /// The customer.
    pub customer: CustomerId,
    /// How long the client waits.
    pub client_timeout: Micros,
    /// Units of quota that the request uses.
    pub units: f64,
    /// How many gateways serve the customer.
    pub customer_gateway_count: usize,
    /// The first of them.
    pub first_gateway: usize,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// How long servers deduplicate its retries, if it has an idempotency key.
    pub deduplication_window: Option<Micros>,
}

impl RequestHead {
    /// The event that reports the request, which reached this machine some time ago, to the decision core.
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

/// A request that was submitted to the decision core.
pub struct SubmittedRequest {
    /// Its number.
    pub id: RequestId,
    /// Receives its final answer.
    pub answer: oneshot::Receiver<Answer>,
    /// Counts it until it has ended.
    pub counter: RequestCounterGuard,
}
