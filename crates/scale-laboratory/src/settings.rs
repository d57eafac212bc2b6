//! The decision core's settings for an experiment, and the same as the JSON that a gateway process reads.

use crate::experiment::Experiment;
use grebehook_core::{Capabilities, Class, Idempotency, Micros, Plan, ProtocolRules, Settings};
use serde_json::{json, Value};

/// A client's patience, and the deadline of the only class.
pub const DEADLINE: Micros = 2_000_000;
/// An answer within this time earns full worth.
const AIM: Micros = 500_000;
/// Period of the use that answers tell.
pub const METER: Micros = 1_000_000;
/// A connection that is not up by then has failed.
pub const CONNECT_TIMEOUT: Micros = 250_000;
/// Shortest time between two batches of events.
const TICK: Micros = 2_000;
/// The only class, safe to repeat.
pub const CLASS: &str = "lookup";
/// The only plan.
pub const PLAN: &str = "standard";

/// Milliseconds of an experiment's file as the core's time.
pub fn micros(milliseconds: f64) -> Micros {
    (milliseconds * 1_000.0) as Micros
}

/// The settings of one gateway of the fleet.
pub fn core_settings(experiment: &Experiment, gateway: usize, zone: u32) -> Settings {
    Settings {
        gateway_index: gateway,
        gateway_count: experiment.fleet.gateways,
        zone,
        batch_interval: TICK,
        classes: vec![Class {
            latency_objective: AIM,
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
            usage_report_period: Some(METER),
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
        "me": gateway, "siblings": settings.gateway_count, "az": zone, "tickUs": TICK, "zones": zones,
        "classes": [{"name": CLASS, "aimUs": AIM, "deadlineUs": DEADLINE, "lateWorth": 0.0, "value": 1.0,
            "semantics": "retryable", "stream": false}],
        "plans": [{"name": PLAN, "rate": plan.rate, "depth": plan.burst, "concurrency": 0, "valueFactor": 1.0,
            "excessWorth": 0.0, "excessCost": 1.0, "ceilingRate": 0.0, "neverOverDepth": 0.0, "tolerance": 0.0}],
        "limits": {"attemptsCap": settings.capabilities.max_attempts, "cancel": true, "connIdleUs": 15_000_000,
            "connectTimeoutUs": CONNECT_TIMEOUT, "maxRetryAfterUs": settings.capabilities.max_retry_after,
            "mayProbe": false, "peers": false, "retryAfter": true, "secondCopies": false},
        "familyInfo": {"mailPerS": 0.0, "maxUnits": 20, "meterUs": METER,
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
