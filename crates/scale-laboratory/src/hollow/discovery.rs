//! Event handlers for discovery: distribution of endpoint list changes to the gateways' agents, responses and
//! timeouts of watches, and delivery of configurations.

use super::endpoint_history::{
    empty_body_bytes, watch_bytes, watch_call_bytes, EndpointUpdate, ServerRecord, FAILING_WATCH_TIMEOUT,
    WATCH_TIMEOUT,
};
use super::event_queue::{Incarnation, SimulationEvent};
use super::simulation::Simulation;
use crate::settings::{json_settings, micros_from_milliseconds};
use crate::wire;
use grebehook_core::{EndpointState, Event, Micros, WatchEvent};
use rand::RngExt;

impl Simulation {
    /// Publishes the current state of the given servers as one new version of the endpoint list.
    pub(super) fn publish_servers(&mut self, servers: &[usize]) {
        let changes: Vec<ServerRecord> = servers.iter().map(|server| self.server_record(*server)).collect();
        let version = self.endpoints.publish(self.now, &changes);
        self.send_to_agents(version);
    }

    /// Returns the current endpoint list record of a server.
    fn server_record(&self, server: usize) -> ServerRecord {
        let current = self.servers.get(server);
        let state = if current.running { EndpointState::Ready } else { EndpointState::Removed };
        ServerRecord { server, state, started_at: current.started_at }
    }

    /// Sends the newest version to all agents, for those that have missed versions.
    pub(super) fn resend_to_agents(&mut self) {
        self.send_to_agents(self.endpoints.version());
    }

    /// Sends a version to all agents.
    fn send_to_agents(&mut self, version: u64) {
        for gateway in 0..self.gateways.len() {
            let at = self.now + self.relay_delay(gateway);
            self.queue.push(at, SimulationEvent::AgentUpdated { gateway, version });
        }
    }

    /// Returns the time that a message takes from the origin of discovery to a gateway's agent, in
    /// microseconds: the network delay and a random delay of the relay.
    fn relay_delay(&mut self, gateway: usize) -> Micros {
        let max = micros_from_milliseconds(self.experiment.discovery.relay_milliseconds);
        self.network.delay_to_home_region(gateway) + self.rng.random_range(0..=max)
    }

    /// Returns whether a gateway is running and its agent receives messages from the origin of discovery.
    fn receives_from_origin(&self, gateway: usize) -> bool {
        let running = self.gateways[gateway].core.is_some();
        running && !self.discovery_unresponsive && self.network.reaches_home_region(gateway)
    }

    /// Processes a version that reaches an agent, which responds to its gateway's watch.
    pub(super) fn handle_agent_update(&mut self, gateway: usize, version: u64) {
        if !self.receives_from_origin(gateway) {
            return;
        }
        let known_version = self.gateways[gateway].list_version;
        let Some(update) = self.endpoints.update(known_version, version) else { return };
        let counts = &mut self.measurements.counts;
        counts.relay_bytes += update.body_bytes;
        counts.discovery_calls += 1;
        counts.discovery_bytes += watch_bytes(known_version, update.body_bytes);
        let slowest = update.published_at.iter().map(|published| self.now - published).max().unwrap_or(0);
        self.measurements.record_change_propagation(slowest);
        let watch_event = if update.is_snapshot { WatchEvent::Snapshot } else { WatchEvent::Delta };
        self.deliver_endpoints(gateway, watch_event, update);
    }

    /// Delivers a list or delta to a gateway, which then opens a watch from the new version.
    pub(super) fn deliver_endpoints(
        &mut self,
        gateway: usize,
        watch_event: WatchEvent,
        update: EndpointUpdate,
    ) {
        self.gateways[gateway].list_version = update.version;
        let incarnation = self.gateways[gateway].incarnation();
        self.deliver(incarnation, Event::EndpointsChanged { watch_event, endpoints: update.endpoints });
        self.open_watch(incarnation, WATCH_TIMEOUT);
    }

    /// Opens a watch of a gateway.
    fn open_watch(&mut self, incarnation: Incarnation, timeout: Micros) {
        let gateway = &mut self.gateways[incarnation.gateway];
        gateway.last_watch += 1;
        let watch = gateway.last_watch;
        self.queue.push(self.now + timeout, SimulationEvent::WatchTimedOut { incarnation, watch });
    }

    /// Processes the timeout of a watch: the gateway opens the next one.
    pub(super) fn handle_watch_timeout(&mut self, incarnation: Incarnation, watch: u64) {
        let gateway = &self.gateways[incarnation.gateway];
        if !gateway.is_running(incarnation) || gateway.last_watch != watch {
            return;
        }
        let version = gateway.list_version;
        self.measurements.counts.discovery_calls += 1;
        if self.discovery_unresponsive {
            self.measurements.counts.discovery_bytes += watch_call_bytes(version);
            let failed = Event::EndpointsChanged { watch_event: WatchEvent::Failed, endpoints: Vec::new() };
            self.deliver(incarnation, failed);
            self.open_watch(incarnation, FAILING_WATCH_TIMEOUT);
        } else {
            self.measurements.counts.discovery_bytes += watch_bytes(version, empty_body_bytes(version));
            self.open_watch(incarnation, WATCH_TIMEOUT);
        }
    }

    /// Publishes a new configuration and sends it to all gateways.
    pub(super) fn publish_configuration(&mut self) {
        self.configuration_version += 1;
        self.configuration_published_at = self.now;
        let version = self.configuration_version;
        for gateway in 0..self.gateways.len() {
            let at = self.now + self.relay_delay(gateway);
            self.queue.push(at, SimulationEvent::ConfigurationArrived { gateway, version });
        }
    }

    /// Processes a configuration that reaches a gateway.
    pub(super) fn handle_configuration_arrival(&mut self, gateway: usize, version: u32) {
        if !self.receives_from_origin(gateway) {
            return;
        }
        let zone = self.topology.zone_of_gateway(gateway) as u32;
        let settings = json_settings(&self.experiment, gateway, self.topology.zones(), zone);
        self.measurements.counts.relay_bytes += wire::json_length(&settings);
        let known_version = &mut self.gateways[gateway].configuration_version;
        *known_version = version.max(*known_version);
        if version == self.configuration_version {
            let elapsed = self.now - self.configuration_published_at;
            self.measurements.record_configuration_propagation(elapsed);
        }
    }
}
