//! The experiment's faults and its scheduled changes in the event loop.

use super::event_queue::SimulationEvent;
use super::simulation::Simulation;
use crate::experiment::{Domain, Fault};
use crate::settings::{micros, micros_of_seconds};
use grebehook_core::Micros;
use rand::RngExt;

/// A gateway restarted by the load is back after this time.
const RESTART_DELAY: Micros = 500_000;

impl Simulation {
    /// Schedules the experiment's faults and its changes and restarts.
    pub(super) fn schedule_faults(&mut self) {
        for (index, fault) in self.experiment.faults.iter().enumerate() {
            let begins_at = self.measure_from + micros_of_seconds(fault.at_seconds());
            self.queue.push(begins_at, SimulationEvent::FaultBegins { fault: index });
            if fault.lasts_seconds() > 0.0 {
                let ends_at = begins_at + micros_of_seconds(fault.lasts_seconds());
                self.queue.push(ends_at, SimulationEvent::FaultEnds { fault: index });
            }
        }
        self.schedule_changes();
        self.schedule_restarts();
    }

    /// Schedules the load's changes at random times.
    fn schedule_changes(&mut self) {
        for _ in 0..self.experiment.load.changes {
            let server = self.rng.random_range(0..self.servers.len());
            let at = self.rng.random_range(self.measure_from..self.measure_until);
            self.queue.push(at, SimulationEvent::ServerRestarts { server });
        }
        for _ in 0..self.experiment.load.configurations {
            let at = self.rng.random_range(self.measure_from..self.measure_until);
            self.queue.push(at, SimulationEvent::ConfigurationChanges);
        }
    }

    /// Schedules the load's restarts of gateways, evenly so that a few of them never coincide.
    fn schedule_restarts(&mut self) {
        let restarts = self.experiment.load.restarts;
        let duration = self.measure_until - self.measure_from;
        for restart in 0..restarts {
            let gateway = restart % self.gateways.len();
            let at = self.measure_from + duration * restart as u64 / restarts as u64;
            self.queue.push(at, SimulationEvent::GatewayKilled { gateway });
            self.queue.push(at + RESTART_DELAY, SimulationEvent::GatewayStarts { gateway });
        }
    }

    /// Begins a fault.
    pub(super) fn begin_fault(&mut self, index: usize) {
        let fault = self.experiment.faults[index].clone();
        tracing::info!(fault = fault.name(), "fault begins");
        match fault {
            Fault::KillGateways { count, .. } => (0..count).for_each(|gateway| self.kill_gateway(gateway)),
            Fault::StopDomain { domain, index, include_gateways, .. } => {
                self.lose(domain, index, include_gateways);
            }
            Fault::StallCounter { .. } => self.counter.set_silent(true),
            Fault::StallDiscovery { .. } => self.discovery_silent = true,
            Fault::ChangeEndpoints { count, .. } => self.restart_servers(&Vec::from_iter(0..count)),
            Fault::ChangeConfiguration { .. } => self.publish_configuration(),
            Fault::PartitionRegions { first, second, .. } => {
                self.network.set_partitioned(first, second, true);
            }
            Fault::StallGateway { gateway, .. } => self.gateways[gateway].stalled = true,
        }
    }

    /// Ends a fault.
    pub(super) fn end_fault(&mut self, index: usize) {
        let fault = self.experiment.faults[index].clone();
        tracing::info!(fault = fault.name(), "fault ends");
        match fault {
            Fault::KillGateways { count, .. } => self.schedule_starts(0..count),
            Fault::StopDomain { domain, index, include_gateways, .. } => {
                self.restore(domain, index, include_gateways);
            }
            Fault::StallCounter { .. } => self.counter.set_silent(false),
            Fault::StallDiscovery { .. } => {
                self.discovery_silent = false;
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

    /// Starts gateways, after what happens at the same time already.
    fn schedule_starts(&mut self, gateways: impl IntoIterator<Item = usize>) {
        for gateway in gateways {
            self.queue.push(self.now, SimulationEvent::GatewayStarts { gateway });
        }
    }

    /// The servers of a domain.
    fn servers_in(&self, domain: Domain, index: usize) -> Vec<usize> {
        (0..self.servers.len()).filter(|server| self.topology.is_in(*server, domain, index)).collect()
    }

    /// The gateways of a domain.
    fn gateways_in(&self, domain: Domain, index: usize) -> Vec<usize> {
        (0..self.gateways.len()).filter(|gateway| self.topology.is_in(*gateway, domain, index)).collect()
    }

    /// The machines of a domain stop; discovery notices it later.
    fn lose(&mut self, domain: Domain, index: usize, gateways_too: bool) {
        let servers = self.servers_in(domain, index);
        for server in &servers {
            self.servers.stop(*server);
        }
        if gateways_too {
            for gateway in self.gateways_in(domain, index) {
                self.kill_gateway(gateway);
            }
        }
        let noticed_at = self.now + micros(self.experiment.discovery.notice_milliseconds);
        self.queue.push(noticed_at, SimulationEvent::ServersChange { servers });
    }

    /// The machines of a domain start again.
    fn restore(&mut self, domain: Domain, index: usize, gateways_too: bool) {
        let servers = self.servers_in(domain, index);
        if gateways_too {
            self.schedule_starts(self.gateways_in(domain, index));
        }
        self.restart_servers(&servers);
    }

    /// Servers start, and discovery publishes it at once. Those that ran are replaced within an instant.
    pub(super) fn restart_servers(&mut self, servers: &[usize]) {
        for server in servers {
            self.servers.start(self.now, *server);
        }
        self.servers_change(servers);
    }
}
