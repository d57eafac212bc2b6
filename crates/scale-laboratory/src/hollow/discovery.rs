//! Discovery in the event loop: changes go out to the agents, watches are answered or expire, and configurations
//! arrive.

use super::queue::{GatewayLife, Occurrence};
use super::relay::{self, Member, Update};
use super::simulation::Simulation;
use crate::settings::{json_settings, micros};
use crate::wire;
use grebehook_core::{EndpointState, Event, Micros, WatchEvent};
use rand::RngExt;

impl Simulation {
    /// Makes changes one new version and sends it on its way.
    pub(super) fn publish(&mut self, changes: &[Member]) {
        let version = self.relay.change(self.now, changes);
        for gateway in 0..self.gateways.len() {
            let at = self.now + self.relay_delay(gateway);
            self.queue.push(at, Occurrence::AgentLearns(gateway, version));
        }
    }

    /// Time until a relay has passed something on to a gateway's agent.
    pub(super) fn relay_delay(&mut self, gateway: usize) -> Micros {
        let most = micros(self.experiment.discovery.relay_milliseconds);
        self.network.to_home(gateway) + self.rng.random_range(0..=most)
    }

    /// Whether what the origin tells reaches a gateway's agent.
    fn hears_origin(&self, gateway: usize) -> bool {
        !self.discovery_silent && self.network.reaches_home(gateway)
    }

    pub(super) fn agent_learns(&mut self, gateway: usize, version: u64) {
        let heard = self.hears_origin(gateway) && self.gateways[gateway].core.is_some();
        let held = self.gateways[gateway].version;
        let Some(update) = self.relay.update(held, version).filter(|_| heard) else { return };
        let counts = &mut self.tally.counts;
        counts.relay_bytes += update.body_bytes;
        counts.discovery_calls += 1;
        counts.discovery_bytes += relay::watch_bytes(held, update.body_bytes);
        let slowest = update.made_at.iter().map(|made| self.now - made).max().unwrap_or(0);
        self.tally.change_in_force = self.tally.change_in_force.max(slowest);
        let kind = if update.whole { WatchEvent::Snapshot } else { WatchEvent::Delta };
        self.take_list(gateway, kind, update);
    }

    /// Hands a list to a gateway, which then watches from its version.
    pub(super) fn take_list(&mut self, gateway: usize, kind: WatchEvent, update: Update) {
        self.gateways[gateway].version = update.version;
        let life = self.gateways[gateway].this_life();
        self.event(life, Event::EndpointsChanged { watch_event: kind, endpoints: update.entries });
        self.watch(life, relay::WATCH);
    }

    /// Opens a watch that waits so long.
    fn watch(&mut self, life: GatewayLife, wait: Micros) {
        let gateway = &mut self.gateways[life.gateway];
        gateway.watches += 1;
        self.queue.push(self.now + wait, Occurrence::WatchExpires(life, gateway.watches));
    }

    pub(super) fn watch_expires(&mut self, life: GatewayLife, watch: u64) {
        let gateway = &self.gateways[life.gateway];
        if !gateway.lives(life) || gateway.watches != watch {
            return;
        }
        let version = gateway.version;
        self.tally.counts.discovery_calls += 1;
        if self.discovery_silent {
            self.tally.counts.discovery_bytes += relay::watch_call_bytes(version);
            self.event(
                life,
                Event::EndpointsChanged { watch_event: WatchEvent::Failed, endpoints: Vec::new() },
            );
            return self.watch(life, relay::FAILING_WATCH);
        }
        self.tally.counts.discovery_bytes += relay::watch_bytes(version, relay::empty_body_bytes(version));
        self.watch(life, relay::WATCH);
    }

    /// Sends the newest version to all agents that may have missed some.
    pub(super) fn catch_up(&mut self) {
        let version = self.relay.version();
        for gateway in 0..self.gateways.len() {
            let at = self.now + self.relay_delay(gateway);
            self.queue.push(at, Occurrence::AgentLearns(gateway, version));
        }
    }

    /// Discovery notices which servers are there and which are not.
    pub(super) fn members_change(&mut self, servers: &[usize]) {
        let member = |server: &usize| {
            let seen = self.servers.get(*server);
            let state = if seen.present { EndpointState::Ready } else { EndpointState::Gone };
            Member { server: *server, state, ready_at: seen.ready_at }
        };
        let changes: Vec<Member> = servers.iter().map(member).collect();
        self.publish(&changes);
    }

    /// A server is replaced within an instant: its entry has another start, as after a restart.
    pub(super) fn scheduled_change(&mut self, server: usize) {
        self.servers.restore(self.now, server);
        self.members_change(&[server]);
    }

    pub(super) fn publish_configuration(&mut self) {
        self.configuration += 1;
        self.configuration_at = self.now;
        for gateway in 0..self.gateways.len() {
            let at = self.now + self.relay_delay(gateway);
            self.queue.push(at, Occurrence::ConfigurationArrives(gateway, self.configuration));
        }
    }

    pub(super) fn configuration_arrives(&mut self, gateway: usize, version: u32) {
        if !self.hears_origin(gateway) || self.gateways[gateway].core.is_none() {
            return;
        }
        let zone = self.topology.zone_of_gateway(gateway) as u32;
        let text = json_settings(&self.experiment, gateway, self.topology.zones(), zone);
        self.tally.counts.relay_bytes += wire::json_length(&text);
        let held = &mut self.gateways[gateway].configuration;
        *held = version.max(*held);
        if version == self.configuration {
            let taken = self.now - self.configuration_at;
            self.tally.configuration_in_force = self.tally.configuration_in_force.max(taken);
        }
    }
}
