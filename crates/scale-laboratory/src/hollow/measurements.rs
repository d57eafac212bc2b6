//! Measurements of a simulation.

use crate::metric::Metric;
use crate::timeline::{latency_histogram, Outcome, OutcomeCounts, Timeline};
use grebehook_core::Micros;
use hdrhistogram::Histogram;
use std::collections::BTreeSet;

/// Counts of the fleet's requests, events and messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests that clients sent.
    pub arrivals: u64,
    /// Outcomes of the requests.
    pub outcomes: OutcomeCounts,
    /// Events handled by decision cores.
    pub gateway_events: u64,
    /// Attempts sent to servers.
    pub attempts: u64,
    /// Calls to the shared counter.
    pub counter_calls: u64,
    /// Bytes of the counter calls and their replies.
    pub counter_bytes: u64,
    /// Watch calls to discovery agents.
    pub discovery_calls: u64,
    /// Bytes of the watch calls and their responses.
    pub discovery_bytes: u64,
    /// Bytes that relays sent to agents.
    pub relay_bytes: u64,
    /// Gossip messages between gateways.
    pub gossip_messages: u64,
    /// Bytes of the gossip messages.
    pub gossip_bytes: u64,
}

/// Quantities measured since the start of the measurement period.
pub struct Measurements {
    /// Current counts.
    pub counts: Counts,
    /// Start of the measurement period, in microseconds.
    begins_at: Micros,
    /// Counts at the end of the measurement period; `None` before it.
    counts_at_end: Option<Counts>,
    /// Longest time from the publication of an endpoint change until a gateway applied it, in microseconds.
    max_endpoint_propagation: Micros,
    /// Longest time from the publication of a configuration until a gateway applied it, in microseconds.
    max_configuration_propagation: Micros,
    /// Times from the arrival of a request to its first attempt, in microseconds.
    first_attempt_delays: Histogram<u64>,
    /// Requests of tenants that are not hot. Hot tenants exceed their quotas, so that their requests are
    /// rejected without a fault as well.
    pub timeline: Timeline,
    /// Pairs of a server and a gateway that sent attempts to it.
    pub server_gateway_pairs: BTreeSet<(usize, usize)>,
    /// Units served to hot tenants in the measurement period.
    pub hot_units: f64,
}

impl Measurements {
    /// Returns empty measurements.
    pub fn new(begins_at: Micros) -> Measurements {
        Measurements {
            counts: Counts::default(),
            begins_at,
            counts_at_end: None,
            max_endpoint_propagation: 0,
            max_configuration_propagation: 0,
            first_attempt_delays: latency_histogram(),
            timeline: Timeline::default(),
            server_gateway_pairs: BTreeSet::new(),
            hot_units: 0.0,
        }
    }

    /// Discards the measurements of the warm-up. The timeline has none, because it contains only requests
    /// sent after the warm-up.
    pub fn begin(&mut self) {
        self.counts = Counts::default();
        self.max_endpoint_propagation = 0;
        self.max_configuration_propagation = 0;
        self.first_attempt_delays.reset();
        self.server_gateway_pairs.clear();
    }

    /// Ends the measurement period, after which only the outcomes of its requests are counted.
    pub fn end(&mut self, hot_units: f64) {
        self.counts_at_end = Some(self.counts);
        self.hot_units = hot_units;
    }

    /// Returns the counts of the measurement period, with the outcomes of all requests sent in it.
    pub fn final_counts(&self) -> Counts {
        Counts { outcomes: self.counts.outcomes, ..self.counts_at_end.unwrap_or(self.counts) }
    }

    /// Counts a request that a client sent; `is_hot` is set for a hot tenant, which exceeds its quota.
    pub fn record_arrival(&mut self, now: Micros, is_hot: bool) {
        self.counts.arrivals += 1;
        if let Some(at) = now.checked_sub(self.begins_at).filter(|_| !is_hot) {
            self.timeline.record_arrival(at);
        }
    }

    /// Counts the outcome of a request, unless it was sent before the measurement period.
    pub fn record_outcome(&mut self, sent_at: Micros, outcome: Outcome, is_hot: bool) {
        let Some(at) = sent_at.checked_sub(self.begins_at) else { return };
        self.counts.outcomes.record(outcome);
        if !is_hot {
            self.timeline.record_outcome(at, outcome);
        }
    }

    /// Counts an attempt that a gateway sent to a server.
    pub fn record_attempt(&mut self, server: usize, gateway: usize) {
        self.counts.attempts += 1;
        self.server_gateway_pairs.insert((server, gateway));
    }

    /// Records the time from the arrival of a request to its first attempt, in microseconds.
    pub fn record_first_attempt_delay(&mut self, time: Micros) {
        self.first_attempt_delays.saturating_record(time);
    }

    /// Records the time in microseconds from the publication of an endpoint change until a gateway applied
    /// it.
    pub fn record_endpoint_propagation(&mut self, elapsed: Micros) {
        self.max_endpoint_propagation = self.max_endpoint_propagation.max(elapsed);
    }

    /// Records the time in microseconds from the publication of a configuration until a gateway applied it.
    pub fn record_configuration_propagation(&mut self, elapsed: Micros) {
        self.max_configuration_propagation = self.max_configuration_propagation.max(elapsed);
    }

    /// Returns the counts and the measured times by metric.
    pub fn metrics(&self) -> impl Iterator<Item = (Metric, f64)> {
        let first_attempt_delays = Some(&self.first_attempt_delays).filter(|times| !times.is_empty());
        let milliseconds = |time: Micros| (time > 0).then_some(time as f64 / 1e3);
        let times = [
            (
                Metric::FirstAttemptDelayP99,
                first_attempt_delays.map(|times| times.value_at_quantile(0.99) as f64),
            ),
            (Metric::EndpointPropagation, milliseconds(self.max_endpoint_propagation)),
            (Metric::ConfigurationPropagation, milliseconds(self.max_configuration_propagation)),
        ];
        let times = times.into_iter().filter_map(|(metric, time)| Some((metric, time?)));
        count_metrics(&self.final_counts()).chain(times)
    }
}

/// Returns the counts by metric.
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
        (Metric::GossipMessages, counts.gossip_messages),
        (Metric::GossipBytes, counts.gossip_bytes),
    ];
    let outcomes = counts.outcomes.metrics();
    metrics.into_iter().chain(outcomes).map(|(metric, count)| (metric, count as f64))
}
