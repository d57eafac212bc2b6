//! The configuration of the decision core.

use super::Micros;

/// Whether a request may be sent again once one of its attempts may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running a request twice has the same effect as running it once.
    Idempotent,
    /// Requests carry an idempotency key, by which servers drop duplicates within a window.
    IdempotencyKey {
        /// The servers that share the keys they have seen with each other.
        scope: DeduplicationScope,
        /// How long servers remember a key, in microseconds from the sending of the first attempt that may
        /// have run.
        window: Micros,
    },
    /// A request must never run twice.
    NonIdempotent,
}

/// The servers among which duplicates of a request with an idempotency key are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers of the back end.
    All,
    /// The servers of one zone, see [`Endpoint::zone`](super::Endpoint::zone).
    Zone,
    /// The servers of one cell, see [`Endpoint::cell`](super::Endpoint::cell).
    Cell,
}

/// A class of requests that share objectives and retry rules.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time within which a response earns the full priority weight, in microseconds.
    pub latency_objective: Micros,
    /// How long a client waits in total, over its first request and its retries, in microseconds.
    pub deadline: Micros,
    /// Fraction of the priority weight that a response after the latency objective still earns.
    pub late_priority_weight: f64,
    /// Value of one timely response, before [`Plan::weight_multiplier`].
    pub priority_weight: f64,
    /// Whether a request of the class may be sent again once an attempt may have run.
    pub idempotency: Idempotency,
    /// Whether responses are streamed.
    pub streaming: bool,
}

/// The quota and the limits of a plan, which apply to each customer over all gateways together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Refill rate of the token bucket, in units per second; 0 means that the rate is not limited.
    pub rate: f64,
    /// Capacity of the token bucket, in units.
    pub burst: f64,
    /// Maximum number of requests in flight at once; `None` means no limit.
    pub max_concurrency: Option<u32>,
    /// Factor applied to [`Class::priority_weight`].
    pub weight_multiplier: f64,
    /// Fraction of its priority weight that a request forwarded over the quota earns.
    pub overage_weight: f64,
    /// Fraction of its priority weight that a request forwarded over the quota costs.
    pub overage_cost: f64,
    /// Refill rate of the hard limit's token bucket, in units per second; 0 means no hard limit.
    pub hard_limit_rate: f64,
    /// Capacity of the hard limit's token bucket, in units.
    pub hard_limit_burst: f64,
    /// Units by which the hard limit's token bucket may be overdrawn.
    pub hard_limit_overdraft: f64,
}

impl Plan {
    /// Returns the priority weight of a request of the given class that is within the quota.
    pub(crate) fn priority_weight(&self, class: &Class) -> f64 {
        class.priority_weight * self.weight_multiplier
    }

    /// Returns the cost of a request forwarded over the quota, relative to the priority weight of its class.
    pub(crate) fn weighted_overage_cost(&self) -> f64 {
        self.weight_multiplier * self.overage_cost
    }
}

/// How load reports of servers reach the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReports {
    /// Reports arrive with responses and with health checks.
    WithResponses,
    /// Reports arrive with health checks only.
    WithHealthChecks,
    /// Servers report no load.
    #[default]
    None,
}

/// The features that the deployment allows a gateway to use, and the costs that decisions weigh.
#[derive(Clone, Debug, Default)]
pub struct Capabilities {
    /// Whether the gateway may send health checks to servers.
    pub health_checks: bool,
    /// Whether gateways may exchange gossip messages.
    pub gossip: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancellation: bool,
    /// Whether a request may have two attempts in flight at once.
    pub hedged_requests: bool,
    /// Whether rejections may advise clients when to retry.
    pub retry_after: bool,
    /// Longest retry advice that clients respect, in microseconds.
    pub max_retry_after: Micros,
    /// Maximum number of attempts per request, the first included.
    pub max_attempts: u32,
    /// Gossip messages per second that a gateway can receive from all its peers together.
    pub gossip_messages_per_s: f64,
    /// Fraction of the total score lost per gossip message sent per request.
    pub gossip_cost: f64,
    /// Fraction of the total score lost per health check sent per request.
    pub health_check_cost: f64,
    /// Whether the gateway may call the shared counter.
    pub shared_counter: bool,
    /// Fraction of the total score lost per shared counter call per request.
    pub counter_call_cost: f64,
    /// Timeout of a call to the shared counter, in microseconds; `None` means no timeout.
    pub counter_timeout: Option<Micros>,
    /// Whether clients mark their retries as such.
    pub marks_retries: bool,
    /// Period that the usage reported in responses covers, in microseconds; `None` if none is reported.
    pub usage_report_period: Option<Micros>,
    /// Whether the units of requests are estimates, which the first successful response settles.
    pub settles_units: bool,
    /// Answers with which load reports arrive.
    pub load_reports: LoadReports,
    /// Whether the gateway must poll service discovery for the endpoint list.
    pub polls_discovery: bool,
}

/// Parameters of the protocol between clients, gateways and servers.
#[derive(Clone, Debug, Default)]
pub struct ProtocolRules {
    /// Time after the client's deadline during which a final answer still counts, in microseconds.
    pub response_grace: Micros,
    /// Minimum fraction of its capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// Time from a server's start until it has its full capacity, in microseconds; 0 means no warm-up.
    pub warm_up: Micros,
    /// Multiple of its current capacity that overloads a server which is warming up, when the rate sent to
    /// it stays above that for [`Self::overload_window`].
    pub overload_multiple: f64,
    /// How long the rate must exceed [`Self::overload_multiple`] to overload a server, in microseconds.
    pub overload_window: Micros,
}

/// The configuration of a gateway.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Index of this gateway, below [`Self::gateway_count`].
    pub gateway_index: usize,
    /// Number of gateways in the fleet, this one included.
    pub gateway_count: usize,
    /// Zone in which this gateway runs.
    pub zone: u32,
    /// Shortest time between two batches of events, in microseconds.
    pub batch_interval: Micros,
    /// Request classes, by the index that [`RequestArrival::class`](super::RequestArrival::class) gives.
    pub classes: Vec<Class>,
    /// Customers' plans, by the index that [`RequestArrival::plan`](super::RequestArrival::plan) gives.
    pub plans: Vec<Plan>,
    /// Features that the deployment allows, and their costs.
    pub capabilities: Capabilities,
    /// Parameters of the protocol.
    pub rules: ProtocolRules,
}

/// The reason why settings were refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the invalid field, relative to [`Settings`].
    pub field: String,
    /// What is wrong with the field, worded to follow its path.
    pub reason: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {} {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}
