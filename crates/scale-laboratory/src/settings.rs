//! The decision core's settings for an experiment, and the same as the JSON that a gateway process reads.

use crate::experiment::Experiment;
use grebehook_core::{
    Capabilities, Class, CustomerId, Idempotency, Micros, Plan, ProtocolRules, RequestArrival, RequestId,
    Settings,
};
use serde_json::{json, Value};

/// Client timeout, and the deadline of the only class.
pub const DEADLINE: Micros = 2_000_000;
/// A response within this time earns the full weight.
const LATENCY_OBJECTIVE: Micros = 500_000;
/// Period of the quota usage that responses report.
pub const USAGE_REPORT_PERIOD: Micros = 1_000_000;
/// A connection that is not established by then has failed.
pub const CONNECT_TIMEOUT: Micros = 250_000;
/// Servers close connections that were idle for so long.
const SERVER_IDLE_TIMEOUT: Micros = 15_000_000;
/// Most units that one request may take.
const MAX_UNITS: u32 = 20;
/// Shortest time between two batches of events.
const BATCH_INTERVAL: Micros = 2_000;
/// The only class; its requests are idempotent.
pub const CLASS: &str = "lookup";
/// The only plan.
pub const PLAN: &str = "standard";

/// Milliseconds of an experiment's file as the core's time.
pub fn micros(milliseconds: f64) -> Micros {
    (milliseconds * 1_000.0) as Micros
}

/// Seconds of an experiment's file as the core's time.
pub fn micros_of_seconds(seconds: f64) -> Micros {
    micros(seconds * 1_000.0)
}

/// A request of the only class and plan, of a customer that one gateway serves.
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

/// The settings of one gateway of the fleet.
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
            counter_timeout: Some(micros(experiment.counter.limit_milliseconds)).filter(|limit| *limit > 0),
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

/// The same settings in the form of a gateway's configuration file.
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
        "limits": json_limits(&settings.capabilities),
        "familyInfo": json_customer_interface(&settings.capabilities),
        "rules": json_rules(&settings.rules),
        "stats": {"columns": [], "how": "none"},
        "discovery": "push",
    })
}

/// A class, as the configuration file has it.
fn json_class(class: &Class) -> Value {
    json!({
        "name": CLASS,
        "aimUs": class.latency_objective,
        "deadlineUs": class.deadline,
        "lateWorth": class.late_priority_weight,
        "value": class.priority_weight,
        "semantics": "retryable",
        "stream": class.streaming,
    })
}

/// A plan, as the configuration file has it.
fn json_plan(plan: &Plan) -> Value {
    json!({
        "name": PLAN,
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

/// What a gateway may do, as the configuration file has it.
fn json_limits(capabilities: &Capabilities) -> Value {
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

/// What the customers' interface says, as the configuration file has it.
fn json_customer_interface(capabilities: &Capabilities) -> Value {
    json!({
        "mailPerS": capabilities.gossip_messages_per_s,
        "maxUnits": MAX_UNITS,
        "meterUs": capabilities.usage_report_period.unwrap_or(0),
        "sharedCounter": capabilities.shared_counter,
        "countLimitUs": capabilities.counter_timeout.unwrap_or(0),
        "truedUp": capabilities.settles_units,
    })
}

/// The protocol's rules, as the configuration file has them.
fn json_rules(rules: &ProtocolRules) -> Value {
    json!({
        "coldFrom": rules.initial_capacity,
        "warmAfterUs": rules.warm_up,
        "fallMultiple": rules.overload_multiple,
        "tipAfterUs": rules.overload_window,
        "graceToAnswerUs": rules.response_grace,
    })
}

/// A zone's name on the wire.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}
