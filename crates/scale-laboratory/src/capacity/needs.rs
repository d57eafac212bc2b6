//! What each role needs at the target size: the formulas from measured slopes to figures.

use super::need::{at, growth, Contribution, Need, Role};
use super::target;
use crate::metric::Metric;

/// Seconds of the measured time in `hollow-requests` and `hollow-crowded-counter`.
const REQUEST_RUN_SECONDS: f64 = 10.0;
/// Gateways of the same.
const REQUEST_RUN_GATEWAYS: f64 = 8.0;
/// Seconds of the measured time in `hollow-idle`.
const IDLE_RUN_SECONDS: f64 = 30.0;
/// Gateways of `hollow-changes` and `hollow-configurations`.
const CHANGE_RUN_GATEWAYS: f64 = 40.0;
/// Restarts of `hollow-list`.
const LIST_RUN_RESTARTS: f64 = 10.0;
/// Microseconds of a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Changes of the endpoint list, as bytes a second of one gateway.
const ENDPOINT_CHANGES: Contribution = growth(
    "hollow-changes",
    Metric::RelayBytes,
    target::ENDPOINT_CHANGES_PER_SECOND,
    1.0 / CHANGE_RUN_GATEWAYS,
);
/// Changes of configuration, as bytes a second of one gateway.
const CONFIGURATIONS: Contribution = growth(
    "hollow-configurations",
    Metric::RelayBytes,
    target::CONFIGURATIONS_PER_DAY / target::DAY,
    1.0 / CHANGE_RUN_GATEWAYS,
);
/// Counter calls, as bytes a second of one gateway.
const COUNTER_BYTES: Contribution =
    growth("hollow-requests", Metric::CounterBytes, target::GATEWAY_REQUESTS, 1.0 / REQUEST_RUN_SECONDS);
/// Gateways of a control machine.
const MACHINE_GATEWAYS: f64 = target::GATEWAYS / target::CONTROL_MACHINES;
/// Gateways restarted, a second and control machine: their share of all machines that are.
const MACHINE_RESTARTS: f64 = target::RESTARTS_PER_DAY / target::DAY * target::GATEWAYS
    / (target::GATEWAYS + target::SERVERS)
    / target::CONTROL_MACHINES;

