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
    /// Bytes passed from relays to agents.
    pub relay_bytes: u64,
    /// Gossip messages between gateways.
    pub gossip_messages: u64,
    /// Bytes of the gossip messages.
    pub gossip_bytes: u64,
}

/// Quantities measured since the measurement began.
pub struct Measurements {
    /// Current counts.
    pub counts: Counts,
    /// Start of the measurement, in microseconds.
    begins_at: Micros,
    /// Counts at the end of the measurement.
    counts_at_end: Option<Counts>,
    /// Longest time from a change of the endpoint list until a gateway applied it, in microseconds.
    longest_change_propagation: Micros,
    /// Longest time from the publication of a configuration until a gateway applied it, in microseconds.
    longest_configuration_propagation: Micros,
    /// Times from the arrival of a request to its first attempt, in microseconds.
    queueing_times: Histogram<u64>,
    /// Requests of tenants that stay within their quotas; the rejection of a hot tenant's request is not
    /// caused by a fault.
    pub timeline: Timeline,
    /// Pairs of a server and a gateway that sent attempts to it.
    pub server_gateway_pairs: BTreeSet<(usize, usize)>,
    /// Units served to hot tenants during the measurement.
    pub hot_units: f64,
}

impl Measurements {
    /// Returns empty measurements.
    pub fn new(begins_at: Micros) -> Measurements {
        Measurements {
            counts: Counts::default(),
            begins_at,
            counts_at_end: None,
            longest_change_propagation: 0,
            longest_configuration_propagation: 0,
            queueing_times: latency_histogram(),
            timeline: Timeline::default(),
            server_gateway_pairs: BTreeSet::new(),
            hot_units: 0.0,
        }
    }

    /// Discards what was recorded during the warm-up, except the timeline, which has only requests sent after
    /// it.
    pub fn begin(&mut self) {
        self.counts = Counts::default();
        self.longest_change_propagation = 0;
        self.longest_configuration_propagation = 0;
        self.queueing_times.reset();
        self.server_gateway_pairs.clear();
    }

    /// Ends the measurement; afterwards only the outcomes of its requests are counted.
    pub fn end(&mut self, hot_units: f64) {
        self.counts_at_end = Some(self.counts);
        self.hot_units = hot_units;
    }

    /// Returns the counts of the measurement, with the outcomes of all requests sent during it.
    pub fn final_counts(&self) -> Counts {
        Counts { outcomes: self.counts.outcomes, ..self.counts_at_end.unwrap_or(self.counts) }
    }

    /// Counts a request that a client sent; `hot` is set for a hot tenant, which exceeds its quota.
    pub fn record_arrival(&mut self, now: Micros, hot: bool) {
        self.counts.arrivals += 1;
        if let Some(at) = now.checked_sub(self.begins_at).filter(|_| !hot) {
            self.timeline.record_arrival(at);
        }
    }

    /// Counts the outcome of a request, unless it was sent before the measurement.
    pub fn record_outcome(&mut self, sent_at: Micros, outcome: Outcome, hot: bool) {
        let Some(at) = sent_at.checked_sub(self.begins_at) else { return };
        self.counts.outcomes.record(outcome);
        if !hot {
            self.timeline.record_outcome(at, outcome);
        }
    }

    /// Counts an attempt that a gateway sent to a server.
    pub fn record_attempt(&mut self, server: usize, gateway: usize) {
        self.counts.attempts += 1;
        self.server_gateway_pairs.insert((server, gateway));
    }

    /// Records the time from the arrival of a request to its first attempt, in microseconds.
    pub fn record_queueing_time(&mut self, time: Micros) {
        self.queueing_times.saturating_record(time);
    }

    /// Records the time in microseconds from a change of the endpoint list until a gateway applied it.
    pub fn record_change_propagation(&mut self, elapsed: Micros) {
        self.longest_change_propagation = self.longest_change_propagation.max(elapsed);
    }

    /// Records the time in microseconds from the publication of a configuration until a gateway applied it.
    pub fn record_configuration_propagation(&mut self, elapsed: Micros) {
        self.longest_configuration_propagation = self.longest_configuration_propagation.max(elapsed);
    }

    /// Returns the counts, and the times that have been measured, by metric.
    pub fn metrics(&self) -> impl Iterator<Item = (Metric, f64)> {
        let queueing_times = Some(&self.queueing_times).filter(|times| !times.is_empty());
        let milliseconds = |time: Micros| (time > 0).then_some(time as f64 / 1e3);
        let times = [
            (Metric::FirstAttemptDelayP99, queueing_times.map(|times| times.value_at_quantile(0.99) as f64)),
            (Metric::EndpointPropagation, milliseconds(self.longest_change_propagation)),
            (Metric::ConfigurationPropagation, milliseconds(self.longest_configuration_propagation)),
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
        (Metric::PeerMessages, counts.gossip_messages),
        (Metric::PeerBytes, counts.gossip_bytes),
    ];
    let outcomes = counts.outcomes.metrics();
    metrics.into_iter().chain(outcomes).map(|(metric, count)| (metric, count as f64))
}
