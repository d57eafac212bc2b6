//! The settings object as JSON: the wire's names stand in the `rename`s alone. Unknown keys are ignored.

use crate::fields;
use serde::Deserialize;
use serde_json::Value;

/// The settings object as the simulator and a gateway's configuration give it.
#[derive(Debug, Deserialize)]
pub struct SettingsMessage {
    /// This gateway's number.
    #[serde(rename = "me", deserialize_with = "fields::micros")]
    pub(super) gateway_index: u64,
    /// How many gateways there are.
    #[serde(rename = "siblings", deserialize_with = "fields::micros")]
    pub(super) gateway_count: u64,
    /// The zone this gateway is in.
    #[serde(rename = "az", deserialize_with = "fields::micros")]
    pub(super) zone: u64,
    /// The shortest time between two batches of events, microseconds.
    #[serde(rename = "tickUs", deserialize_with = "fields::micros")]
    pub(super) batch_interval: u64,
    /// How the endpoint list arrives.
    #[serde(default, deserialize_with = "fields::lenient")]
    pub(super) discovery: String,
    /// Classes of request.
    pub(super) classes: Vec<ClassMessage>,
    /// Plans.
    pub(super) plans: Vec<PlanMessage>,
    /// What is allowed.
    pub(super) limits: LimitsMessage,
    /// The figures of the protocol's rules.
    pub(super) rules: RulesMessage,
    /// What the customers' interface says.
    #[serde(rename = "familyInfo", deserialize_with = "fields::lenient_object")]
    pub(super) customer_interface: CustomerInterfaceMessage,
    /// Load reports.
    #[serde(rename = "stats", deserialize_with = "fields::lenient_object")]
    pub(super) load_reports: LoadReportsMessage,
    /// Costs of what a gateway may do.
    #[serde(rename = "prices", default, deserialize_with = "fields::lenient_object")]
    pub(super) costs: CostsMessage,
    /// What clients do.
    #[serde(rename = "callers", default, deserialize_with = "fields::lenient_object")]
    pub(super) clients: ClientsMessage,
}

/// A class of request.
#[derive(Debug, Deserialize)]
pub(super) struct ClassMessage {
    /// A response within this time earns the full weight, microseconds.
    #[serde(rename = "aimUs", deserialize_with = "fields::micros")]
    pub(super) latency_objective: u64,
    /// How long a client waits in all, microseconds.
    #[serde(rename = "deadlineUs", deserialize_with = "fields::micros")]
    pub(super) deadline: u64,
    /// Share of the weight that a late response earns.
    #[serde(rename = "lateWorth", deserialize_with = "fields::number")]
    pub(super) late_priority_weight: f64,
    /// Priority weight of one request.
    #[serde(rename = "value", deserialize_with = "fields::number")]
    pub(super) priority_weight: f64,
    /// Whether a request may run again.
    #[serde(rename = "semantics", default, deserialize_with = "fields::lenient")]
    pub(super) idempotency: String,
    /// Which servers share the idempotency keys they have seen.
    #[serde(rename = "group", default, deserialize_with = "fields::lenient")]
    pub(super) deduplication_scope: String,
    /// How long they remember a key; read for a class with idempotency keys alone.
    #[serde(rename = "windowUs", default)]
    pub(super) deduplication_window: Value,
    /// Whether responses stream.
    #[serde(rename = "stream", default, deserialize_with = "fields::lenient")]
    pub(super) streaming: bool,
}

/// A plan.
#[derive(Debug, Deserialize)]
pub(super) struct PlanMessage {
    /// Units a second that refill the token bucket.
    #[serde(deserialize_with = "fields::number")]
    pub(super) rate: f64,
    /// Units that the token bucket holds at most.
    #[serde(rename = "depth", deserialize_with = "fields::number")]
    pub(super) burst: f64,
    /// Most requests in flight at once; 0 if that is not limited.
    #[serde(rename = "concurrency", deserialize_with = "fields::number")]
    pub(super) max_concurrency: f64,
    /// Multiplier on the priority weight of a class.
    #[serde(rename = "valueFactor", deserialize_with = "fields::number")]
    pub(super) weight_multiplier: f64,
    /// Share of its weight that a request over the quota earns.
    #[serde(rename = "excessWorth", deserialize_with = "fields::number")]
    pub(super) overage_weight: f64,
    /// Share of its weight that a request over the quota costs.
    #[serde(rename = "excessCost", deserialize_with = "fields::number")]
    pub(super) overage_cost: f64,
    /// Units a second that refill the bucket of the hard limit.
    #[serde(rename = "ceilingRate", deserialize_with = "fields::number")]
    pub(super) hard_limit_rate: f64,
    /// Units that the bucket of the hard limit holds at most.
    #[serde(rename = "neverOverDepth", deserialize_with = "fields::number")]
    pub(super) hard_limit_burst: f64,
    /// Units by which the bucket of the hard limit may be overdrawn.
    #[serde(rename = "tolerance", deserialize_with = "fields::number")]
    pub(super) hard_limit_overdraft: f64,
}

