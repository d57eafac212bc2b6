//! Discovery in the event loop: changes go out to the gateways' agents, watches are answered or time out, and
//! configurations arrive.

use super::endpoint_history::{
    empty_body_bytes, watch_bytes, watch_call_bytes, EndpointUpdate, ServerRecord, FAILING_WATCH_TIMEOUT,
    WATCH_TIMEOUT,
};
use super::event_queue::{Incarnation, SimulationEvent};
use super::simulation::Simulation;
use crate::settings::{json_settings, micros};
use crate::wire;
use grebehook_core::{EndpointState, Event, Micros, WatchEvent};
use rand::RngExt;

impl Simulation {
    /// Publishes the present state of servers as one new version of the list.
    pub(super) fn servers_change(&mut self, servers: &[usize]) {
        let changes: Vec<ServerRecord> = servers.iter().map(|server| self.server_record(*server)).collect();
        let version = self.endpoints.publish(self.now, &changes);
        self.send_to_agents(version);
    }

    /// What discovery says of a server now.
    fn server_record(&self, server: usize) -> ServerRecord {
        let present = self.servers.get(server);
        let state = if present.running { EndpointState::Ready } else { EndpointState::Removed };
        ServerRecord { server, state, started_at: present.started_at }
    }

    /// Sends the newest version to all agents, which may have missed some.
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

    /// Time until a relay has passed something on to a gateway's agent.
    fn relay_delay(&mut self, gateway: usize) -> Micros {
        let max = micros(self.experiment.discovery.relay_milliseconds);
        self.network.delay_to_home(gateway) + self.rng.random_range(0..=max)
    }

    /// Whether a gateway runs and what the origin of discovery sends reaches its agent.
    fn reaches_origin(&self, gateway: usize) -> bool {
        let running = self.gateways[gateway].core.is_some();
        running && !self.discovery_silent && self.network.reaches_home(gateway)
    }

    /// A version reaches an agent, which answers its gateway's watch.
    pub(super) fn agent_updated(&mut self, gateway: usize, version: u64) {
        if !self.reaches_origin(gateway) {
            return;
        }
        let known = self.gateways[gateway].list_version;
        let Some(update) = self.endpoints.update(known, version) else { return };
        let counts = &mut self.measurements.counts;
        counts.relay_bytes += update.body_bytes;
        counts.discovery_calls += 1;
        counts.discovery_bytes += watch_bytes(known, update.body_bytes);
        let slowest = update.published_at.iter().map(|published| self.now - published).max().unwrap_or(0);
        self.measurements.record_change_in_force(slowest);
        let watch_event = if update.is_snapshot { WatchEvent::Snapshot } else { WatchEvent::Delta };
        self.deliver_list(gateway, watch_event, update);
    }

    /// Hands a list to a gateway, which then watches from its version.
    pub(super) fn deliver_list(&mut self, gateway: usize, watch_event: WatchEvent, update: EndpointUpdate) {
        self.gateways[gateway].list_version = update.version;
        let incarnation = self.gateways[gateway].incarnation();
        self.deliver(incarnation, Event::EndpointsChanged { watch_event, endpoints: update.endpoints });
        self.open_watch(incarnation, WATCH_TIMEOUT);
    }

    /// Opens a watch.
    fn open_watch(&mut self, incarnation: Incarnation, timeout: Micros) {
        let gateway = &mut self.gateways[incarnation.gateway];
        gateway.last_watch += 1;
        let watch = gateway.last_watch;
        self.queue.push(self.now + timeout, SimulationEvent::WatchTimesOut { incarnation, watch });
    }

    /// A watch was not answered in time: the gateway opens the next one.
    pub(super) fn watch_timed_out(&mut self, incarnation: Incarnation, watch: u64) {
        let gateway = &self.gateways[incarnation.gateway];
        if !gateway.is_running(incarnation) || gateway.last_watch != watch {
            return;
        }
        let version = gateway.list_version;
        self.measurements.counts.discovery_calls += 1;
        if self.discovery_silent {
            self.measurements.counts.discovery_bytes += watch_call_bytes(version);
            let failed = Event::EndpointsChanged { watch_event: WatchEvent::Failed, endpoints: Vec::new() };
            self.deliver(incarnation, failed);
            self.open_watch(incarnation, FAILING_WATCH_TIMEOUT);
        } else {
            self.measurements.counts.discovery_bytes += watch_bytes(version, empty_body_bytes(version));
            self.open_watch(incarnation, WATCH_TIMEOUT);
        }
    }

    /// Sends a new configuration to all gateways.
    pub(super) fn publish_configuration(&mut self) {
        self.configuration_version += 1;
        self.configuration_published_at = self.now;
        let version = self.configuration_version;
        for gateway in 0..self.gateways.len() {
            let at = self.now + self.relay_delay(gateway);
            self.queue.push(at, SimulationEvent::ConfigurationArrives { gateway, version });
        }
    }

    /// A configuration reaches a gateway.
    pub(super) fn configuration_arrived(&mut self, gateway: usize, version: u32) {
        if !self.reaches_origin(gateway) {
            return;
        }
        let zone = self.topology.zone_of_gateway(gateway) as u32;
        let settings = json_settings(&self.experiment, gateway, self.topology.zones(), zone);
        self.measurements.counts.relay_bytes += wire::json_length(&settings);
        let known = &mut self.gateways[gateway].configuration_version;
        *known = version.max(*known);
        if version == self.configuration_version {
            let elapsed = self.now - self.configuration_published_at;
            self.measurements.record_configuration_in_force(elapsed);
        }
    }
}
