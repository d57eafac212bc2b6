//! JSON schema of the settings object. Wire names that differ from the field names appear only in `rename`
//! attributes; unknown keys are ignored.

use crate::fields;
use serde::Deserialize;
use serde_json::Value;

/// The settings object that the simulator sends and that a gateway's configuration file contains.
#[derive(Debug, Deserialize)]
pub struct SettingsMessage {
    /// Index of this gateway, from 0.
    #[serde(rename = "me", deserialize_with = "fields::unsigned")]
    pub(super) gateway_index: u64,
    /// Number of gateways.
    #[serde(rename = "siblings", deserialize_with = "fields::unsigned")]
    pub(super) gateway_count: u64,
    /// Zone of this gateway.
    #[serde(rename = "az", deserialize_with = "fields::unsigned")]
    pub(super) zone: u64,
    /// Minimum time between two batches of events, in microseconds.
    #[serde(rename = "tickUs", deserialize_with = "fields::unsigned")]
    pub(super) batch_interval: u64,
    /// Delivery of the endpoint list; `ask` means that the gateway has to poll for it.
    #[serde(default, deserialize_with = "fields::value_or_default")]
    pub(super) discovery: String,
    /// Classes of requests.
    pub(super) classes: Vec<ClassMessage>,
    /// Plans that customers can have.
    pub(super) plans: Vec<PlanMessage>,
    /// Features that a gateway may use, with their bounds.
    pub(super) limits: LimitsMessage,
    /// Parameters of the protocol's rules.
    pub(super) rules: RulesMessage,
    /// Parameters of quota accounting.
    #[serde(rename = "familyInfo", deserialize_with = "fields::object_or_default")]
    pub(super) quota_accounting: QuotaAccountingMessage,
    /// Format and delivery of load reports.
    #[serde(rename = "stats", deserialize_with = "fields::object_or_default")]
    pub(super) load_reports: LoadReportsMessage,
    /// Costs of optional gateway features.
    #[serde(rename = "prices", default, deserialize_with = "fields::object_or_default")]
    pub(super) costs: CostsMessage,
    /// Behaviour of clients.
    #[serde(rename = "callers", default, deserialize_with = "fields::object_or_default")]
    pub(super) clients: ClientsMessage,
}

/// A class of requests.
#[derive(Debug, Deserialize)]
pub(super) struct ClassMessage {
    /// Time within which a response earns the full weight, in microseconds.
    #[serde(rename = "aimUs", deserialize_with = "fields::unsigned")]
    pub(super) latency_objective: u64,
    /// Total time that a client waits, in microseconds.
    #[serde(rename = "deadlineUs", deserialize_with = "fields::unsigned")]
    pub(super) deadline: u64,
    /// Share of the weight that a response past the latency objective earns.
    #[serde(rename = "lateWorth", deserialize_with = "fields::number")]
    pub(super) late_priority_weight: f64,
    /// Weight of one request of the class.
    #[serde(rename = "value", deserialize_with = "fields::number")]
    pub(super) priority_weight: f64,
    /// Whether a request may be executed more than once.
    #[serde(rename = "semantics", default, deserialize_with = "fields::value_or_default")]
    pub(super) idempotency: String,
    /// Set of servers that share their seen idempotency keys.
    #[serde(rename = "group", default, deserialize_with = "fields::value_or_default")]
    pub(super) deduplication_scope: String,
    /// Time for which servers remember an idempotency key, in microseconds; not validated for classes without
    /// idempotency keys.
    #[serde(rename = "windowUs", default)]
    pub(super) deduplication_window: Value,
    /// Whether responses are streamed.
    #[serde(rename = "stream", default, deserialize_with = "fields::value_or_default")]
    pub(super) streaming: bool,
}

/// A plan; its fields are those of [`grebehook_core::Plan`].
#[derive(Debug, Deserialize)]
pub(super) struct PlanMessage {
    /// Refill rate of the token bucket, in units per second.
    #[serde(deserialize_with = "fields::number")]
    pub(super) rate: f64,
    /// Capacity of the token bucket, in units.
    #[serde(rename = "depth", deserialize_with = "fields::number")]
    pub(super) burst: f64,
    /// Maximum number of requests in flight; 0 for no limit.
    #[serde(rename = "concurrency", deserialize_with = "fields::number")]
    pub(super) max_concurrency: f64,
    /// Multiplier of the priority weight of a class.
    #[serde(rename = "valueFactor", deserialize_with = "fields::number")]
    pub(super) weight_multiplier: f64,
    /// Share of its weight that a request forwarded over the quota earns.
    #[serde(rename = "excessWorth", deserialize_with = "fields::number")]
    pub(super) overage_weight: f64,
    /// Share of its weight that a request forwarded over the quota costs.
    #[serde(rename = "excessCost", deserialize_with = "fields::number")]
    pub(super) overage_cost: f64,
    /// Refill rate of the hard limit's token bucket, in units per second.
    #[serde(rename = "ceilingRate", deserialize_with = "fields::number")]
    pub(super) hard_limit_rate: f64,
    /// Capacity of the hard limit's token bucket, in units.
    #[serde(rename = "neverOverDepth", deserialize_with = "fields::number")]
    pub(super) hard_limit_burst: f64,
    /// Units by which the hard limit's token bucket may be overdrawn.
    #[serde(rename = "tolerance", deserialize_with = "fields::number")]
    pub(super) hard_limit_overdraft: f64,
}

