//! What the steps of a real run do to its fleet.

use super::fleet::RealFleet;
use super::gateway_process::GatewayProcess;
use super::schedule::FaultAction;
use crate::error::Result;
use crate::experiment::Domain;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

impl RealFleet {
    /// Carries out an action.
    pub(super) async fn apply(&mut self, action: FaultAction) -> Result<()> {
        tracing::info!(?action, "fault step");
        match action {
            FaultAction::KillGateways(gateways) => {
                for gateway in gateways {
                    self.kill_gateway(gateway).await;
                }
            }
            FaultAction::StartGateways(gateways) => {
                for gateway in gateways {
                    self.start_gateway(gateway).await?;
                }
            }
            FaultAction::StopServers { domain, index } => self.set_servers_silent(domain, index, true),
            FaultAction::PublishStop { domain, index } => {
                self.publish(self.servers_in(domain, index), "gone", 0);
            }
            FaultAction::RestoreServers { domain, index } => {
                self.set_servers_silent(domain, index, false);
                self.publish(self.servers_in(domain, index), "ready", unix_milliseconds());
            }
            FaultAction::SilenceCounter(silent) => {
                self.counters.iter().for_each(|counter| counter.set_silent(silent));
            }
            FaultAction::SilenceDiscovery(silent) => self.agents.set_silent(silent),
            FaultAction::ChangeEndpoints(count) => {
                self.publish((0..count).collect(), "ready", unix_milliseconds());
            }
            FaultAction::ChangeConfiguration => self.change_configuration()?,
        }
        Ok(())
    }

    /// The servers of a domain.
    fn servers_in(&self, domain: Domain, index: usize) -> Vec<usize> {
        (0..self.servers.len()).filter(|server| self.topology.is_in_domain(*server, domain, index)).collect()
    }

    /// The servers of a domain fall silent, or respond again.
    fn set_servers_silent(&self, domain: Domain, index: usize, silent: bool) {
        for server in self.servers_in(domain, index) {
            self.servers[server].set_silent(silent);
        }
    }

    /// Discovery publishes new entries of servers.
    fn publish(&self, servers: Vec<usize>, status: &'static str, started_at_ms: u64) {
        let endpoints = servers.into_iter().map(|server| self.endpoint(server, status, started_at_ms));
        self.agents.publish(endpoints.collect());
    }

    /// Gives all gateways a configuration that names the other counter.
    fn change_configuration(&mut self) -> Result<()> {
        self.configuration_changed_at = Some(Instant::now());
        for gateway in 0..self.gateways.len() {
            self.write_configuration(gateway)?;
        }
        self.gateways.iter().flatten().for_each(GatewayProcess::reload);
        Ok(())
    }
}

/// The wall clock's time in the form of the endpoint list.
fn unix_milliseconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
