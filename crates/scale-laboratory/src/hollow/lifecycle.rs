//! Event handlers for starts and stops of gateways.

use super::event_queue::SimulationEvent;
use super::simulation::Simulation;
use crate::error::Result;
use crate::settings::core_settings;
use crate::timeline::Outcome;
use grebehook_core::{Micros, WatchEvent};

/// Time after which the load balancer detects that a gateway is down, in microseconds.
const LOAD_BALANCER_DELAY: Micros = 1_000_000;

impl Simulation {
    /// Starts a gateway that is down. Its first endpoint list comes with its configuration.
    pub(super) fn start_gateway(&mut self, gateway: usize) -> Result<()> {
        if self.gateways[gateway].core.is_some() {
            return Ok(());
        }
        let zone = self.topology.zone_of_gateway(gateway) as u32;
        let settings = core_settings(&self.experiment, gateway, zone);
        self.gateways[gateway].start(self.now, settings, self.experiment.seed)?;
        self.gateways[gateway].configuration_version = self.configuration_version;
        let snapshot = self.endpoints.snapshot();
        self.measurements.counts.relay_bytes += snapshot.body_bytes;
        self.deliver_endpoints(gateway, WatchEvent::CachedSnapshot, snapshot);
        Ok(())
    }

    /// Kills a gateway; its requests without a response are lost.
    pub(super) fn kill_gateway(&mut self, gateway: usize) {
        for id in self.gateways[gateway].kill() {
            self.finish_pending(id, Outcome::Lost);
        }
        let detected_at = self.now + LOAD_BALANCER_DELAY;
        self.queue.push(detected_at, SimulationEvent::UpdateLoadBalancer { gateway });
    }

    /// Updates the load balancer's view of whether a gateway is down.
    pub(super) fn update_load_balancer(&mut self, gateway: usize) {
        let gateway = &mut self.gateways[gateway];
        gateway.marked_down = gateway.core.is_none();
    }
}
