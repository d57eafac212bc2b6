//! Decision core settings of an experiment, and the same settings as the JSON configuration of a gateway
//! process.

use crate::experiment::Experiment;
use grebehook_core::{
    Capabilities, Class, CustomerId, Idempotency, Micros, Plan, ProtocolRules, RequestArrival, RequestId,
    Settings,
};
use serde_json::{json, Value};

/// Client timeout and deadline of the only class, in microseconds.
pub const DEADLINE: Micros = 2_000_000;
/// Response time up to which a request earns its full priority weight, in microseconds.
const LATENCY_OBJECTIVE: Micros = 500_000;
/// Period of the quota usage that responses report, in microseconds.
pub const USAGE_REPORT_PERIOD: Micros = 1_000_000;
/// Time after which an attempt to connect fails, in microseconds.
pub const CONNECT_TIMEOUT: Micros = 250_000;
/// Time after which servers close idle connections, in microseconds.
const SERVER_IDLE_TIMEOUT: Micros = 15_000_000;
/// Largest number of units of a single request.
const MAX_UNITS_PER_REQUEST: u32 = 20;
/// Shortest time between two batches of events, in microseconds.
const BATCH_INTERVAL: Micros = 2_000;
/// Name of the only class, whose requests are idempotent.
pub const CLASS_NAME: &str = "lookup";
/// Name of the only plan.
pub const PLAN_NAME: &str = "standard";

/// Converts milliseconds, as in experiment files, to microseconds.
pub fn micros_from_milliseconds(milliseconds: f64) -> Micros {
    (milliseconds * 1_000.0) as Micros
}

/// Converts seconds, as in experiment files, to microseconds.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    micros_from_milliseconds(seconds * 1_000.0)
}

/// Returns a request of the only class and plan, from a customer served by a single gateway.
pub fn request_arrival(id: RequestId, customer: CustomerId) -> RequestArrival {
    RequestArrival {
        id,
        class: 0,
        plan: 0,
        customer,
        client_timeout: DEADLINE,
        age: 0,
        units: 1.0,
        customer_gateway_count: 1,
        first_gateway: 0,
        is_retry: false,
        body_incomplete: false,
    }
}

/// Returns the settings of one gateway of the fleet.
pub fn core_settings(experiment: &Experiment, gateway: usize, zone: u32) -> Settings {
    Settings {
        gateway_index: gateway,
        gateway_count: experiment.fleet.gateways,
        zone,
        batch_interval: BATCH_INTERVAL,
        classes: vec![Class {
            latency_objective: LATENCY_OBJECTIVE,
            deadline: DEADLINE,
            late_priority_weight: 0.0,
            priority_weight: 1.0,
            idempotency: Idempotency::Idempotent,
            streaming: false,
        }],
        plans: vec![Plan {
            rate: experiment.load.quota_rate,
            burst: experiment.load.quota_burst,
            weight_multiplier: 1.0,
            overage_cost: 1.0,
            ..Plan::default()
        }],
        capabilities: Capabilities {
            cancellation: true,
            retry_after: true,
            max_retry_after: 1_000_000,
            max_attempts: 4,
            shared_counter: experiment.counter.enabled,
            counter_timeout: Some(micros_from_milliseconds(experiment.counter.limit_milliseconds))
                .filter(|limit| *limit > 0),
            usage_report_period: Some(USAGE_REPORT_PERIOD),
            ..Capabilities::default()
        },
        rules: ProtocolRules {
            response_grace: 8_000,
            initial_capacity: 0.2,
            warm_up: 10_000_000,
            overload_multiple: 3.0,
            overload_window: 1_500_000,
        },
    }
}

/// Returns the settings of one gateway in the form of its configuration file.
pub fn json_settings(experiment: &Experiment, gateway: usize, zones: usize, zone: u32) -> Value {
    let settings = core_settings(experiment, gateway, zone);
    let zones: Vec<String> = (0..zones).map(zone_name).collect();
    json!({
        "me": gateway,
        "siblings": settings.gateway_count,
        "az": zone,
        "tickUs": settings.batch_interval,
        "zones": zones,
        "classes": settings.classes.iter().map(json_class).collect::<Vec<_>>(),
        "plans": settings.plans.iter().map(json_plan).collect::<Vec<_>>(),
        "limits": json_capabilities(&settings.capabilities),
        "familyInfo": json_quota_settings(&settings.capabilities),
        "rules": json_rules(&settings.rules),
        "stats": {"columns": [], "how": "none"},
        "discovery": "push",
    })
}

/// Returns an entry of `classes` in the configuration file.
fn json_class(class: &Class) -> Value {
    json!({
        "name": CLASS_NAME,
        "aimUs": class.latency_objective,
        "deadlineUs": class.deadline,
        "lateWorth": class.late_priority_weight,
        "value": class.priority_weight,
        "semantics": "retryable",
        "stream": class.streaming,
    })
}

/// Returns an entry of `plans` in the configuration file.
fn json_plan(plan: &Plan) -> Value {
    json!({
        "name": PLAN_NAME,
        "rate": plan.rate,
        "depth": plan.burst,
        "concurrency": plan.max_concurrency.unwrap_or(0),
        "valueFactor": plan.weight_multiplier,
        "excessWorth": plan.overage_weight,
        "excessCost": plan.overage_cost,
        "ceilingRate": plan.hard_limit_rate,
        "neverOverDepth": plan.hard_limit_burst,
        "tolerance": plan.hard_limit_overdraft,
    })
}

/// Returns the `limits` section of the configuration file: connection limits and the permitted protocol
/// features.
fn json_capabilities(capabilities: &Capabilities) -> Value {
    json!({
        "attemptsCap": capabilities.max_attempts,
        "cancel": capabilities.cancellation,
        "connIdleUs": SERVER_IDLE_TIMEOUT,
        "connectTimeoutUs": CONNECT_TIMEOUT,
        "maxRetryAfterUs": capabilities.max_retry_after,
        "mayProbe": capabilities.health_checks,
        "peers": capabilities.gossip,
        "retryAfter": capabilities.retry_after,
        "secondCopies": capabilities.hedged_requests,
    })
}

/// Returns the `familyInfo` section of the configuration file: usage reports, the shared counter and the
/// gossip rate.
fn json_quota_settings(capabilities: &Capabilities) -> Value {
    json!({
        "mailPerS": capabilities.gossip_messages_per_s,
        "maxUnits": MAX_UNITS_PER_REQUEST,
        "meterUs": capabilities.usage_report_period.unwrap_or(0),
        "sharedCounter": capabilities.shared_counter,
        "countLimitUs": capabilities.counter_timeout.unwrap_or(0),
        "truedUp": capabilities.settles_units,
    })
}

/// Returns the `rules` section of the configuration file.
fn json_rules(rules: &ProtocolRules) -> Value {
    json!({
        "coldFrom": rules.initial_capacity,
        "warmAfterUs": rules.warm_up,
        "fallMultiple": rules.overload_multiple,
        "tipAfterUs": rules.overload_window,
        "graceToAnswerUs": rules.response_grace,
    })
}

/// Returns the name of a zone on the wire.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}
