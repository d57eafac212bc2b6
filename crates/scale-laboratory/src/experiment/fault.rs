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

/// A fault. It begins `at_seconds` after the start of the measured time and is over `lasts_seconds` later.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// The first `count` gateways are killed, and started again at the end.
    KillGateways {
        /// When it begins.
        at_seconds: f64,
        /// How long it lasts.
        lasts_seconds: f64,
        /// How many.
        count: usize,
    },
    /// All servers of a domain stop without notice, and start again at the end.
    Lose {
        /// When it begins.
        at_seconds: f64,
        /// How long it lasts.
        lasts_seconds: f64,
        /// The kind of domain.
        domain: Domain,
        /// Which one, from 0.
        index: usize,
        /// Whether the gateways there stop as well.
        #[serde(default)]
        gateways_too: bool,
    },
    /// The counter accepts calls and replies to none.
    SilenceCounter {
        /// When it begins.
        at_seconds: f64,
        /// How long it lasts.
        lasts_seconds: f64,
    },
    /// Discovery answers no calls.
    SilenceDiscovery {
        /// When it begins.
        at_seconds: f64,
        /// How long it lasts.
        lasts_seconds: f64,
    },
    /// The entries of the first `count` servers change at once.
    ChangeMembers {
        /// When it begins.
        at_seconds: f64,
        /// How many.
        count: usize,
    },
    /// A new configuration goes to all gateways: it names another address of the counter.
    ChangeConfiguration {
        /// When it begins.
        at_seconds: f64,
    },
    /// Two regions cannot reach each other; the counter and the origin of discovery are in region 0.
    CutRegions {
        /// When it begins.
        at_seconds: f64,
        /// How long it lasts.
        lasts_seconds: f64,
        /// One region.
        first: usize,
        /// The other.
        second: usize,
    },
    /// A gateway accepts requests and responds to none; the run has to fail.
    StopAnswering {
        /// When it begins.
        at_seconds: f64,
        /// Which gateway.
        gateway: usize,
    },
}

impl Fault {
    /// When it begins, in seconds.
    pub fn at_seconds(&self) -> f64 {
        match self {
            Fault::KillGateways { at_seconds, .. }
            | Fault::Lose { at_seconds, .. }
            | Fault::SilenceCounter { at_seconds, .. }
            | Fault::SilenceDiscovery { at_seconds, .. }
            | Fault::ChangeMembers { at_seconds, .. }
            | Fault::ChangeConfiguration { at_seconds }
            | Fault::CutRegions { at_seconds, .. }
            | Fault::StopAnswering { at_seconds, .. } => *at_seconds,
        }
    }

    /// How long it lasts, in seconds; 0 for one that is over at once.
    pub fn lasts_seconds(&self) -> f64 {
        match self {
            Fault::KillGateways { lasts_seconds, .. }
            | Fault::Lose { lasts_seconds, .. }
            | Fault::SilenceCounter { lasts_seconds, .. }
            | Fault::SilenceDiscovery { lasts_seconds, .. }
            | Fault::CutRegions { lasts_seconds, .. } => *lasts_seconds,
            Fault::ChangeMembers { .. } | Fault::ChangeConfiguration { .. } | Fault::StopAnswering { .. } => {
                0.0
            }
        }
    }

    /// A short name for tables.
    pub fn name(&self) -> String {
        match self {
            Fault::KillGateways { count, .. } => format!("kill {count} gateways"),
            Fault::Lose { domain, gateways_too, .. } => {
                let machines = if *gateways_too { "servers and gateways" } else { "servers" };
                format!("lose a {} of {machines}", format!("{domain:?}").to_lowercase())
            }
            Fault::SilenceCounter { .. } => "silence the counter".to_owned(),
            Fault::SilenceDiscovery { .. } => "silence discovery".to_owned(),
            Fault::ChangeMembers { count, .. } => format!("change {count} members"),
            Fault::ChangeConfiguration { .. } => "change the configuration".to_owned(),
            Fault::CutRegions { first, second, .. } => format!("cut region {first} from region {second}"),
            Fault::StopAnswering { gateway, .. } => format!("gateway {gateway} stops answering"),
        }
    }
}
