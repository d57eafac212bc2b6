//! Gateway processes and stubs of one point: how they are started, configured and stopped.

use super::clients::Clients;
use super::counter_stub::CounterStub;
use super::discovery_agents::DiscoveryAgents;
use super::gateway_process::GatewayProcess;
use super::server_stub::ServerStub;
use crate::error::{LaboratoryError, Result};
use crate::experiment::Experiment;
use crate::progress::Progress;
use crate::settings::{json_settings, micros_from_milliseconds, zone_name};
use crate::topology::Topology;
use crate::wire::{self, EndpointMessage};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Memory limit in a gateway's configuration, in millions of bytes.
const MEMORY_LIMIT_MB: u64 = 192;
/// Limit on open file descriptors in a gateway's configuration.
const FILE_DESCRIPTOR_LIMIT: u64 = 1_024;

/// Gateway processes, stubs and clients of one point.
pub struct RealFleet {
    /// Experiment that the fleet runs.
    pub(super) experiment: Experiment,
    /// Zones and racks of servers and gateways.
    pub(super) topology: Topology,
    /// Stubs of the discovery agents.
    pub(super) agents: DiscoveryAgents,
    /// Shared counter of the initial configuration, and that of the changed configuration.
    pub(super) counters: [CounterStub; 2],
    /// Stubs of the back-end servers.
    pub(super) servers: Vec<ServerStub>,
    /// State shared by the client tasks.
    pub(super) clients: Arc<Clients>,
    /// Gateway processes by gateway number; `None` while a gateway is down.
    pub(super) gateways: Vec<Option<GatewayProcess>>,
    /// Time of the configuration change; `None` before it.
    pub(super) configuration_changed_at: Option<Instant>,
    /// Address of each gateway's discovery agent.
    agent_addresses: Vec<SocketAddr>,
    /// Temporary folder of the configuration files.
    configuration_folder: TempDir,
    /// Path of the gateway program.
    program: PathBuf,
}

impl RealFleet {
    /// Starts the stubs, then the gateways. If a gateway cannot be started, stops those that run.
    pub(super) async fn start(
        experiment: &Experiment,
        program: &Path,
        progress: &Progress,
    ) -> Result<RealFleet> {
        let mut fleet = RealFleet::start_stubs(experiment, program).await?;
        if let Err(error) = fleet.start_gateways(progress).await {
            fleet.stop().await;
            return Err(error);
        }
        tracing::info!(gateways = fleet.gateways.len(), servers = fleet.servers.len(), "fleet started");
        Ok(fleet)
    }

    /// Starts the stubs and returns a fleet whose gateways are all down.
    async fn start_stubs(experiment: &Experiment, program: &Path) -> Result<RealFleet> {
        let listen_error =
            |error| LaboratoryError::io("the stub of a server, agent or counter cannot listen", error);
        let topology = Topology::new(&experiment.fleet);
        let servers = start_servers(experiment).await.map_err(listen_error)?;
        let endpoints = (0..servers.len()).map(|server| endpoint(&topology, &servers, server, "ready", 0));
        let agents = DiscoveryAgents::new(endpoints.collect());
        let mut agent_addresses = Vec::new();
        for _ in 0..experiment.fleet.gateways {
            agent_addresses.push(agents.start().await.map_err(listen_error)?);
        }
        let counters = [
            CounterStub::start().await.map_err(listen_error)?,
            CounterStub::start().await.map_err(listen_error)?,
        ];
        Ok(RealFleet {
            topology,
            agents,
            counters,
            servers,
            clients: Clients::new(experiment.fleet.gateways),
            gateways: (0..experiment.fleet.gateways).map(|_| None).collect(),
            configuration_changed_at: None,
            agent_addresses,
            configuration_folder: tempfile::tempdir()
                .map_err(|error| LaboratoryError::io("cannot create a temporary folder", error))?,
            program: program.to_owned(),
            experiment: experiment.clone(),
        })
    }

    /// Starts all gateways, one after another.
    async fn start_gateways(&mut self, progress: &Progress) -> Result<()> {
        for gateway in 0..self.gateways.len() {
            self.start_gateway(gateway).await?;
            progress.step()?;
        }
        Ok(())
    }

    /// Starts a gateway and announces its address to the clients. Does nothing if the gateway runs.
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

    /// Marks a gateway as down for the clients, kills its process and waits until the process has ended.
    pub(super) async fn kill_gateway(&mut self, gateway: usize) {
        self.clients.set_address(gateway, None);
        if let Some(process) = self.gateways[gateway].take() {
            process.kill().await;
        }
    }

    /// Kills all gateways and waits until they have ended.
    pub(super) async fn stop(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.kill_gateway(gateway).await;
        }
    }

    /// Replaces a gateway's configuration file atomically and returns its path.
    pub(super) fn write_configuration(&self, gateway: usize) -> Result<PathBuf> {
        let path = self.configuration_folder.path().join(format!("n{gateway}.json"));
        let partial = self.configuration_folder.path().join(format!("n{gateway}.json.partial"));
        let write_error =
            |error| LaboratoryError::io(format!("configuration {} cannot be written", path.display()), error);
        std::fs::write(&partial, self.configuration(gateway).to_string()).map_err(write_error)?;
        std::fs::rename(&partial, &path).map_err(write_error)?;
        Ok(path)
    }

    /// Returns a gateway's configuration in its JSON form.
    fn configuration(&self, gateway: usize) -> Value {
        let zones = self.topology.zones();
        let zone = self.topology.zone_of_gateway(gateway) as u32;
        let counter = &self.counters[usize::from(self.configuration_changed_at.is_some())];
        let mut configuration = json!({
            "name": format!("n{gateway}"),
            "listen": "127.0.0.1:0",
            "discovery": self.agent_addresses[gateway].to_string(),
            "seed": format!("{:016x}", self.experiment.seed ^ gateway as u64),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": FILE_DESCRIPTOR_LIMIT},
            "known": self.agents.snapshot(),
            "settings": json_settings(&self.experiment, gateway, zones, zone),
        });
        if self.experiment.counter.enabled {
            configuration["counter"] = json!(counter.address.to_string());
        }
        configuration
    }

    /// Returns a server's entry in the endpoint list.
    pub(super) fn endpoint(
        &self,
        server: usize,
        status: &'static str,
        started_at_ms: u64,
    ) -> EndpointMessage {
        endpoint(&self.topology, &self.servers, server, status, started_at_ms)
    }
}

/// Starts the stubs of all servers.
async fn start_servers(experiment: &Experiment) -> io::Result<Vec<ServerStub>> {
    let mean_service_time =
        Duration::from_micros(micros_from_milliseconds(experiment.backend.service_milliseconds));
    let mut servers = Vec::new();
    for server in 0..experiment.fleet.servers() {
        let seed = experiment.seed ^ (server as u64) << 32;
        servers.push(ServerStub::start(mean_service_time, seed).await?);
    }
    Ok(servers)
}

/// Returns a server's entry in the endpoint list.
fn endpoint(
    topology: &Topology,
    servers: &[ServerStub],
    server: usize,
    status: &'static str,
    started_at_ms: u64,
) -> EndpointMessage {
    let zone = topology.zone_of_server(server);
    EndpointMessage {
        name: wire::server_name(server),
        address: servers[server].address.to_string(),
        zone: zone_name(zone),
        machine_type: wire::MACHINE_TYPE,
        group: zone as u32,
        status,
        weight: 1.0,
        started_at_ms,
    }
}
