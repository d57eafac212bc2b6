//! Faults in the event loop, starts and ends of gateways, and what is measured of them.

use super::queue::Occurrence;
use super::simulation::Simulation;
use crate::error::Result;
use crate::experiment::{Domain, Fault};
use crate::metric::Metric;
use crate::results::Point;
use crate::settings::{core_settings, micros};
use crate::timeline::Ending;
use grebehook_core::{Micros, WatchEvent};
use rand::RngExt;

/// The front notices a dead gateway after this time.
const FRONT_NOTICE: Micros = 1_000_000;
/// A gateway restarted in turn is back after this time.
const RESTART: Micros = 500_000;
/// Seconds of a millisecond's worth of the file.
const MILLISECONDS: f64 = 1e3;

impl Simulation {
    /// Schedules the experiment's faults and its evenly spread changes and restarts.
    pub(super) fn schedule_faults(&mut self) {
        for (index, fault) in self.experiment.faults.iter().enumerate() {
            let begins = self.measure_at + micros(fault.at_seconds() * MILLISECONDS);
            self.queue.push(begins, Occurrence::FaultBegins(index));
            if fault.lasts_seconds() > 0.0 {
                let ends = begins + micros(fault.lasts_seconds() * MILLISECONDS);
                self.queue.push(ends, Occurrence::FaultEnds(index));
            }
        }
        let (changes, restarts) = (self.experiment.load.changes, self.experiment.load.restarts);
        for _ in 0..changes {
            let server = self.rng.random_range(0..self.servers.len());
            let at = self.rng.random_range(self.measure_at..self.ends_at);
            self.queue.push(at, Occurrence::ScheduledChange(server));
        }
        for _ in 0..self.experiment.load.configurations {
            let at = self.rng.random_range(self.measure_at..self.ends_at);
            self.queue.push(at, Occurrence::ConfigurationChange);
        }
        for restart in 0..restarts {
            let gateway = restart % self.gateways.len();
            let at = self.spread_over_run(restart, restarts);
            self.queue.push(at, Occurrence::GatewayKilled(gateway));
            self.queue.push(at + RESTART, Occurrence::GatewayStarts(gateway));
        }
    }

    /// Restarts follow one another evenly, so that a few of them never fall together.
    fn spread_over_run(&self, index: usize, count: usize) -> Micros {
        self.measure_at + (self.ends_at - self.measure_at) * index as u64 / count as u64
    }

    pub(super) fn start_gateway(&mut self, gateway: usize) -> Result<()> {
        if self.gateways[gateway].core.is_some() {
            return Ok(());
        }
        let zone = self.topology.zone_of_gateway(gateway) as u32;
        let settings = core_settings(&self.experiment, gateway, zone);
        self.gateways[gateway].start(self.now, settings, self.experiment.seed)?;
        self.gateways[gateway].configuration = self.configuration;
        // The list it knows at its start comes with its configuration.
        let whole = self.relay.whole();
        self.tally.counts.relay_bytes += whole.body_bytes;
        self.take_list(gateway, WatchEvent::CachedSnapshot, whole);
        Ok(())
    }

    pub(super) fn kill_gateway(&mut self, gateway: usize) {
        for id in self.gateways[gateway].kill() {
            if let Some(request) = self.pending.remove(&id) {
                let hot = self.clients.is_hot(request.tenant);
                self.tally.ended(request.sent, Ending::Lost, hot);
            }
        }
        self.queue.push(self.now + FRONT_NOTICE, Occurrence::FrontNotices(gateway));
    }

    pub(super) fn front_notices(&mut self, gateway: usize) {
        let gateway = &mut self.gateways[gateway];
        gateway.noticed_down = gateway.core.is_none();
    }

    pub(super) fn fault_begins(&mut self, index: usize) {
        let fault = self.experiment.faults[index].clone();
        tracing::info!(fault = fault.name(), "fault begins");
        match fault {
            Fault::KillGateways { count, .. } => (0..count).for_each(|g| self.kill_gateway(g)),
            Fault::Lose { domain, index, gateways_too, .. } => self.lose(domain, index, gateways_too),
            Fault::SilenceCounter { .. } => self.counter.set_silent(true),
            Fault::SilenceDiscovery { .. } => self.discovery_silent = true,
            Fault::ChangeMembers { count, .. } => self.change_members(count),
            Fault::ChangeConfiguration { .. } => self.publish_configuration(),
            Fault::CutRegions { first, second, .. } => self.network.set_cut(first, second, true),
            Fault::StopAnswering { gateway, .. } => self.gateways[gateway].stalled = true,
        }
    }

