//! The processes and stand-ins of one point, from their start to their end.

use super::agent::Agents;
use super::client::{play as play_client, Clients, Workload, SILENT_MOST};
use super::counter::CounterStandIn;
use super::process::GatewayProcess;
use super::schedule::{self, Step};
use super::server::ServerStandIn;
use super::traffic::TrafficCount;
use crate::error::{LaboratoryError, Result};
use crate::experiment::{Domain, Experiment};
use crate::memory::check_memory;
use crate::metric::Metric;
use crate::progress::Progress;
use crate::results::Point;
use crate::settings::{json_settings, micros, zone_name};
use crate::topology::Topology;
use crate::wire::EndpointMessage;
use serde_json::json;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::time::sleep;

/// How often the run is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// How often memory is looked at, in looks.
const MEMORY_LOOKS: u32 = 10;
/// A stand-in server's machine type.
const MACHINE: &str = "std";
/// The most memory that a gateway is told it may use.
const MEMORY_MB: u64 = 192;
/// The most descriptors that a gateway is told it may use.
const SOCKETS: u64 = 1_024;

/// All that one point starts.
pub struct RealFleet {
    pub(super) experiment: Experiment,
    pub(super) topology: Topology,
    pub(super) agents: Agents,
    pub(super) counters: Vec<CounterStandIn>,
    pub(super) servers: Vec<ServerStandIn>,
    pub(super) clients: Arc<Clients>,
    pub(super) gateways: Vec<Option<GatewayProcess>>,
    pub(super) configured_at: Option<Instant>,
    agent_addresses: Vec<SocketAddr>,
    folder: TempDir,
    program: PathBuf,
}

/// Processor time and traffic at one moment.
struct Snapshot {
    cpu: Duration,
    discovery: TrafficCount,
    counter: TrafficCount,
}

/// Plays one point.
pub async fn play(experiment: &Experiment, program: &Path, progress: &Progress) -> Result<Point> {
    let mut fleet = RealFleet::start(experiment, program, progress).await?;
    let measured = fleet.measure(progress).await;
    fleet.stop().await;
    measured
}

impl RealFleet {
    async fn start(experiment: &Experiment, program: &Path, progress: &Progress) -> Result<RealFleet> {
        let started = |e| LaboratoryError::io("a stand-in cannot listen", e);
        let topology = Topology::new(&experiment.fleet);
        let service = Duration::from_micros(micros(experiment.backend.service_milliseconds));
        let mut servers = Vec::new();
        for number in 0..experiment.fleet.servers() {
            let seed = experiment.seed ^ (number as u64) << 32;
            servers.push(ServerStandIn::start(service, seed).await.map_err(started)?);
        }
        let whole = (0..servers.len()).map(|s| endpoint(&topology, &servers, s, "ready", 0)).collect();
        let agents = Agents::new(whole);
        let mut agent_addresses = Vec::new();
        for _ in 0..experiment.fleet.gateways {
            agent_addresses.push(agents.start().await.map_err(started)?);
        }
        let counters = vec![
            CounterStandIn::start().await.map_err(started)?,
            CounterStandIn::start().await.map_err(started)?,
        ];
        let mut fleet = RealFleet {
            topology,
            agents,
            counters,
            servers,
            clients: Clients::new(experiment.fleet.gateways),
            gateways: Vec::new(),
            configured_at: None,
            agent_addresses,
            folder: tempfile::tempdir().map_err(|e| LaboratoryError::io("no temporary folder", e))?,
            program: program.to_owned(),
            experiment: experiment.clone(),
        };
        fleet.gateways.resize_with(experiment.fleet.gateways, || None);
        for gateway in 0..experiment.fleet.gateways {
            if let Err(e) = fleet.start_gateway(gateway).await {
                fleet.stop().await;
                return Err(e);
            }
            progress.step()?;
        }
        tracing::info!(gateways = fleet.gateways.len(), servers = fleet.servers.len(), "fleet started");
        Ok(fleet)
    }

    /// Starts a gateway that is down.
    pub(super) async fn start_gateway(&mut self, gateway: usize) -> Result<()> {
        if self.gateways[gateway].is_some() {
            return Ok(());
        }
        let file = self.write_configuration(gateway)?;
        let process = GatewayProcess::start(gateway, &self.program, &file).await?;
        self.clients.set_address(gateway, Some(process.address));
        self.gateways[gateway] = Some(process);
        Ok(())
    }

