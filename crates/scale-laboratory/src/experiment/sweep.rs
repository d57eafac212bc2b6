//! The quantity that varies from one point of an experiment to the next.

use super::{Experiment, SizedExperiment};
use serde::{Deserialize, Serialize};
use std::fmt;

/// What can be swept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Parameter {
    /// Gateways of the fleet.
    Gateways,
    /// Services, each with `servers_per_service` servers.
    Services,
    /// Servers of a single service.
    Servers,
    /// Tenants.
    Tenants,
    /// Requests a second at all gateways together.
    RequestsPerSecond,
    /// Client connections.
    Connections,
    /// Changes of one server's entry within the measured time.
    Changes,
    /// Changes of the configuration within the measured time.
    Configurations,
    /// Gateways restarted within the measured time.
    Restarts,
}

impl fmt::Display for Parameter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Parameter::Gateways => "gateways",
            Parameter::Services => "services",
            Parameter::Servers => "servers",
            Parameter::Tenants => "tenants",
            Parameter::RequestsPerSecond => "requests-per-second",
            Parameter::Connections => "connections",
            Parameter::Changes => "changes",
            Parameter::Configurations => "configurations",
            Parameter::Restarts => "restarts",
        })
    }
}

/// A quantity and the values that it takes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The quantity.
    pub parameter: Parameter,
    /// Its values, one point each.
    pub values: Vec<u64>,
}

impl Sweep {
    /// An experiment with one value of the quantity in place.
    pub fn at(&self, size: u64, base: &Experiment) -> SizedExperiment {
        let mut experiment = base.clone();
        let count = size as usize;
        let fleet = &mut experiment.fleet;
        let load = &mut experiment.load;
        match self.parameter {
            Parameter::Gateways => fleet.gateways = count,
            Parameter::Services => fleet.services = count,
            Parameter::Servers => {
                fleet.services = 1;
                fleet.servers_per_service = count;
            }
            Parameter::Tenants => fleet.tenants = count,
            Parameter::RequestsPerSecond => load.requests_per_second = size as f64,
            Parameter::Connections => load.connections = count,
            Parameter::Changes => load.changes = count,
            Parameter::Configurations => load.configurations = count,
            Parameter::Restarts => load.restarts = count,
        }
        SizedExperiment { size: Some(size), experiment }
    }
}
