//! Application of scheduled actions to a real fleet.

use super::fleet::RealFleet;
use super::gateway_process::GatewayProcess;
use super::schedule::FleetAction;
use crate::error::Result;
use crate::experiment::FailureDomain;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

impl RealFleet {
    /// Applies an action to the fleet.
    pub(super) async fn apply(&mut self, action: FleetAction) -> Result<()> {
        tracing::info!(?action, "applying scheduled action");
        match action {
            FleetAction::KillGateways(gateways) => {
                for gateway in gateways {
                    self.kill_gateway(gateway).await;
                }
            }
            FleetAction::StartGateways(gateways) => {
                for gateway in gateways {
                    self.start_gateway(gateway).await?;
                }
            }
            FleetAction::StopServers { domain, index } => self.set_servers_unresponsive(domain, index, true),
            FleetAction::PublishStop { domain, index } => {
                self.publish(self.servers_in(domain, index), "gone", 0);
            }
            FleetAction::RestoreServers { domain, index } => {
                self.set_servers_unresponsive(domain, index, false);
                self.publish(self.servers_in(domain, index), "ready", unix_time_ms());
            }
            FleetAction::SetCounterUnresponsive(unresponsive) => {
                self.counters.iter().for_each(|counter| counter.set_unresponsive(unresponsive));
            }
            FleetAction::SetDiscoveryUnresponsive(unresponsive) => self.agents.set_unresponsive(unresponsive),
            FleetAction::ChangeEndpoints(count) => {
                self.publish((0..count).collect(), "ready", unix_time_ms());
            }
            FleetAction::ChangeConfiguration => self.change_configuration()?,
        }
        Ok(())
    }

    fn servers_in(&self, domain: FailureDomain, index: usize) -> Vec<usize> {
        (0..self.servers.len()).filter(|server| self.topology.is_in_domain(*server, domain, index)).collect()
    }

    /// Sets whether the servers of a domain leave requests without a response.
    fn set_servers_unresponsive(&self, domain: FailureDomain, index: usize, unresponsive: bool) {
        for server in self.servers_in(domain, index) {
            self.servers[server].set_unresponsive(unresponsive);
        }
    }

    /// Publishes entries of servers with this status and start time through the discovery agents.
    fn publish(&self, servers: Vec<usize>, status: &'static str, started_at_ms: u64) {
        let endpoints = servers.into_iter().map(|server| self.endpoint(server, status, started_at_ms));
        self.agents.publish(endpoints.collect());
    }

    /// Replaces the configuration of all gateways by one with the address of the second counter, and makes
    /// them reload it.
    fn change_configuration(&mut self) -> Result<()> {
        self.configuration_changed_at = Some(Instant::now());
        for gateway in 0..self.gateways.len() {
            self.write_configuration(gateway)?;
        }
        self.gateways.iter().flatten().for_each(GatewayProcess::reload);
        Ok(())
    }
}

/// Returns the Unix time in milliseconds, the unit of start times in the endpoint list.
fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
