//! What is measured in a simulation.

use crate::metric::Metric;
use crate::timeline::{histogram, Outcome, OutcomeCounts, Timeline};
use grebehook_core::Micros;
use hdrhistogram::Histogram;
use std::collections::BTreeSet;

/// What the hollow gateways did.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests that clients sent.
    pub arrivals: u64,
    /// How requests ended.
    pub outcomes: OutcomeCounts,
    /// Events handled by decision cores.
    pub gateway_events: u64,
    /// Attempts sent to servers.
    pub attempts: u64,
    /// Counter calls.
    pub counter_calls: u64,
    /// Their bytes.
    pub counter_bytes: u64,
    /// Calls of discovery agents.
    pub discovery_calls: u64,
    /// Their bytes.
    pub discovery_bytes: u64,
    /// Bytes passed from relays to agents.
    pub relay_bytes: u64,
    /// Gossip messages.
    pub gossip_messages: u64,
    /// Their bytes.
    pub gossip_bytes: u64,
}

/// What was measured since the measured time began.
pub struct Measurements {
    /// The counts so far.
    pub counts: Counts,
    /// When the measured time begins.
    begins_at: Micros,
    /// The counts when the measured time ended.
    counts_at_end: Option<Counts>,
    /// Longest time until a change of the endpoint list was in force at a gateway.
    change_in_force: Micros,
    /// Longest time until a configuration was in force at a gateway.
    configuration_in_force: Micros,
    /// Times from a request's arrival to its first attempt.
    queueing_times: Histogram<u64>,
    /// Requests of tenants that keep to their quotas: a rejection of a hot tenant is no cost of a fault.
    pub timeline: Timeline,
    /// Servers and the gateways that sent to them.
    pub senders: BTreeSet<(usize, usize)>,
    /// Units served to hot tenants in the measured time.
    pub hot_units: f64,
}

impl Measurements {
    /// Nothing measured yet.
    pub fn new(begins_at: Micros) -> Measurements {
        Measurements {
            counts: Counts::default(),
            begins_at,
            counts_at_end: None,
            change_in_force: 0,
            configuration_in_force: 0,
            queueing_times: histogram(),
            timeline: Timeline::default(),
            senders: BTreeSet::new(),
            hot_units: 0.0,
        }
    }

    /// Forgets what was counted during the warm-up.
    pub fn begin(&mut self) {
        self.counts = Counts::default();
        self.change_in_force = 0;
        self.configuration_in_force = 0;
        self.queueing_times.reset();
        self.senders.clear();
    }

    /// The measured time is over: from now on only the outcomes of its requests count.
    pub fn end(&mut self, hot_units: f64) {
        self.counts_at_end = Some(self.counts);
        self.hot_units = hot_units;
    }

    /// Counts of the measured time, with the outcomes of all requests sent in it.
    pub fn final_counts(&self) -> Counts {
        Counts { outcomes: self.counts.outcomes, ..self.counts_at_end.unwrap_or(self.counts) }
    }

    /// A client sent a request; `hot` for a tenant beyond its quota.
    pub fn record_arrival(&mut self, now: Micros, hot: bool) {
        self.counts.arrivals += 1;
        if let Some(at) = now.checked_sub(self.begins_at).filter(|_| !hot) {
            self.timeline.record_arrival(at);
        }
    }

    /// A request sent at some time has ended.
    pub fn record_outcome(&mut self, sent_at: Micros, outcome: Outcome, hot: bool) {
        let Some(at) = sent_at.checked_sub(self.begins_at) else { return };
        self.counts.outcomes.record(outcome);
        if !hot {
            self.timeline.record_outcome(at, outcome);
        }
    }

    /// A gateway sent an attempt to a server.
    pub fn record_attempt(&mut self, server: usize, gateway: usize) {
        self.counts.attempts += 1;
        self.senders.insert((server, gateway));
    }

    /// A request waited so long for its first attempt.
    pub fn record_queueing_time(&mut self, time: Micros) {
        self.queueing_times.saturating_record(time);
    }

    /// A change of the endpoint list came into force at a gateway.
    pub fn record_change_in_force(&mut self, elapsed: Micros) {
        self.change_in_force = self.change_in_force.max(elapsed);
    }

    /// A configuration came into force at a gateway.
    pub fn record_configuration_in_force(&mut self, elapsed: Micros) {
        self.configuration_in_force = self.configuration_in_force.max(elapsed);
    }

    /// The counts and the times that were measured at all, under the names of the results.
    pub fn metrics(&self) -> impl Iterator<Item = (Metric, f64)> {
        let queueing_times = Some(&self.queueing_times).filter(|times| !times.is_empty());
        let milliseconds = |time: Micros| (time > 0).then_some(time as f64 / 1e3);
        let times = [
            (Metric::FirstAttemptDelayP99, queueing_times.map(|times| times.value_at_quantile(0.99) as f64)),
            (Metric::EndpointPropagation, milliseconds(self.change_in_force)),
            (Metric::ConfigurationPropagation, milliseconds(self.configuration_in_force)),
        ];
        let times = times.into_iter().filter_map(|(metric, time)| Some((metric, time?)));
        count_metrics(&self.final_counts()).chain(times)
    }
}

/// The counts as metrics.
fn count_metrics(counts: &Counts) -> impl Iterator<Item = (Metric, f64)> {
    let metrics = [
        (Metric::Arrivals, counts.arrivals),
        (Metric::GatewayEvents, counts.gateway_events),
        (Metric::Attempts, counts.attempts),
        (Metric::CounterCalls, counts.counter_calls),
        (Metric::CounterBytes, counts.counter_bytes),
        (Metric::DiscoveryCalls, counts.discovery_calls),
        (Metric::DiscoveryBytes, counts.discovery_bytes),
        (Metric::RelayBytes, counts.relay_bytes),
        (Metric::PeerMessages, counts.gossip_messages),
        (Metric::PeerBytes, counts.gossip_bytes),
    ];
    let outcomes = counts.outcomes.metrics();
    metrics.into_iter().chain(outcomes).map(|(metric, count)| (metric, count as f64))
}
