//! The experiment file, which specifies the fleet, its load, the sizes to measure and the faults to inject.

mod fault;
mod sweep;
mod validate;

pub use fault::{Domain, Fault};
pub use sweep::{Parameter, Sweep};

use crate::error::{LaboratoryError, Result};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Way in which an experiment runs its gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// One decision core, whose events are timed one by one.
    Core,
    /// Hollow gateways: many decision cores and their control traffic on simulated time.
    Hollow,
    /// Gateway processes on the loopback interface.
    Real,
}

/// Experiment as its file specifies it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Name of the experiment and of its results folder.
    pub name: String,
    /// One-line statement of the purpose.
    pub description: String,
    /// Way in which the gateways are run.
    pub mode: Mode,
    /// Seed of all random number generators.
    pub seed: u64,
    /// Swept quantity and its values; `None` measures a single point.
    pub sweep: Option<Sweep>,
    /// Size and layout of the fleet.
    pub fleet: Fleet,
    /// Load on the fleet.
    #[serde(default)]
    pub load: Load,
    /// Behaviour of the servers.
    #[serde(default)]
    pub backend: Backend,
    /// Behaviour of discovery and its relays.
    #[serde(default)]
    pub discovery: Discovery,
    /// Behaviour of the shared counter.
    #[serde(default)]
    pub counter: CounterService,
    /// Faults to inject, in any order.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// Size and layout of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of gateways. Core mode runs a single one, with settings for a fleet of this size.
    pub gateways: usize,
    /// Number of services; the endpoint list covers the servers of all of them.
    #[serde(default = "default_size")]
    pub services: usize,
    /// Number of servers of each service.
    pub servers_per_service: usize,
    /// Number of tenants.
    pub tenants: usize,
    /// Number of gateways that serve each tenant.
    #[serde(default = "default_size")]
    pub gateways_per_tenant: usize,
    /// Number of regions.
    #[serde(default = "default_size")]
    pub regions: usize,
    /// Number of zones in each region.
    #[serde(default = "default_size")]
    pub zones_per_region: usize,
    /// Number of racks in each zone.
    #[serde(default = "default_size")]
    pub racks_per_zone: usize,
}

/// Returns the default of the optional fleet sizes.
fn default_size() -> usize {
    1
}

impl Fleet {
    /// Returns the number of servers of all services.
    pub fn servers(&self) -> usize {
        self.services.saturating_mul(self.servers_per_service)
    }

    /// Returns the number of racks in all zones.
    pub fn racks(&self) -> usize {
        self.regions.saturating_mul(self.zones_per_region).saturating_mul(self.racks_per_zone)
    }
}

/// Clients' requests, and the changes and restarts scheduled besides them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests per second at all gateways together.
    pub requests_per_second: f64,
    /// Measured time of a point, in seconds.
    pub duration_seconds: f64,
    /// Warm-up time before the measured time, in seconds.
    pub warm_up_seconds: f64,
    /// Quota rate of each tenant, in units per second.
    pub quota_rate: f64,
    /// Capacity of each tenant's token bucket, in units.
    pub quota_burst: f64,
    /// Number of tenants that send `hot_share` of the requests.
    pub hot_tenants: usize,
    /// Share of the requests that the hot tenants send, from 0 to 1.
    pub hot_share: f64,
    /// Number of client connections to the gateways; real mode only.
    pub connections: usize,
    /// Number of endpoint changes, each of one server at a random moment of the measured time.
    pub changes: usize,
    /// Number of configuration changes at random moments of the measured time; hollow mode only.
    pub configurations: usize,
    /// Number of gateway restarts (kill and start), spread evenly over the measured time.
    pub restarts: usize,
    /// Number of requests in a timed batch; core mode only.
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

/// Behaviour of the servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Backend {
    /// Mean service time, in milliseconds.
    pub service_milliseconds: f64,
    /// Number of requests that a server processes concurrently.
    pub concurrency: usize,
    /// Capacity of a server's request queue; requests beyond it are rejected.
    pub queue: usize,
}

impl Default for Backend {
    fn default() -> Self {
        Backend { service_milliseconds: 20.0, concurrency: 8, queue: 32 }
    }
}

/// Behaviour of discovery and its relays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Round-trip time between regions, as from the origin to a relay of another region, in milliseconds.
    pub region_milliseconds: f64,
    /// Longest delay of a change between relay and agent, in milliseconds; delays are uniform from 0.
    pub relay_milliseconds: f64,
    /// Time until discovery detects that a server has stopped, in milliseconds.
    pub notice_milliseconds: f64,
    /// Number of changes that a relay retains; an agent further behind receives a snapshot.
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

/// Behaviour of the shared counter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CounterService {
    /// Whether the fleet has a shared counter.
    pub enabled: bool,
    /// Calls per second that the counter can process.
    pub capacity_per_second: f64,
    /// Latency of a call without queueing, in milliseconds.
    pub latency_milliseconds: f64,
    /// Timeout of a gateway's call, in milliseconds.
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
    /// Reads an experiment file and validates it at each of its sizes.
    pub fn read(path: &Path) -> Result<Experiment> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| LaboratoryError::UnreadableFile { path: path.to_owned(), source })?;
        Experiment::parse(path, &text)
    }

    /// Parses the text of an experiment file and validates it at each of its sizes; errors name `path`.
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

    /// Returns the experiment at each of its sizes.
    pub fn points(&self) -> Vec<SizedExperiment> {
        match &self.sweep {
            None => vec![SizedExperiment { size: None, experiment: self.clone() }],
            Some(sweep) => sweep.values.iter().map(|size| sweep.apply(*size, self)).collect(),
        }
    }
}

/// Experiment at one size of its sweep.
#[derive(Clone, Debug)]
pub struct SizedExperiment {
    /// Value of the swept quantity; `None` without a sweep.
    pub size: Option<u64>,
    /// Experiment with this value applied.
    pub experiment: Experiment,
}
