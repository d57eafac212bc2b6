//! Event handlers for the experiment's faults and its scheduled changes.

use super::event_queue::SimulationEvent;
use super::simulation::Simulation;
use crate::experiment::{Domain, Fault};
use crate::settings::{micros_from_milliseconds, micros_from_seconds};
use grebehook_core::Micros;
use rand::RngExt;

/// Time from the kill to the start of a gateway that `load.restarts` restarts, in microseconds.
const RESTART_DELAY: Micros = 500_000;

impl Simulation {
    /// Schedules the experiment's faults, changes and restarts.
    pub(super) fn schedule_faults(&mut self) {
        for (index, fault) in self.experiment.faults.iter().enumerate() {
            let begins_at = self.measurement_start + micros_from_seconds(fault.at_seconds());
            self.queue.push(begins_at, SimulationEvent::BeginFault { fault: index });
            if fault.lasts_seconds() > 0.0 {
                let ends_at = begins_at + micros_from_seconds(fault.lasts_seconds());
                self.queue.push(ends_at, SimulationEvent::EndFault { fault: index });
            }
        }
        self.schedule_changes();
        self.schedule_restarts();
    }

    /// Schedules the changes of servers and of the configuration at random times.
    fn schedule_changes(&mut self) {
        for _ in 0..self.experiment.load.changes {
            let server = self.rng.random_range(0..self.servers.len());
            let at = self.rng.random_range(self.measurement_start..self.measurement_end);
            self.queue.push(at, SimulationEvent::RestartServer { server });
        }
        for _ in 0..self.experiment.load.configurations {
            let at = self.rng.random_range(self.measurement_start..self.measurement_end);
            self.queue.push(at, SimulationEvent::PublishConfiguration);
        }
    }

    /// Schedules the restarts of gateways at regular intervals, so that a small number of restarts never
    /// overlap.
    fn schedule_restarts(&mut self) {
        let restarts = self.experiment.load.restarts;
        let duration = self.measurement_end - self.measurement_start;
        for restart in 0..restarts {
            let gateway = restart % self.gateways.len();
            let at = self.measurement_start + duration * restart as u64 / restarts as u64;
            self.queue.push(at, SimulationEvent::KillGateway { gateway });
            self.queue.push(at + RESTART_DELAY, SimulationEvent::StartGateway { gateway });
        }
    }

    /// Begins the fault with this index in the experiment.
    pub(super) fn begin_fault(&mut self, index: usize) {
        let fault = self.experiment.faults[index].clone();
        tracing::info!(fault = fault.name(), "fault begins");
        match fault {
            Fault::KillGateways { count, .. } => (0..count).for_each(|gateway| self.kill_gateway(gateway)),
            Fault::StopDomain { domain, index, include_gateways, .. } => {
                self.stop_domain(domain, index, include_gateways);
            }
            Fault::StallCounter { .. } => self.counter.set_unresponsive(true),
            Fault::StallDiscovery { .. } => self.discovery_unresponsive = true,
            Fault::ChangeEndpoints { count, .. } => self.restart_servers(&Vec::from_iter(0..count)),
            Fault::ChangeConfiguration { .. } => self.publish_configuration(),
            Fault::PartitionRegions { first, second, .. } => {
                self.network.set_partitioned(first, second, true);
            }
            Fault::StallGateway { gateway, .. } => self.gateways[gateway].stalled = true,
        }
    }

    /// Ends the fault with this index in the experiment.
    pub(super) fn end_fault(&mut self, index: usize) {
        let fault = self.experiment.faults[index].clone();
        tracing::info!(fault = fault.name(), "fault ends");
        match fault {
            Fault::KillGateways { count, .. } => self.schedule_starts(0..count),
            Fault::StopDomain { domain, index, include_gateways, .. } => {
                self.restart_domain(domain, index, include_gateways);
            }
            Fault::StallCounter { .. } => self.counter.set_unresponsive(false),
            Fault::StallDiscovery { .. } => {
                self.discovery_unresponsive = false;
                self.resend_to_agents();
            }
            Fault::PartitionRegions { first, second, .. } => {
                self.network.set_partitioned(first, second, false);
                self.resend_to_agents();
            }
            Fault::ChangeEndpoints { .. }
            | Fault::ChangeConfiguration { .. }
            | Fault::StallGateway { .. } => {}
        }
    }

    /// Schedules the start of gateways, after the events already scheduled for the current time.
    fn schedule_starts(&mut self, gateways: impl IntoIterator<Item = usize>) {
        for gateway in gateways {
            self.queue.push(self.now, SimulationEvent::StartGateway { gateway });
        }
    }

    /// Returns the servers of a failure domain.
    fn servers_in(&self, domain: Domain, index: usize) -> Vec<usize> {
        (0..self.servers.len()).filter(|server| self.topology.is_in_domain(*server, domain, index)).collect()
    }

    /// Returns the gateways of a failure domain.
    fn gateways_in(&self, domain: Domain, index: usize) -> Vec<usize> {
        (0..self.gateways.len())
            .filter(|gateway| self.topology.is_in_domain(*gateway, domain, index))
            .collect()
    }

    /// Stops the machines of a failure domain; discovery detects it later.
    fn stop_domain(&mut self, domain: Domain, index: usize, gateways_too: bool) {
        let servers = self.servers_in(domain, index);
        for server in &servers {
            self.servers.stop(*server);
        }
        if gateways_too {
            for gateway in self.gateways_in(domain, index) {
                self.kill_gateway(gateway);
            }
        }
        let detected_at = self.now + micros_from_milliseconds(self.experiment.discovery.notice_milliseconds);
        self.queue.push(detected_at, SimulationEvent::PublishServers { servers });
    }

    /// Starts the machines of a failure domain again.
    fn restart_domain(&mut self, domain: Domain, index: usize, gateways_too: bool) {
        let servers = self.servers_in(domain, index);
        if gateways_too {
            self.schedule_starts(self.gateways_in(domain, index));
        }
        self.restart_servers(&servers);
    }

    /// Starts servers, which discovery publishes at once. Servers that are running are replaced without
    /// downtime.
    pub(super) fn restart_servers(&mut self, servers: &[usize]) {
        for server in servers {
            self.servers.start(self.now, *server);
        }
        self.publish_servers(servers);
    }
}