/// What a gateway may do.
#[derive(Debug, Deserialize)]
pub(super) struct LimitsMessage {
    /// Send health checks.
    #[serde(rename = "mayProbe", default, deserialize_with = "fields::lenient")]
    pub(super) health_checks: bool,
    /// Gossip.
    #[serde(rename = "peers", default, deserialize_with = "fields::lenient")]
    pub(super) gossip: bool,
    /// Cancel attempts.
    #[serde(rename = "cancel", default, deserialize_with = "fields::lenient")]
    pub(super) cancellation: bool,
    /// Have two attempts of a request in flight at once.
    #[serde(rename = "secondCopies", default, deserialize_with = "fields::lenient")]
    pub(super) hedged_requests: bool,
    /// Tell clients when to retry.
    #[serde(rename = "retryAfter", default, deserialize_with = "fields::lenient")]
    pub(super) retry_after: bool,
    /// The longest such time that clients heed, microseconds.
    #[serde(rename = "maxRetryAfterUs", deserialize_with = "fields::micros")]
    pub(super) max_retry_after: u64,
    /// Most attempts of one request.
    #[serde(rename = "attemptsCap", deserialize_with = "fields::number")]
    pub(super) max_attempts: f64,
}

/// The figures of the protocol's rules.
#[derive(Debug, Deserialize)]
pub(super) struct RulesMessage {
    /// A final answer still counts this long after the client's deadline, microseconds.
    #[serde(rename = "graceToAnswerUs", deserialize_with = "fields::micros")]
    pub(super) response_grace: u64,
    /// Share of its capacity that a server has at least when it starts.
    #[serde(rename = "coldFrom", deserialize_with = "fields::number")]
    pub(super) initial_capacity: f64,
    /// Time from a server's start to its full capacity, microseconds.
    #[serde(rename = "warmAfterUs", deserialize_with = "fields::micros")]
    pub(super) warm_up: u64,
    /// Multiple of its capacity that overloads a server that warms up.
    #[serde(rename = "fallMultiple", deserialize_with = "fields::number")]
    pub(super) overload_multiple: f64,
    /// Time after which it does, microseconds.
    #[serde(rename = "tipAfterUs", deserialize_with = "fields::micros")]
    pub(super) overload_window: u64,
}

/// What the customers' interface says.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct CustomerInterfaceMessage {
    /// Gossip messages a second that a gateway takes in.
    #[serde(rename = "mailPerS", deserialize_with = "fields::lenient")]
    pub(super) gossip_messages_per_s: f64,
    /// Whether the shared counter may be called.
    #[serde(rename = "sharedCounter", deserialize_with = "fields::lenient")]
    pub(super) shared_counter: bool,
    /// Cost of one counter call a request.
    #[serde(rename = "countFee", deserialize_with = "fields::lenient")]
    pub(super) counter_call_cost: f64,
    /// A counter call without a reply by then ends, microseconds; 0 if it may wait for ever.
    #[serde(rename = "countLimitUs", deserialize_with = "fields::lenient_micros")]
    pub(super) counter_timeout: u64,
    /// Period of the usage reported in responses, microseconds; 0 if none is reported.
    #[serde(rename = "meterUs", deserialize_with = "fields::lenient_micros")]
    pub(super) usage_report_period: u64,
    /// Whether units are settled by the first successful response.
    #[serde(rename = "truedUp", deserialize_with = "fields::lenient")]
    pub(super) settles_units: bool,
}

/// Load reports.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LoadReportsMessage {
    /// The names of their columns.
    #[serde(deserialize_with = "fields::lenient")]
    pub(super) columns: Vec<Value>,
    /// How they arrive.
    #[serde(rename = "how", deserialize_with = "fields::lenient")]
    pub(super) delivery: String,
}

/// Costs of what a gateway may do, as parts of the score.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct CostsMessage {
    /// One gossip message a request.
    #[serde(rename = "peer", deserialize_with = "fields::lenient")]
    pub(super) gossip: f64,
    /// One health check a request.
    #[serde(rename = "probe", deserialize_with = "fields::lenient")]
    pub(super) health_check: f64,
}

/// What clients do.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ClientsMessage {
    /// Whether they mark their retries.
    #[serde(rename = "marksRetry", deserialize_with = "fields::lenient")]
    pub(super) marks_retries: bool,
}
