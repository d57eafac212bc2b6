//! Default settings and endpoints, which tests modify.

use super::{MILLISECOND, SECOND};
use grebehook_core::{
    Capabilities, Class, Endpoint, EndpointState, Idempotency, Plan, ProtocolRules, ServerId, Settings,
};

/// Returns a class with a latency objective of 600 ms and a deadline of two seconds.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 600 * MILLISECOND,
        deadline: 2 * SECOND,
        late_priority_weight: 0.0,
        priority_weight: 1.0,
        idempotency,
        streaming: false,
    }
}

/// Returns a plan with a rate of two units per second, a burst of four units and no hard limit.
pub fn plan() -> Plan {
    Plan {
        rate: 2.0,
        burst: 4.0,
        max_concurrency: None,
        weight_multiplier: 1.0,
        overage_weight: 0.0,
        overage_cost: 1.0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        hard_limit_overdraft: 0.0,
    }
}

/// Returns a plan whose rate and burst are too high to limit any customer of a test.
pub fn high_rate_plan() -> Plan {
    Plan { rate: 1000.0, burst: 1000.0, ..plan() }
}

/// Returns the settings of the first of two gateways, with one idempotent class and one plan. The endpoint
/// list is the only source of information about servers and peers.
pub fn settings() -> Settings {
    Settings {
        gateway_index: 0,
        gateway_count: 2,
        zone: 0,
        batch_interval: 2 * MILLISECOND,
        classes: vec![class(Idempotency::Idempotent)],
        plans: vec![plan()],
        capabilities: Capabilities {
            cancellation: true,
            retry_after: true,
            max_retry_after: SECOND,
            max_attempts: 4,
            gossip_messages_per_s: 40.0,
            ..Capabilities::default()
        },
        rules: ProtocolRules {
            response_grace: 8 * MILLISECOND,
            initial_capacity: 0.2,
            warm_up: 10 * SECOND,
            overload_multiple: 3.0,
            overload_window: 1_500 * MILLISECOND,
        },
    }
}

/// Returns the default settings with responses that report the customer's usage over the last half second.
pub fn settings_with_usage_reports() -> Settings {
    let mut settings = settings();
    settings.capabilities.usage_report_period = Some(500 * MILLISECOND);
    settings
}

/// Returns the settings with a shared counter whose calls time out after 80 ms.
pub fn with_shared_counter(mut settings: Settings) -> Settings {
    settings.capabilities.shared_counter = true;
    settings.capabilities.counter_timeout = Some(80 * MILLISECOND);
    settings
}

/// Returns the settings for gateway `gateway_index` of a fleet of `gateway_count` gateways.
pub fn in_fleet(settings: &Settings, gateway_index: usize, gateway_count: usize) -> Settings {
    Settings { gateway_index, gateway_count, ..settings.clone() }
}

/// Returns a ready, warm endpoint, whose cell has the same number as its zone.
pub fn endpoint(server: u64, zone: u32) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        state: EndpointState::Ready,
        started_at: None,
        relative_size: 1.0,
        zone,
        cell: zone,
    }
}

/// Returns ready, warm endpoints for the numbered servers, all in zone 0.
pub fn endpoints(servers: impl IntoIterator<Item = u64>) -> Vec<Endpoint> {
    servers.into_iter().map(|server| endpoint(server, 0)).collect()
}
