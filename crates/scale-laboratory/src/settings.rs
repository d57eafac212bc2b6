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
    let (plan, rules) = (&settings.plans[0], &settings.rules);
    json!({
        "me": gateway, "siblings": settings.gateway_count, "az": zone, "tickUs": BATCH_INTERVAL, "zones": zones,
        "classes": [{"name": CLASS, "aimUs": LATENCY_OBJECTIVE, "deadlineUs": DEADLINE, "lateWorth": 0.0, "value": 1.0,
            "semantics": "retryable", "stream": false}],
        "plans": [{"name": PLAN, "rate": plan.rate, "depth": plan.burst, "concurrency": 0, "valueFactor": 1.0,
            "excessWorth": 0.0, "excessCost": 1.0, "ceilingRate": 0.0, "neverOverDepth": 0.0, "tolerance": 0.0}],
        "limits": {"attemptsCap": settings.capabilities.max_attempts, "cancel": true, "connIdleUs": 15_000_000,
            "connectTimeoutUs": CONNECT_TIMEOUT, "maxRetryAfterUs": settings.capabilities.max_retry_after,
            "mayProbe": false, "peers": false, "retryAfter": true, "secondCopies": false},
        "familyInfo": {"mailPerS": 0.0, "maxUnits": 20, "meterUs": USAGE_REPORT_PERIOD,
            "sharedCounter": settings.capabilities.shared_counter, "countLimitUs": settings.capabilities.counter_timeout.unwrap_or(0), "truedUp": false},
        "rules": {"coldFrom": rules.initial_capacity, "warmAfterUs": rules.warm_up, "fallMultiple": rules.overload_multiple,
            "tipAfterUs": rules.overload_window, "graceToAnswerUs": rules.response_grace},
        "stats": {"columns": [], "how": "none"}, "discovery": "push"
    })
}

/// A zone's name on the wire.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}
