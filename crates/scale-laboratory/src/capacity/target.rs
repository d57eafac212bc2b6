//! The target size and its budgets, as the operators name them.

/// Gateways of the fleet.
pub const GATEWAYS: f64 = 2_800.0;
/// Servers of all services.
pub const SERVERS: f64 = 190_000.0;
/// Requests a second at the peak, at all gateways together.
pub const REQUESTS_PER_SECOND: f64 = 4_900_000.0;
/// Tenants.
pub const TENANTS: f64 = 460_000.0;
/// Gateways that serve a tenant; the operators name none, the experiments use this.
pub const GATEWAYS_PER_TENANT: f64 = 4.0;
/// Changes of configuration a day.
pub const CONFIGURATIONS_PER_DAY: f64 = 41_000.0;
/// Machines restarted or replaced on an ordinary day.
pub const RESTARTS_PER_DAY: f64 = 16_000.0;
/// Changes of the endpoint list a second, on the mean.
pub const ENDPOINT_CHANGES_PER_SECOND: f64 = 0.19;
/// Servers of a zone, which are lost together.
pub const SERVERS_OF_A_ZONE: f64 = 5_800.0;
/// Machines set aside for control.
pub const CONTROL_MACHINES: f64 = 28.0;
/// Seconds of a day.
pub const DAY: f64 = 86_400.0;

/// Time that may be added to a request, microseconds, for 99 in 100.
pub const ADDED_BUDGET: f64 = 1_400.0;
/// Share of a core that a gateway may spend on control.
pub const CONTROL_CPU_BUDGET: f64 = 0.018;
/// Memory that a gateway may spend on control, bytes.
pub const MEMORY_BUDGET: f64 = 128e6;
/// Bytes a second that a gateway may spend on control.
pub const BYTES_BUDGET: f64 = 3_000.0;
/// Bytes a second of a control machine: those of its hundred gateways.
pub const MACHINE_BYTES_BUDGET: f64 = GATEWAYS / CONTROL_MACHINES * BYTES_BUDGET;
/// Time until a change is in force everywhere, milliseconds.
pub const IN_FORCE_BUDGET: f64 = 4_000.0;
/// Time in which a gateway may receive a complete list, seconds.
pub const LIST_TIME: f64 = 1_800.0;

/// Requests a second of a gateway at the peak.
pub const GATEWAY_REQUESTS: f64 = REQUESTS_PER_SECOND / GATEWAYS;
/// Tenants that a gateway serves.
pub const GATEWAY_TENANTS: f64 = TENANTS * GATEWAYS_PER_TENANT / GATEWAYS;
/// Client connections of a gateway: its requests of a tenth of a second each.
pub const GATEWAY_CONNECTIONS: f64 = GATEWAY_REQUESTS * 0.1;
/// Firings of the core's periodic timer a second.
pub const ROUNDS_PER_SECOND: f64 = 10.0;
