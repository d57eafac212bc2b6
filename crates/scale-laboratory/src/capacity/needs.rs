//! Definitions of the resource needs of each role at the target size, as formulas over measured slopes.

use super::need::{growth_over, value_at, Contribution, Need, Role};
use super::target;
use crate::metric::Metric;

/// Measured time of `hollow-requests` and `hollow-crowded-counter`, in seconds.
const REQUEST_RUN_SECONDS: f64 = 10.0;
/// Number of gateways in `hollow-requests` and `hollow-crowded-counter`.
const REQUEST_RUN_GATEWAYS: f64 = 8.0;
/// Measured time of `hollow-idle`, in seconds.
const IDLE_RUN_SECONDS: f64 = 30.0;
/// Number of gateways in `hollow-changes` and `hollow-configurations`.
const CHANGE_RUN_GATEWAYS: f64 = 40.0;
/// Number of restarts in `hollow-list`.
const LIST_RUN_RESTARTS: f64 = 10.0;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Endpoint-list changes sent to one gateway, in bytes per second.
const ENDPOINT_CHANGES: Contribution = growth_over(
    "hollow-changes",
    Metric::RelayBytes,
    target::ENDPOINT_CHANGES_PER_SECOND,
    1.0 / CHANGE_RUN_GATEWAYS,
);
/// Configuration changes sent to one gateway, in bytes per second.
const CONFIGURATION_CHANGES: Contribution = growth_over(
    "hollow-configurations",
    Metric::RelayBytes,
    target::CONFIGURATIONS_PER_DAY / target::SECONDS_PER_DAY,
    1.0 / CHANGE_RUN_GATEWAYS,
);
/// Counter calls of one gateway, in bytes per second.
const COUNTER_BYTES: Contribution = growth_over(
    "hollow-requests",
    Metric::CounterBytes,
    target::GATEWAY_REQUESTS_PER_SECOND,
    1.0 / REQUEST_RUN_SECONDS,
);
/// Number of gateways that a control machine serves.
const GATEWAYS_PER_MACHINE: f64 = target::GATEWAYS / target::CONTROL_MACHINES;
/// Gateway restarts per second and control machine. Gateways and servers restart equally often.
const RESTARTS_PER_MACHINE: f64 = target::RESTARTS_PER_DAY / target::SECONDS_PER_DAY * target::GATEWAYS
    / (target::GATEWAYS + target::SERVERS)
    / target::CONTROL_MACHINES;

