//! What a gateway is configured with.

use super::Micros;

/// What a class of request allows once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running twice does no harm.
    Idempotent,
    /// Requests carry an idempotency key, by which servers drop repeats for a while.
    IdempotencyKey {
        /// The servers that share the keys they have seen.
        scope: DeduplicationScope,
        /// How long they remember a key, from the send of the first attempt that may have run.
        window: Micros,
    },
    /// Must never run twice.
    NonIdempotent,
}

/// Which servers drop the repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct Class {
    /// A response within this time earns the full weight.
    pub latency_objective: Micros,
    /// How long a client waits in all, over its first request and its retries.
    pub deadline: Micros,
    /// Share of the weight that a response past the latency objective still earns.
    pub late_priority_weight: f64,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// Whether responses stream.
    pub streaming: bool,
}

/// A plan; its figures hold for each customer, over all gateways together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Units a second that refill the token bucket; 0 means that the rate is not limited.
    pub rate: f64,
    /// Units that the token bucket holds at most.
    pub burst: f64,
    /// Most requests in flight at once; `None` if that is not limited.
    pub max_concurrency: Option<u32>,
    /// Multiplier on the priority weight of a class.
    pub weight_multiplier: f64,
    /// Share of its weight that a request forwarded over the quota earns.
    pub overage_weight: f64,
    /// Share of its weight that a request forwarded over the quota costs.
    pub overage_cost: f64,
    /// Units a second that refill the bucket of the hard limit; 0 means that there is no hard limit.
    pub hard_limit_rate: f64,
    /// Units that the bucket of the hard limit holds at most.
    pub hard_limit_burst: f64,
    /// Units by which the bucket of the hard limit may be overdrawn.
    pub hard_limit_overdraft: f64,
}

impl Plan {
    /// The priority weight of a request of a class within the quota.
    pub(crate) fn priority_weight(&self, class: &Class) -> f64 {
        class.priority_weight * self.weight_multiplier
    }

    /// The cost of a request forwarded over the quota, before the priority weight of its class.
    pub(crate) fn weighted_overage_cost(&self) -> f64 {
        self.weight_multiplier * self.overage_cost
    }
}

/// How load reports reach the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReports {
    /// With responses and health checks.
    WithResponses,
    /// With health checks only.
    WithHealthChecks,
    /// Not at all.
    #[default]
    None,
}

/// The features that the deployment allows a gateway, and the costs that bear on a decision.
#[derive(Clone, Debug, Default)]
pub struct Capabilities {
    /// Servers may be sent health checks.
    pub health_checks: bool,
    /// Gossip with other gateways is allowed.
    pub gossip: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// A request may have two attempts in flight at once.
    pub hedged_requests: bool,
    /// Rejections may tell clients when to retry.
    pub retry_after: bool,
    /// The longest such time that clients heed.
    pub max_retry_after: Micros,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Gossip messages a second that a gateway takes in.
    pub gossip_messages_per_s: f64,
    /// Part of the score that one gossip message a request costs.
    pub gossip_cost: f64,
    /// Part of the score that one health check a request costs.
    pub health_check_cost: f64,
    /// The shared counter may be called.
    pub shared_counter: bool,
    /// Part of the score that one counter call a request costs.
    pub counter_call_cost: f64,
    /// A counter call without a reply by then ends; `None` if it may wait for ever.
    pub counter_timeout: Option<Micros>,
    /// Clients mark their retries.
    pub marks_retries: bool,
    /// Period of the quota usage reported in responses; `None` if none is reported.
    pub usage_report_period: Option<Micros>,
    /// Units named in requests are estimates, settled by the first successful response.
    pub settles_units: bool,
    /// How load reports arrive.
    pub load_reports: LoadReports,
    /// The endpoint list must be polled.
    pub polls_discovery: bool,
}

/// The figures of the protocol's rules.
#[derive(Clone, Debug, Default)]
pub struct ProtocolRules {
    /// A final answer still counts this long after the client's deadline.
    pub response_grace: Micros,
    /// Share of its capacity that a server has at least when it starts.
    pub initial_capacity: f64,
    /// A server has its full capacity this long after its start.
    pub warm_up: Micros,
    /// A server that warms up is overloaded when sent more than this multiple of its capacity...
    pub overload_multiple: f64,
    /// ...for this long.
    pub overload_window: Micros,
}

/// The configuration of a gateway.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// This gateway's number, below [`Self::gateway_count`].
    pub gateway_index: usize,
    /// How many gateways there are.
    pub gateway_count: usize,
    /// The zone this gateway is in.
    pub zone: u32,
    /// The shortest time between two batches of events.
    pub batch_interval: Micros,
    /// Classes of request.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// What is allowed.
    pub capabilities: Capabilities,
    /// The figures of the protocol's rules.
    pub rules: ProtocolRules,
}

/// Why settings were refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field, as a path from [`Settings`].
    pub field: String,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {} {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}
