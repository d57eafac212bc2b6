//! The experiment file: what is run, at which sizes, and which faults occur.

mod fault;
mod sweep;
mod validate;

pub use fault::{Domain, Fault};
pub use sweep::{Parameter, Sweep};

use crate::error::{LaboratoryError, Result};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// What plays the part of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// One decision core, timed event by event.
    Core,
    /// Many decision cores and their control traffic on simulated time.
    Hollow,
    /// Gateway processes on loopback.
    Real,
}

/// An experiment, as its file gives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name, also that of its results folder.
    pub name: String,
    /// One line on its purpose.
    pub description: String,
    /// What plays the part of a gateway.
    pub mode: Mode,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Which quantity varies; none runs a single point.
    pub sweep: Option<Sweep>,
    /// Sizes of the fleet.
    pub fleet: Fleet,
    /// The clients' requests.
    #[serde(default)]
    pub load: Load,
    /// The servers' behaviour.
    #[serde(default)]
    pub backend: Backend,
    /// The discovery relay's behaviour.
    #[serde(default)]
    pub discovery: Discovery,
    /// The shared counter's behaviour.
    #[serde(default)]
    pub counter: CounterService,
    /// Faults, in any order.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// Sizes of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Gateways that run. In core mode only one runs, with settings for a fleet of this size.
    pub gateways: usize,
    /// Services; the gateway lists the servers of all of them.
    #[serde(default = "one")]
    pub services: usize,
    /// Servers of each service.
    pub servers_per_service: usize,
    /// Tenants.
    pub tenants: usize,
    /// Gateways that serve each tenant.
    #[serde(default = "one")]
    pub gateways_per_tenant: usize,
    /// Regions.
    #[serde(default = "one")]
    pub regions: usize,
    /// Zones of each region.
    #[serde(default = "one")]
    pub zones_per_region: usize,
    /// Racks of each zone.
    #[serde(default = "one")]
    pub racks_per_zone: usize,
}

/// The default of sizes that are rarely given.
fn one() -> usize {
    1
}

impl Fleet {
    /// Servers of all services.
    pub fn servers(&self) -> usize {
        self.services.saturating_mul(self.servers_per_service)
    }

    /// Racks of all zones.
    pub fn racks(&self) -> usize {
        self.regions.saturating_mul(self.zones_per_region).saturating_mul(self.racks_per_zone)
    }
}

/// The clients' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests a second at all gateways together.
    pub requests_per_second: f64,
    /// Measured time of a point.
    pub duration_seconds: f64,
    /// Time before that.
    pub warm_up_seconds: f64,
    /// A tenant's quota, units a second.
    pub quota_rate: f64,
    /// Units that a tenant's token bucket holds at most.
    pub quota_burst: f64,
    /// Tenants that share `hot_share` of the requests.
    pub hot_tenants: usize,
    /// Part of the requests that the hot tenants send.
    pub hot_share: f64,
    /// Client connections to the gateways; real mode only.
    pub connections: usize,
    /// Changes of one server's entry, at random times of the measured time.
    pub changes: usize,
    /// Changes of the configuration, at random times of the measured time; hollow mode only.
    pub configurations: usize,
    /// Gateways killed and started again one after another, spread evenly over the measured time.
    pub restarts: usize,
    /// Requests timed at each size; core mode only.
    pub timed_requests: usize,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            requests_per_second: 100.0,
            duration_seconds: 10.0,
            warm_up_seconds: 2.0,
            quota_rate: 100.0,
            quota_burst: 200.0,
            hot_tenants: 0,
            hot_share: 0.0,
            connections: 16,
            changes: 0,
            configurations: 0,
            restarts: 0,
            timed_requests: 200,
        }
    }
}

/// The servers' behaviour.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Backend {
    /// Mean service time.
    pub service_milliseconds: f64,
    /// Requests that a server works on at once.
    pub concurrency: usize,
    /// Requests that may wait for that; further ones are rejected.
    pub queue: usize,
}

impl Default for Backend {
    fn default() -> Self {
        Backend { service_milliseconds: 20.0, concurrency: 8, queue: 32 }
    }
}

/// The discovery relay's behaviour.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// From the origin to a relay of another region.
    pub region_milliseconds: f64,
    /// Most time a relay takes to pass a change to an agent; drawn evenly from zero.
    pub relay_milliseconds: f64,
    /// Time until discovery notices that a server stopped.
    pub notice_milliseconds: f64,
    /// Changes a relay keeps; an agent further behind is sent a snapshot.
    pub history: usize,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            region_milliseconds: 80.0,
            relay_milliseconds: 200.0,
            notice_milliseconds: 2_000.0,
            history: 10_000,
        }
    }
}

/// The shared counter's behaviour.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CounterService {
    /// Whether there is one.
    pub enabled: bool,
    /// Calls a second that it can take.
    pub capacity_per_second: f64,
    /// Time of a call without a queue.
    pub latency_milliseconds: f64,
    /// A gateway gives up a call after this time.
    pub limit_milliseconds: f64,
}

impl Default for CounterService {
    fn default() -> Self {
        CounterService {
            enabled: true,
            capacity_per_second: 100_000.0,
            latency_milliseconds: 1.0,
            limit_milliseconds: 200.0,
        }
    }
}

impl Experiment {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Experiment> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| LaboratoryError::UnreadableFile { path: path.to_owned(), source })?;
        Experiment::parse(path, &text)
    }

    /// Reads and checks the text of a file.
    pub fn parse(path: &Path, text: &str) -> Result<Experiment> {
        let experiment: Experiment = toml::from_str(text).map_err(|source| {
            LaboratoryError::MalformedFile { path: path.to_owned(), source: Box::new(source) }
        })?;
        validate::check_sweep(&experiment)?;
        for point in experiment.points() {
            validate::check(&point.experiment)?;
        }
        Ok(experiment)
    }

    /// The experiment at each of its sizes.
    pub fn points(&self) -> Vec<SizedExperiment> {
        match &self.sweep {
            None => vec![SizedExperiment { size: None, experiment: self.clone() }],
            Some(sweep) => sweep.values.iter().map(|size| sweep.at(*size, self)).collect(),
        }
    }
}

/// An experiment at one size of its sweep.
#[derive(Clone, Debug)]
pub struct SizedExperiment {
    /// The swept quantity's value.
    pub size: Option<u64>,
    /// The experiment with this value in place.
    pub experiment: Experiment,
}