    pub(super) fn fault_ends(&mut self, index: usize) {
        let fault = self.experiment.faults[index].clone();
        tracing::info!(fault = fault.name(), "fault ends");
        match fault {
            Fault::KillGateways { count, .. } => {
                for gateway in 0..count {
                    self.queue.push(self.now, Occurrence::GatewayStarts(gateway));
                }
            }
            Fault::Lose { domain, index, gateways_too, .. } => self.restore(domain, index, gateways_too),
            Fault::SilenceCounter { .. } => self.counter.set_silent(false),
            Fault::SilenceDiscovery { .. } => {
                self.discovery_silent = false;
                self.catch_up();
            }
            Fault::CutRegions { first, second, .. } => {
                self.network.set_cut(first, second, false);
                self.catch_up();
            }
            Fault::ChangeMembers { .. } | Fault::ChangeConfiguration { .. } | Fault::StopAnswering { .. } => {
            }
        }
    }

    fn servers_in(&self, domain: Domain, index: usize) -> Vec<usize> {
        (0..self.servers.len()).filter(|s| self.topology.is_in(*s, domain, index)).collect()
    }

    fn gateways_in(&self, domain: Domain, index: usize) -> Vec<usize> {
        (0..self.gateways.len()).filter(|g| self.topology.is_in(*g, domain, index)).collect()
    }

    fn lose(&mut self, domain: Domain, index: usize, gateways_too: bool) {
        let lost = self.servers_in(domain, index);
        lost.iter().for_each(|server| self.servers.lose(*server));
        if gateways_too {
            self.gateways_in(domain, index).into_iter().for_each(|gateway| self.kill_gateway(gateway));
        }
        let noticed = self.now + micros(self.experiment.discovery.notice_milliseconds);
        self.queue.push(noticed, Occurrence::MembersChange(lost));
    }

    fn restore(&mut self, domain: Domain, index: usize, gateways_too: bool) {
        let back = self.servers_in(domain, index);
        back.iter().for_each(|server| self.servers.restore(self.now, *server));
        if gateways_too {
            for gateway in self.gateways_in(domain, index) {
                self.queue.push(self.now, Occurrence::GatewayStarts(gateway));
            }
        }
        self.members_change(&back);
    }

    fn change_members(&mut self, count: usize) {
        let changed: Vec<usize> = (0..count).collect();
        changed.iter().for_each(|server| self.servers.restore(self.now, *server));
        self.members_change(&changed);
    }

    /// What was measured.
    pub fn point(self) -> Point {
        let counts = self.tally.counts();
        let mut point = Point::default();
        let counted: [(Metric, u64); 14] = [
            (Metric::Arrivals, counts.arrivals),
            (Metric::Served, counts.served),
            (Metric::Refused, counts.refused),
            (Metric::Failed, counts.failed),
            (Metric::Lost, counts.lost),
            (Metric::GatewayEvents, counts.gateway_events),
            (Metric::Attempts, counts.attempts),
            (Metric::CounterCalls, counts.counter_calls),
            (Metric::CounterBytes, counts.counter_bytes),
            (Metric::DiscoveryCalls, counts.discovery_calls),
            (Metric::DiscoveryBytes, counts.discovery_bytes),
            (Metric::RelayBytes, counts.relay_bytes),
            (Metric::PeerMessages, counts.peer_messages),
            (Metric::PeerBytes, counts.peer_bytes),
        ];
        point.metrics.extend(counted.map(|(metric, value)| (metric, value as f64)));
        if !self.tally.holds.is_empty() {
            point.metrics.insert(Metric::HoldP99, self.tally.holds.value_at_quantile(0.99) as f64);
        }
        if self.tally.change_in_force > 0 {
            point.metrics.insert(Metric::ChangeInForce, self.tally.change_in_force as f64 / 1e3);
        }
        if self.tally.configuration_in_force > 0 {
            let taken = self.tally.configuration_in_force as f64 / 1e3;
            point.metrics.insert(Metric::ConfigurationInForce, taken);
        }
        if counts.attempts > 0 {
            let senders = self.tally.senders.len() as f64 / self.servers.len() as f64;
            point.metrics.insert(Metric::GatewaysOfServer, senders);
        }
        if let Some(over) = self.over_quota() {
            point.metrics.insert(Metric::OverQuota, over);
        }
        if counts.arrivals > 0 {
            let lasts = self.ends_at - self.measure_at;
            point.faults = self.tally.timeline.costs(&self.experiment.faults, lasts);
        }
        point
    }

    /// What the hot tenants were served beyond their quotas, as a share of these.
    fn over_quota(&self) -> Option<f64> {
        let load = &self.experiment.load;
        let quota = load.quota_rate * load.duration_seconds * self.clients.hot_tenants() as f64;
        (quota > 0.0).then(|| self.hot_units / quota - 1.0)
    }
}
