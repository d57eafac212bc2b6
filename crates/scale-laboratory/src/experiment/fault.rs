//! Faults that an experiment injects.

use serde::{Deserialize, Serialize};

/// A set of machines that fail together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Domain {
    /// One rack.
    Rack,
    /// All racks of a zone.
    Zone,
    /// All zones of a region.
    Region,
}

/// A fault that starts `at_seconds` into the measured time and ends `lasts_seconds` later.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// Kills the first `count` gateways and restarts them when the fault ends.
    KillGateways {
        /// Start of the fault, in seconds of the measured time.
        at_seconds: f64,
        /// Duration of the fault, in seconds.
        lasts_seconds: f64,
        /// Number of gateways killed.
        count: usize,
    },
    /// Stops all servers of a domain without notice and restarts them when the fault ends.
    #[serde(rename = "lose")]
    StopDomain {
        /// Start of the fault, in seconds of the measured time.
        at_seconds: f64,
        /// Duration of the fault, in seconds.
        lasts_seconds: f64,
        /// Kind of the domain.
        domain: Domain,
        /// Index of the domain among those of its kind, from 0.
        index: usize,
        /// Whether the gateways of the domain stop as well.
        #[serde(default, rename = "gateways_too")]
        include_gateways: bool,
    },
    /// Makes the shared counter accept calls without replying.
    #[serde(rename = "silence-counter")]
    StallCounter {
        /// Start of the fault, in seconds of the measured time.
        at_seconds: f64,
        /// Duration of the fault, in seconds.
        lasts_seconds: f64,
    },
    /// Makes discovery leave calls unanswered.
    #[serde(rename = "silence-discovery")]
    StallDiscovery {
        /// Start of the fault, in seconds of the measured time.
        at_seconds: f64,
        /// Duration of the fault, in seconds.
        lasts_seconds: f64,
    },
    /// Changes the endpoint-list entries of the first `count` servers at once.
    #[serde(rename = "change-members")]
    ChangeEndpoints {
        /// Start of the fault, in seconds of the measured time.
        at_seconds: f64,
        /// Number of servers whose entries change.
        count: usize,
    },
    /// Sends all gateways a new configuration, with another address of the shared counter.
    ChangeConfiguration {
        /// Start of the fault, in seconds of the measured time.
        at_seconds: f64,
    },
    /// Partitions the network between two regions. Region 0 holds the shared counter and discovery's origin.
    #[serde(rename = "cut-regions")]
    PartitionRegions {
        /// Start of the fault, in seconds of the measured time.
        at_seconds: f64,
        /// Duration of the fault, in seconds.
        lasts_seconds: f64,
        /// Index of the first region.
        first: usize,
        /// Index of the second region.
        second: usize,
    },
    /// Makes a gateway accept requests without responding; the run is expected to fail.
    #[serde(rename = "stop-answering")]
    StallGateway {
        /// Start of the fault, in seconds of the measured time.
        at_seconds: f64,
        /// Index of the gateway.
        gateway: usize,
    },
}

impl Fault {
    /// Returns the start of the fault, in seconds of the measured time.
    pub fn at_seconds(&self) -> f64 {
        match self {
            Fault::KillGateways { at_seconds, .. }
            | Fault::StopDomain { at_seconds, .. }
            | Fault::StallCounter { at_seconds, .. }
            | Fault::StallDiscovery { at_seconds, .. }
            | Fault::ChangeEndpoints { at_seconds, .. }
            | Fault::ChangeConfiguration { at_seconds }
            | Fault::PartitionRegions { at_seconds, .. }
            | Fault::StallGateway { at_seconds, .. } => *at_seconds,
        }
    }

    /// Returns the duration of the fault in seconds, 0 for a fault that has no end.
    pub fn lasts_seconds(&self) -> f64 {
        match self {
            Fault::KillGateways { lasts_seconds, .. }
            | Fault::StopDomain { lasts_seconds, .. }
            | Fault::StallCounter { lasts_seconds, .. }
            | Fault::StallDiscovery { lasts_seconds, .. }
            | Fault::PartitionRegions { lasts_seconds, .. } => *lasts_seconds,
            Fault::ChangeEndpoints { .. }
            | Fault::ChangeConfiguration { .. }
            | Fault::StallGateway { .. } => 0.0,
        }
    }

    /// Returns the fault's short name, as tables, results and logs show it.
    pub fn name(&self) -> String {
        match self {
            Fault::KillGateways { count, .. } => format!("kill {count} gateways"),
            Fault::StopDomain { domain, include_gateways, .. } => {
                let machines = if *include_gateways { "servers and gateways" } else { "servers" };
                format!("lose a {} of {machines}", format!("{domain:?}").to_lowercase())
            }
            Fault::StallCounter { .. } => "silence the counter".to_owned(),
            Fault::StallDiscovery { .. } => "silence discovery".to_owned(),
            Fault::ChangeEndpoints { count, .. } => format!("change {count} members"),
            Fault::ChangeConfiguration { .. } => "change the configuration".to_owned(),
            Fault::PartitionRegions { first, second, .. } => {
                format!("cut region {first} from region {second}")
            }
            Fault::StallGateway { gateway, .. } => format!("gateway {gateway} stops answering"),
        }
    }
}