/// Resource needs in the order of the capacity page.
pub const NEEDS: &[Need] = &[
    Need::new(
        Role::Gateway,
        "decision on a request, all servers listed",
        "us",
        &[value_at("core-servers", Metric::RequestCpu, target::SERVERS, 1.0)],
    )
    .with_budget(target::ADDED_LATENCY_BUDGET),
    Need::new(
        Role::Gateway,
        "added to a request, one process alone before 60 servers, 99 in 100",
        "us",
        &[value_at("real-requests", Metric::AddedP99, target::GATEWAY_REQUESTS_PER_SECOND, 1.0)],
    )
    .with_budget(target::ADDED_LATENCY_BUDGET),
    Need::new(
        Role::Gateway,
        "the same process, all its work, share of a core",
        "cores",
        &[value_at("real-requests", Metric::GatewayCpu, target::GATEWAY_REQUESTS_PER_SECOND, 1.0)],
    ),
    Need::new(
        Role::Gateway,
        "rounds and changes, share of a core",
        "cores",
        &[
            value_at(
                "core-servers",
                Metric::TickCpu,
                target::SERVERS,
                target::TICKS_PER_SECOND / MICROS_PER_SECOND,
            ),
            value_at(
                "core-servers",
                Metric::ChangeCpu,
                target::SERVERS,
                target::ENDPOINT_CHANGES_PER_SECOND / MICROS_PER_SECOND,
            ),
        ],
    )
    .with_budget(target::CONTROL_CPU_BUDGET),
    Need::new(
        Role::Gateway,
        "memory of the decision core",
        "bytes",
        &[
            value_at("core-servers", Metric::ListHeap, target::SERVERS, 1.0),
            growth_over("core-tenants", Metric::TenantHeap, target::TENANTS_PER_GATEWAY, 1.0),
            value_at("core-gateways", Metric::BaseHeap, target::GATEWAYS, 1.0),
        ],
    )
    .with_budget(target::MEMORY_BUDGET),
    Need::new(
        Role::Gateway,
        "memory of the process, without connections to servers",
        "bytes",
        &[
            value_at("real-listed", Metric::ResidentMemory, target::SERVERS, 1.0),
            growth_over("core-tenants", Metric::TenantHeap, target::TENANTS_PER_GATEWAY, 1.0),
            growth_over("real-connections", Metric::ResidentMemory, target::CONNECTIONS_PER_GATEWAY, 1.0),
        ],
    )
    .with_budget(target::MEMORY_BUDGET),
    Need::new(
        Role::Gateway,
        "wait for a counter of the same region, 99 in 100",
        "us",
        &[value_at(
            "hollow-requests",
            Metric::FirstAttemptDelayP99,
            target::GATEWAY_REQUESTS_PER_SECOND * REQUEST_RUN_GATEWAYS,
            1.0,
        )],
    )
    .with_budget(target::ADDED_LATENCY_BUDGET),
    Need::new(
        Role::Gateway,
        "wait for a crowded counter, 99 in 100",
        "us",
        &[value_at(
            "hollow-crowded-counter",
            Metric::FirstAttemptDelayP99,
            target::GATEWAY_REQUESTS_PER_SECOND * REQUEST_RUN_GATEWAYS,
            1.0,
        )],
    )
    .with_budget(target::ADDED_LATENCY_BUDGET),
    Need::new(
        Role::Gateway,
        "calls of the counter",
        "calls/s",
        &[growth_over(
            "hollow-requests",
            Metric::CounterCalls,
            target::GATEWAY_REQUESTS_PER_SECOND,
            1.0 / REQUEST_RUN_SECONDS,
        )],
    ),
    Need::new(Role::Gateway, "bytes of the counter", "B/s", &[COUNTER_BYTES])
        .with_budget(target::BANDWIDTH_BUDGET),
    Need::new(
        Role::Gateway,
        "bytes of a counter so crowded that calls become few",
        "B/s",
        &[value_at(
            "hollow-crowded-counter",
            Metric::CounterBytes,
            target::GATEWAY_REQUESTS_PER_SECOND * REQUEST_RUN_GATEWAYS,
            1.0 / (REQUEST_RUN_SECONDS * REQUEST_RUN_GATEWAYS),
        )],
    )
    .with_budget(target::BANDWIDTH_BUDGET),
    Need::new(
        Role::Gateway,
        "bytes of changes of members and configuration",
        "B/s",
        &[ENDPOINT_CHANGES, CONFIGURATION_CHANGES],
    )
    .with_budget(target::BANDWIDTH_BUDGET),
    Need::new(
        Role::Gateway,
        "whole list at a start, against half an hour of its bytes",
        "bytes",
        &[growth_over("hollow-list", Metric::RelayBytes, target::SERVERS, 1.0 / LIST_RUN_RESTARTS)],
    )
    .with_budget(target::BANDWIDTH_BUDGET * target::LIST_TRANSFER_SECONDS),
    Need::new(
        Role::Gateway,
        "processor time to take in the whole list",
        "us",
        &[value_at("core-servers", Metric::ListCpu, target::SERVERS, 1.0)],
    ),
    Need::new(
        Role::DiscoveryAgent,
        "watches of its idle gateway, on the machine itself",
        "B/s",
        &[growth_over("hollow-idle", Metric::DiscoveryBytes, 1.0, 1.0 / IDLE_RUN_SECONDS)],
    ),
    Need::new(
        Role::DiscoveryAgent,
        "change of members in force at the last gateway",
        "ms",
        &[value_at("hollow-in-force", Metric::EndpointPropagation, target::GATEWAYS, 1.0)],
    )
    .with_budget(target::PROPAGATION_BUDGET),
    Need::new(
        Role::ControlMachine,
        "change of configuration in force at the last gateway",
        "ms",
        &[value_at("hollow-in-force", Metric::ConfigurationPropagation, target::GATEWAYS, 1.0)],
    )
    .with_budget(target::PROPAGATION_BUDGET),
    Need::new(
        Role::ControlMachine,
        "changes and whole lists to its hundred gateways",
        "B/s",
        &[
            ENDPOINT_CHANGES.scaled(GATEWAYS_PER_MACHINE),
            CONFIGURATION_CHANGES.scaled(GATEWAYS_PER_MACHINE),
            growth_over(
                "hollow-list",
                Metric::RelayBytes,
                target::SERVERS,
                RESTARTS_PER_MACHINE / LIST_RUN_RESTARTS,
            ),
        ],
    )
    .with_budget(target::MACHINE_BANDWIDTH_BUDGET),
    Need::new(
        Role::ControlMachine,
        "a lost zone's servers told within 4 s",
        "B/s",
        &[growth_over(
            "hollow-list",
            Metric::RelayBytes,
            target::SERVERS_PER_ZONE,
            GATEWAYS_PER_MACHINE / LIST_RUN_RESTARTS / (target::PROPAGATION_BUDGET / 1e3),
        )],
    )
    .with_budget(target::MACHINE_BANDWIDTH_BUDGET),
    Need::new(
        Role::CounterShard,
        "calls, one shard on each control machine",
        "calls/s",
        &[growth_over(
            "hollow-requests",
            Metric::CounterCalls,
            target::GATEWAY_REQUESTS_PER_SECOND,
            GATEWAYS_PER_MACHINE / REQUEST_RUN_SECONDS,
        )],
    ),
    Need::new(
        Role::CounterShard,
        "bytes, one shard on each control machine",
        "B/s",
        &[COUNTER_BYTES.scaled(GATEWAYS_PER_MACHINE)],
    )
    .with_budget(target::MACHINE_BANDWIDTH_BUDGET),
    Need::new(
        Role::Server,
        "gateways that send to it",
        "gateways",
        &[value_at("hollow-server-gateways", Metric::GatewaysPerServer, target::GATEWAYS, 1.0)],
    ),
];
