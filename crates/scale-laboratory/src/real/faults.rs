//! Applies scheduled fault actions to a real fleet.

use super::fleet::RealFleet;
use super::gateway_process::GatewayProcess;
use super::schedule::FaultAction;
use crate::error::Result;
use crate::experiment::Domain;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

impl RealFleet {
    /// Carries out one scheduled action.
    pub(super) async fn apply(&mut self, action: FaultAction) -> Result<()> {
        tracing::info!(?action, "applying fault action");
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
            FaultAction::StopServers { domain, index } => self.set_servers_unresponsive(domain, index, true),
            FaultAction::PublishStop { domain, index } => {
                self.publish(self.servers_in(domain, index), "gone", 0);
            }
            FaultAction::RestoreServers { domain, index } => {
                self.set_servers_unresponsive(domain, index, false);
                self.publish(self.servers_in(domain, index), "ready", unix_time_ms());
            }
            FaultAction::SilenceCounter(unresponsive) => {
                self.counters.iter().for_each(|counter| counter.set_unresponsive(unresponsive));
            }
            FaultAction::SilenceDiscovery(unresponsive) => self.agents.set_unresponsive(unresponsive),
            FaultAction::ChangeEndpoints(count) => {
                self.publish((0..count).collect(), "ready", unix_time_ms());
            }
            FaultAction::ChangeConfiguration => self.change_configuration()?,
        }
        Ok(())
    }

    fn servers_in(&self, domain: Domain, index: usize) -> Vec<usize> {
        (0..self.servers.len()).filter(|server| self.topology.is_in_domain(*server, domain, index)).collect()
    }

    /// Sets whether the servers of a domain leave requests without a response.
    fn set_servers_unresponsive(&self, domain: Domain, index: usize, unresponsive: bool) {
        for server in self.servers_in(domain, index) {
            self.servers[server].set_unresponsive(unresponsive);
        }
    }

    /// Publishes new entries of servers through the discovery agents.
    fn publish(&self, servers: Vec<usize>, status: &'static str, started_at_ms: u64) {
        let endpoints = servers.into_iter().map(|server| self.endpoint(server, status, started_at_ms));
        self.agents.publish(endpoints.collect());
    }

    /// Makes all gateways reload a configuration that contains the address of the second counter.
    fn change_configuration(&mut self) -> Result<()> {
        self.configuration_changed_at = Some(Instant::now());
        for gateway in 0..self.gateways.len() {
            self.write_configuration(gateway)?;
        }
        self.gateways.iter().flatten().for_each(GatewayProcess::reload);
        Ok(())
    }
}

/// Returns the Unix time in milliseconds, the unit of the endpoint list.
fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