    /// Ends a gateway with no warning.
    pub(super) async fn kill_gateway(&mut self, gateway: usize) {
        self.clients.set_address(gateway, None);
        if let Some(process) = self.gateways[gateway].take() {
            process.kill().await;
        }
    }

    /// Writes a gateway's configuration, in one step.
    pub(super) fn write_configuration(&self, gateway: usize) -> Result<PathBuf> {
        let zones = self.topology.zones();
        let zone = self.topology.zone_of_gateway(gateway) as u32;
        let counter = &self.counters[usize::from(self.configured_at.is_some())];
        let mut configuration = json!({
            "name": format!("n{gateway}"),
            "listen": "127.0.0.1:0",
            "discovery": self.agent_addresses[gateway].to_string(),
            "seed": format!("{:016x}", self.experiment.seed ^ gateway as u64),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": self.agents.known(),
            "settings": json_settings(&self.experiment, gateway, zones, zone),
        });
        if self.experiment.counter.enabled {
            configuration["counter"] = json!(counter.address.to_string());
        }
        let path = self.folder.path().join(format!("n{gateway}.json"));
        let partial = self.folder.path().join(format!("n{gateway}.json.partial"));
        let context = || format!("{} cannot be written", path.display());
        std::fs::write(&partial, configuration.to_string()).map_err(|e| LaboratoryError::io(context(), e))?;
        std::fs::rename(&partial, &path).map_err(|e| LaboratoryError::io(context(), e))?;
        Ok(path)
    }

    fn start_clients(&self) {
        let (fleet, load) = (&self.experiment.fleet, &self.experiment.load);
        let spread = fleet.gateways_per_tenant.min(fleet.gateways);
        let sets: Vec<(usize, usize)> = (0..fleet.tenants).map(|t| (t, t % fleet.gateways)).collect();
        for connection in 0..load.connections {
            let gateway = connection % fleet.gateways;
            let through =
                |(_, first): &&(usize, usize)| (gateway + fleet.gateways - first) % fleet.gateways < spread;
            let workload = Workload {
                gateway,
                tenants: sets.iter().filter(through).copied().collect(),
                spread,
                per_second: load.requests_per_second / load.connections as f64,
                seed: self.experiment.seed ^ (connection as u64) << 20,
            };
            tokio::spawn(play_client(self.clients.clone(), workload));
        }
    }

    async fn measure(&mut self, progress: &Progress) -> Result<Point> {
        self.start_clients();
        let load = &self.experiment.load;
        let warm_up = Duration::from_secs_f64(load.warm_up_seconds);
        let lasts = Duration::from_secs_f64(load.duration_seconds);
        self.pass(warm_up, &mut Vec::new(), progress).await?;
        self.clients.measure();
        self.agents.take_in_force();
        let before = self.snapshot();
        let mut steps = schedule::steps(&self.experiment);
        self.pass(lasts, &mut steps, progress).await?;
        let after = self.snapshot();
        Ok(self.point(&before, &after))
    }

    /// Lets time pass, carries out the steps that fall due, and looks after the processes.
    async fn pass(&mut self, lasts: Duration, steps: &mut Vec<Step>, progress: &Progress) -> Result<()> {
        let (begun, mut looks) = (Instant::now(), 0_u32);
        while begun.elapsed() < lasts {
            progress.step()?;
            while steps.first().is_some_and(|step| step.at <= begun.elapsed()) {
                let step = steps.remove(0);
                self.carry_out(step.action).await?;
            }
            self.check(looks)?;
            looks += 1;
            sleep(LOOK.min(lasts.saturating_sub(begun.elapsed()))).await;
        }
        Ok(())
    }

    fn check(&mut self, looks: u32) -> Result<()> {
        for process in self.gateways.iter_mut().flatten() {
            process.check_alive()?;
        }
        let seen = self.clients.seen();
        if let Some(gateway) = seen.silent.iter().position(|missing| *missing >= SILENT_MOST) {
            return Err(LaboratoryError::GatewayStalled {
                gateway,
                at_seconds: looks as f64 * LOOK.as_secs_f64(),
                symptom: format!("{SILENT_MOST} requests in a row had no answer"),
            });
        }
        drop(seen);
        match looks.is_multiple_of(MEMORY_LOOKS) {
            true => check_memory(self.gateways.iter().flatten().map(GatewayProcess::resident).sum()),
            false => Ok(()),
        }
    }

