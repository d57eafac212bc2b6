//! Sweep over a quantity, which takes another value at each point of an experiment.

use super::{Experiment, SizedExperiment};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Quantity that can be swept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Parameter {
    /// Number of gateways.
    Gateways,
    /// Number of services, each with `servers_per_service` servers.
    Services,
    /// Number of servers of a single service.
    Servers,
    /// Number of tenants.
    Tenants,
    /// Requests per second at all gateways together.
    RequestsPerSecond,
    /// Number of client connections.
    Connections,
    /// Number of endpoint changes within the measured time, each of one server.
    Changes,
    /// Number of configuration changes within the measured time.
    Configurations,
    /// Number of gateway restarts within the measured time.
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

/// Swept quantity and the values that it takes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// Quantity that varies.
    pub parameter: Parameter,
    /// Values in ascending order; each yields one point.
    pub values: Vec<u64>,
}

impl Sweep {
    /// Returns an experiment with one value of the quantity applied.
    pub fn apply(&self, size: u64, base: &Experiment) -> SizedExperiment {
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