/// The features that a gateway may use, with their bounds.
#[derive(Debug, Deserialize)]
pub(super) struct LimitsMessage {
    /// Whether health checks are allowed.
    #[serde(rename = "mayProbe", default, deserialize_with = "fields::value_or_default")]
    pub(super) health_checks: bool,
    /// Whether gossip between gateways is allowed.
    #[serde(rename = "peers", default, deserialize_with = "fields::value_or_default")]
    pub(super) gossip: bool,
    /// Whether attempts may be cancelled.
    #[serde(rename = "cancel", default, deserialize_with = "fields::value_or_default")]
    pub(super) cancellation: bool,
    /// Whether a request may have two attempts in flight at once.
    #[serde(rename = "secondCopies", default, deserialize_with = "fields::value_or_default")]
    pub(super) hedged_requests: bool,
    /// Whether rejections may advise clients when to retry.
    #[serde(rename = "retryAfter", default, deserialize_with = "fields::value_or_default")]
    pub(super) retry_after: bool,
    /// Longest advised retry delay that clients obey, in microseconds.
    #[serde(rename = "maxRetryAfterUs", deserialize_with = "fields::unsigned")]
    pub(super) max_retry_after: u64,
    /// Maximum number of attempts of one request.
    #[serde(rename = "attemptsCap", deserialize_with = "fields::number")]
    pub(super) max_attempts: f64,
}

/// The parameters of the protocol's rules.
#[derive(Debug, Deserialize)]
pub(super) struct RulesMessage {
    /// Time after the client's deadline during which a final answer still counts, in microseconds.
    #[serde(rename = "graceToAnswerUs", deserialize_with = "fields::unsigned")]
    pub(super) response_grace: u64,
    /// Minimum share of its full capacity that a server has when it starts.
    #[serde(rename = "coldFrom", deserialize_with = "fields::number")]
    pub(super) initial_capacity: f64,
    /// Time from a server's start until it has its full capacity, in microseconds.
    #[serde(rename = "warmAfterUs", deserialize_with = "fields::unsigned")]
    pub(super) warm_up: u64,
    /// Load, as a multiple of its capacity, above which a server that is warming up becomes overloaded.
    #[serde(rename = "fallMultiple", deserialize_with = "fields::number")]
    pub(super) overload_multiple: f64,
    /// Time that such a load has to last before the server is overloaded, in microseconds.
    #[serde(rename = "tipAfterUs", deserialize_with = "fields::unsigned")]
    pub(super) overload_window: u64,
}

/// The parameters of quota accounting: gossip, the shared counter, usage reports and settlement.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct QuotaAccountingMessage {
    /// Number of gossip messages per second that a gateway accepts.
    #[serde(rename = "mailPerS", deserialize_with = "fields::value_or_default")]
    pub(super) gossip_messages_per_s: f64,
    /// Whether the shared counter may be called.
    #[serde(rename = "sharedCounter", deserialize_with = "fields::value_or_default")]
    pub(super) shared_counter: bool,
    /// Part of the score that one counter call per request costs.
    #[serde(rename = "countFee", deserialize_with = "fields::value_or_default")]
    pub(super) counter_call_cost: f64,
    /// Timeout of a counter call, in microseconds; 0 for no timeout.
    #[serde(rename = "countLimitUs", deserialize_with = "fields::unsigned_or_zero")]
    pub(super) counter_timeout: u64,
    /// Period covered by the usage reports in responses, in microseconds; 0 if usage is not reported.
    #[serde(rename = "meterUs", deserialize_with = "fields::unsigned_or_zero")]
    pub(super) usage_report_period: u64,
    /// Whether the first successful response settles the units of a request.
    #[serde(rename = "truedUp", deserialize_with = "fields::value_or_default")]
    pub(super) settles_units: bool,
}

/// The format and delivery of load reports.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LoadReportsMessage {
    /// Names of the columns, in the order of their values.
    #[serde(deserialize_with = "fields::value_or_default")]
    pub(super) columns: Vec<Value>,
    /// Messages that carry load reports: `answers` for responses and health checks, `probe` for health checks
    /// only.
    #[serde(rename = "how", deserialize_with = "fields::value_or_default")]
    pub(super) delivery: String,
}

/// The costs of optional gateway features, as parts of the score.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct CostsMessage {
    /// Cost of one gossip message per request.
    #[serde(rename = "peer", deserialize_with = "fields::value_or_default")]
    pub(super) gossip: f64,
    /// Cost of one health check per request.
    #[serde(rename = "probe", deserialize_with = "fields::value_or_default")]
    pub(super) health_check: f64,
}

/// The behaviour of clients.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ClientsMessage {
    /// Whether clients mark their retries.
    #[serde(rename = "marksRetry", deserialize_with = "fields::value_or_default")]
    pub(super) marks_retries: bool,
}