/// All figures of the capacity page.
pub const NEEDS: &[Need] = &[
    Need::new(
        Role::Gateway,
        "decision on a request, all servers listed",
        "us",
        &[at("core-servers", Metric::RequestCpu, target::SERVERS, 1.0)],
    )
    .within(target::ADDED_BUDGET),
    Need::new(
        Role::Gateway,
        "added to a request, one process alone before 60 servers, 99 in 100",
        "us",
        &[at("real-requests", Metric::AddedP99, target::GATEWAY_REQUESTS, 1.0)],
    )
    .within(target::ADDED_BUDGET),
    Need::new(
        Role::Gateway,
        "the same process, all its work, share of a core",
        "cores",
        &[at("real-requests", Metric::GatewayCpu, target::GATEWAY_REQUESTS, 1.0)],
    ),
    Need::new(
        Role::Gateway,
        "rounds and changes, share of a core",
        "cores",
        &[
            at(
                "core-servers",
                Metric::RoundCpu,
                target::SERVERS,
                target::ROUNDS_PER_SECOND / MICROS_PER_SECOND,
            ),
            at(
                "core-servers",
                Metric::ChangeCpu,
                target::SERVERS,
                target::ENDPOINT_CHANGES_PER_SECOND / MICROS_PER_SECOND,
            ),
        ],
    )
    .within(target::CONTROL_CPU_BUDGET),
    Need::new(
        Role::Gateway,
        "memory of the decision core",
        "bytes",
        &[
            at("core-servers", Metric::ListHeap, target::SERVERS, 1.0),
            growth("core-tenants", Metric::TenantHeap, target::GATEWAY_TENANTS, 1.0),
            at("core-gateways", Metric::BaseHeap, target::GATEWAYS, 1.0),
        ],
    )
    .within(target::MEMORY_BUDGET),
    Need::new(
        Role::Gateway,
        "memory of the process, without connections to servers",
        "bytes",
        &[
            at("real-listed", Metric::Resident, target::SERVERS, 1.0),
            growth("core-tenants", Metric::TenantHeap, target::GATEWAY_TENANTS, 1.0),
            growth("real-connections", Metric::Resident, target::GATEWAY_CONNECTIONS, 1.0),
        ],
    )
    .within(target::MEMORY_BUDGET),
    Need::new(
        Role::Gateway,
        "wait for a counter of the same region, 99 in 100",
        "us",
        &[at("hollow-requests", Metric::HoldP99, target::GATEWAY_REQUESTS * REQUEST_RUN_GATEWAYS, 1.0)],
    )
    .within(target::ADDED_BUDGET),
    Need::new(
        Role::Gateway,
        "wait for a crowded counter, 99 in 100",
        "us",
        &[at(
            "hollow-crowded-counter",
            Metric::HoldP99,
            target::GATEWAY_REQUESTS * REQUEST_RUN_GATEWAYS,
            1.0,
        )],
    )
    .within(target::ADDED_BUDGET),
    Need::new(
        Role::Gateway,
        "calls of the counter",
        "calls/s",
        &[growth(
            "hollow-requests",
            Metric::CounterCalls,
            target::GATEWAY_REQUESTS,
            1.0 / REQUEST_RUN_SECONDS,
        )],
    ),
    Need::new(Role::Gateway, "bytes of the counter", "B/s", &[COUNTER_BYTES]).within(target::BYTES_BUDGET),
    Need::new(
        Role::Gateway,
        "bytes of a counter so crowded that calls become few",
        "B/s",
        &[at(
            "hollow-crowded-counter",
            Metric::CounterBytes,
            target::GATEWAY_REQUESTS * REQUEST_RUN_GATEWAYS,
            1.0 / (REQUEST_RUN_SECONDS * REQUEST_RUN_GATEWAYS),
        )],
    )
    .within(target::BYTES_BUDGET),
    Need::new(
        Role::Gateway,
        "bytes of changes of members and configuration",
        "B/s",
        &[ENDPOINT_CHANGES, CONFIGURATIONS],
    )
    .within(target::BYTES_BUDGET),
    Need::new(
        Role::Gateway,
        "whole list at a start, against half an hour of its bytes",
        "bytes",
        &[growth("hollow-list", Metric::RelayBytes, target::SERVERS, 1.0 / LIST_RUN_RESTARTS)],
    )
    .within(target::BYTES_BUDGET * target::LIST_TIME),
    Need::new(
        Role::Gateway,
        "processor time to take in the whole list",
        "us",
        &[at("core-servers", Metric::ListCpu, target::SERVERS, 1.0)],
    ),
    Need::new(
        Role::DiscoveryAgent,
        "watches of its idle gateway, on the machine itself",
        "B/s",
        &[growth("hollow-idle", Metric::DiscoveryBytes, 1.0, 1.0 / IDLE_RUN_SECONDS)],
    ),
    Need::new(
        Role::DiscoveryAgent,
        "change of members in force at the last gateway",
        "ms",
        &[at("hollow-in-force", Metric::ChangeInForce, target::GATEWAYS, 1.0)],
    )
    .within(target::IN_FORCE_BUDGET),
    Need::new(
        Role::ControlMachine,
        "change of configuration in force at the last gateway",
        "ms",
        &[at("hollow-in-force", Metric::ConfigurationInForce, target::GATEWAYS, 1.0)],
    )
    .within(target::IN_FORCE_BUDGET),
    Need::new(
        Role::ControlMachine,
        "changes and whole lists to its hundred gateways",
        "B/s",
        &[
            ENDPOINT_CHANGES.times(MACHINE_GATEWAYS),
            CONFIGURATIONS.times(MACHINE_GATEWAYS),
            growth("hollow-list", Metric::RelayBytes, target::SERVERS, MACHINE_RESTARTS / LIST_RUN_RESTARTS),
        ],
    )
    .within(target::MACHINE_BYTES_BUDGET),
    Need::new(
        Role::ControlMachine,
        "a lost zone's servers told within 4 s",
        "B/s",
        &[growth(
            "hollow-list",
            Metric::RelayBytes,
            target::SERVERS_OF_A_ZONE,
            MACHINE_GATEWAYS / LIST_RUN_RESTARTS / (target::IN_FORCE_BUDGET / 1e3),
        )],
    )
    .within(target::MACHINE_BYTES_BUDGET),
    Need::new(
        Role::CounterShard,
        "calls, one shard on each control machine",
        "calls/s",
        &[growth(
            "hollow-requests",
            Metric::CounterCalls,
            target::GATEWAY_REQUESTS,
            MACHINE_GATEWAYS / REQUEST_RUN_SECONDS,
        )],
    ),
    Need::new(
        Role::CounterShard,
        "bytes, one shard on each control machine",
        "B/s",
        &[COUNTER_BYTES.times(MACHINE_GATEWAYS)],
    )
    .within(target::MACHINE_BYTES_BUDGET),
    Need::new(
        Role::Server,
        "gateways that send to it",
        "gateways",
        &[at("hollow-server-gateways", Metric::GatewaysOfServer, target::GATEWAYS, 1.0)],
    ),
];