    fn snapshot(&self) -> Snapshot {
        let sum = |a: TrafficCount, b: TrafficCount| TrafficCount {
            calls: a.calls + b.calls,
            bytes: a.bytes + b.bytes,
        };
        Snapshot {
            cpu: self.gateways.iter().flatten().map(GatewayProcess::cpu).sum(),
            discovery: self.agents.traffic.count(),
            counter: self.counters.iter().map(|c| c.traffic.count()).fold(TrafficCount::default(), sum),
        }
    }

    fn point(&self, before: &Snapshot, after: &Snapshot) -> Point {
        let mut point = Point::default();
        let seen = self.clients.seen();
        let load = &self.experiment.load;
        let running = self.gateways.iter().flatten().count().max(1) as f64;
        let resident: u64 = self.gateways.iter().flatten().map(GatewayProcess::resident).sum();
        let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
        let values = [
            (Metric::Arrivals, seen.arrivals as f64),
            (Metric::Served, seen.served as f64),
            (Metric::Refused, seen.refused as f64),
            (Metric::Failed, seen.failed as f64),
            (Metric::Lost, seen.lost as f64),
            (Metric::CounterCalls, (after.counter.calls - before.counter.calls) as f64),
            (Metric::CounterBytes, (after.counter.bytes - before.counter.bytes) as f64),
            (Metric::DiscoveryCalls, (after.discovery.calls - before.discovery.calls) as f64),
            (Metric::DiscoveryBytes, (after.discovery.bytes - before.discovery.bytes) as f64),
            (Metric::Resident, resident as f64 / running),
        ];
        point.metrics.extend(values);
        if seen.arrivals > 0 {
            point.metrics.insert(Metric::ProcessCpu, cpu * 1e6 / seen.arrivals as f64);
        }
        point.metrics.insert(Metric::GatewayCpu, cpu / load.duration_seconds / running);
        if !seen.added.is_empty() {
            point.metrics.insert(Metric::AddedP50, seen.added.value_at_quantile(0.5) as f64);
            point.metrics.insert(Metric::AddedP99, seen.added.value_at_quantile(0.99) as f64);
        }
        let in_force = self.agents.take_in_force();
        if !in_force.is_zero() {
            point.metrics.insert(Metric::ChangeInForce, in_force.as_secs_f64() * 1e3);
        }
        if let Some(taken) = self.configuration_in_force() {
            point.metrics.insert(Metric::ConfigurationInForce, taken.as_secs_f64() * 1e3);
        }
        point.faults =
            seen.timeline.fault_costs(&self.experiment.faults, micros(load.duration_seconds * 1e3));
        point
    }

    /// Time until the last gateway had taken up the new configuration; none before all have.
    fn configuration_in_force(&self) -> Option<Duration> {
        let configured = self.configured_at?;
        let moved = self.gateways.iter().flatten().map(|g| g.counter_moved()).collect::<Option<Vec<_>>>()?;
        Some(moved.into_iter().max()?.saturating_duration_since(configured))
    }

    /// The numbers of the servers of a domain.
    pub(super) fn servers_in(&self, domain: Domain, index: usize) -> Vec<usize> {
        (0..self.servers.len()).filter(|s| self.topology.is_in(*s, domain, index)).collect()
    }

    /// The entry of a server.
    pub(super) fn endpoint(&self, server: usize, status: &'static str, since_ms: u64) -> EndpointMessage {
        endpoint(&self.topology, &self.servers, server, status, since_ms)
    }

    /// Ends all processes and waits for that.
    async fn stop(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.kill_gateway(gateway).await;
        }
    }
}

fn endpoint(
    topology: &Topology,
    servers: &[ServerStandIn],
    server: usize,
    status: &'static str,
    since_ms: u64,
) -> EndpointMessage {
    let zone = topology.zone_of_server(server);
    EndpointMessage {
        name: format!("s-{server:08x}"),
        address: servers[server].address.to_string(),
        zone: zone_name(zone),
        machine_type: MACHINE,
        group: zone as u32,
        status,
        weight: 1.0,
        started_at_ms: since_ms,
    }
}
