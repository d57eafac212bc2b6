//! Metrics that are measured at each point.

use serde::{Deserialize, Serialize};

/// Defines the metrics with their names and units. The doc comment of each is its help text in
/// `metrics.prom`, so changing it changes stored results.
macro_rules! metrics {
    ($($(#[doc = $doc:literal])+ $variant:ident = $name:literal, $unit:literal;)+) => {
        /// Measured quantity of a point.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum Metric {
            $($(#[doc = $doc])+ #[serde(rename = $name)] $variant,)+
        }

        impl Metric {
            /// All metrics, in the order of tables.
            pub const ALL: &[Metric] = &[$(Metric::$variant,)+];

            /// Returns the metric's name in tables and results.
            pub fn name(self) -> &'static str {
                match self { $(Metric::$variant => $name,)+ }
            }

            /// Returns the unit of the metric's values.
            pub fn unit(self) -> &'static str {
                match self { $(Metric::$variant => $unit,)+ }
            }

            /// Returns the metric's help text in the Prometheus text format.
            pub fn help(self) -> &'static str {
                match self { $(Metric::$variant => concat!($($doc),+),)+ }
            }
        }
    };
}

metrics! {
    /// Processor time of one request: its arrival, the counter's answer if it is asked, and its server's
    /// answer.
    RequestCpu = "request-cpu", "us";
    /// Processor time of one periodic round of housekeeping, after as many requests as come between two.
    TickCpu = "round-cpu", "us";
    /// Processor time to take in one changed member.
    ChangeCpu = "change-cpu", "us";
    /// Processor time to take in the whole list of members.
    ListCpu = "list-cpu", "us";
    /// Heap of a gateway before any list or tenant.
    BaseHeap = "base-heap", "bytes";
    /// Heap of a gateway with the whole list and no tenant.
    ListHeap = "list-heap", "bytes";
    /// Heap that the tenants add.
    TenantHeap = "tenant-heap", "bytes";
    /// Entries of the core's stores that one request visits.
    RequestEntries = "request-entries", "entries";
    /// Entries of the core's stores that one round visits.
    TickEntries = "round-entries", "entries";
    /// Requests that clients sent.
    Arrivals = "arrivals", "requests";
    /// Requests that were served.
    Served = "served", "requests";
    /// Requests that were refused.
    Rejected = "refused", "requests";
    /// Requests that failed.
    Failed = "failed", "requests";
    /// Requests without an answer.
    Lost = "lost", "requests";
    /// Events that the gateways handled.
    GatewayEvents = "gateway-events", "events";
    /// Attempts sent to servers.
    Attempts = "attempts", "attempts";
    /// Gateways that sent to a server, mean over the servers.
    GatewaysPerServer = "gateways-of-server", "gateways";
    /// Calls of the counter.
    CounterCalls = "counter-calls", "calls";
    /// Bytes of the counter's calls and answers.
    CounterBytes = "counter-bytes", "bytes";
    /// Calls of the discovery agents.
    DiscoveryCalls = "discovery-calls", "calls";
    /// Bytes of the discovery agents' calls and answers.
    DiscoveryBytes = "discovery-bytes", "bytes";
    /// Bytes of lists and changes that relays passed to agents.
    RelayBytes = "relay-bytes", "bytes";
    /// Messages between gateways.
    PeerMessages = "peer-messages", "messages";
    /// Bytes of messages between gateways.
    PeerBytes = "peer-bytes", "bytes";
    /// Longest time until a change of members was in force at the last gateway.
    EndpointPropagation = "change-in-force", "ms";
    /// Longest time until a change of configuration was in force at the last gateway.
    ConfigurationPropagation = "configuration-in-force", "ms";
    /// Time to the first attempt of a request, 99th percentile.
    FirstAttemptDelayP99 = "hold-p99", "us";
    /// Units served beyond the hot tenants' quotas, as a share of these quotas.
    OverQuota = "over-quota", "share";
    /// Time that a gateway adds to a request, median.
    AddedP50 = "added-p50", "us";
    /// Time that a gateway adds to a request, 99th percentile.
    AddedP99 = "added-p99", "us";
    /// Processor time that a gateway process takes for a request.
    ProcessCpu = "process-cpu", "us";
    /// Processor time of a gateway process, share of a core, mean over the gateways.
    GatewayCpu = "gateway-cpu", "share";
    /// Resident memory of a gateway process, mean over the gateways.
    ResidentMemory = "resident", "bytes";
}
