//! Target size of the fleet and its budgets, as the operators specify them.

/// Number of gateways.
pub const GATEWAYS: f64 = 2_800.0;
/// Number of servers of all services.
pub const SERVERS: f64 = 190_000.0;
/// Peak requests per second at all gateways together.
pub const REQUESTS_PER_SECOND: f64 = 4_900_000.0;
/// Number of tenants.
pub const TENANTS: f64 = 460_000.0;
/// Number of gateways that serve a tenant. The operators specify no number; the experiments use this one.
pub const GATEWAYS_PER_TENANT: f64 = 4.0;
/// Configuration changes per day.
pub const CONFIGURATIONS_PER_DAY: f64 = 41_000.0;
/// Machines restarted or replaced on an ordinary day, gateways and servers together.
pub const RESTARTS_PER_DAY: f64 = 16_000.0;
/// Mean number of endpoint-list changes per second.
pub const ENDPOINT_CHANGES_PER_SECOND: f64 = 0.19;
/// Number of servers in a zone, which fail together.
pub const SERVERS_PER_ZONE: f64 = 5_800.0;
/// Number of machines reserved for control.
pub const CONTROL_MACHINES: f64 = 28.0;
/// Seconds in a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;

/// 99th percentile of the latency that a gateway may add to a request, in microseconds.
pub const ADDED_LATENCY_BUDGET: f64 = 1_400.0;
/// Share of a processor core that a gateway may spend on control.
pub const CONTROL_CPU_BUDGET: f64 = 0.018;
/// Memory that a gateway may spend on control, in bytes.
pub const MEMORY_BUDGET: f64 = 128e6;
/// Control traffic allowed to a gateway, in bytes per second.
pub const BANDWIDTH_BUDGET: f64 = 3_000.0;
/// Control traffic allowed to a control machine, in bytes per second: the budgets of its hundred gateways.
pub const MACHINE_BANDWIDTH_BUDGET: f64 = GATEWAYS / CONTROL_MACHINES * BANDWIDTH_BUDGET;
/// Longest time until a change is in force at all gateways, in milliseconds.
pub const PROPAGATION_BUDGET: f64 = 4_000.0;
/// Time allowed for a gateway to receive the complete endpoint list, in seconds.
pub const LIST_TRANSFER_SECONDS: f64 = 1_800.0;

/// Peak requests per second at one gateway.
pub const GATEWAY_REQUESTS_PER_SECOND: f64 = REQUESTS_PER_SECOND / GATEWAYS;
/// Number of tenants that a gateway serves.
pub const TENANTS_PER_GATEWAY: f64 = TENANTS * GATEWAYS_PER_TENANT / GATEWAYS;
/// Number of client connections to a gateway: its requests in progress, at a tenth of a second each.
pub const CONNECTIONS_PER_GATEWAY: f64 = GATEWAY_REQUESTS_PER_SECOND * 0.1;
/// Ticks of the decision core per second.
pub const TICKS_PER_SECOND: f64 = 10.0;
