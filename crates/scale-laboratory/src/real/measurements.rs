//! Metrics of a real fleet, from its processes, stubs and clients.

use super::fleet::RealFleet;
use super::gateway_process::GatewayProcess;
use super::traffic::TrafficTotals;
use crate::metric::Metric;
use crate::results::Point;
use crate::settings::micros_from_seconds;
use std::time::Duration;

/// Cumulative processor time and stub traffic at one moment.
pub(super) struct ResourceSnapshot {
    /// Processor time of all gateways.
    cpu: Duration,
    /// Traffic of the discovery agents.
    discovery: TrafficTotals,
    /// Traffic of both counters.
    counter: TrafficTotals,
}

impl RealFleet {
    /// Returns the cumulative processor time and stub traffic at this moment.
    pub(super) fn resource_snapshot(&self) -> ResourceSnapshot {
        let [first, second] = &self.counters;
        ResourceSnapshot {
            cpu: self.gateways.iter().flatten().map(GatewayProcess::cpu_time).sum(),
            discovery: self.agents.traffic.totals(),
            counter: first.traffic.totals() + second.traffic.totals(),
        }
    }

    /// Returns the measurements between two snapshots, with the clients' statistics and the costs of faults.
    pub(super) fn point(&self, before: &ResourceSnapshot, after: &ResourceSnapshot) -> Point {
        let mut point = Point::default();
        point.metrics.extend(traffic_metrics(before, after));
        point.metrics.extend(self.process_metrics(after.cpu.saturating_sub(before.cpu)));
        let statistics = self.clients.statistics();
        point.metrics.extend(statistics.metrics());
        let propagation_delay = self.agents.take_max_propagation_delay();
        if !propagation_delay.is_zero() {
            point.metrics.insert(Metric::EndpointPropagation, milliseconds(propagation_delay));
        }
        if let Some(elapsed) = self.configuration_delay() {
            point.metrics.insert(Metric::ConfigurationPropagation, milliseconds(elapsed));
        }
        let duration = micros_from_seconds(self.experiment.load.duration_seconds);
        point.faults = statistics.timeline.fault_costs(&self.experiment.faults, duration);
        point
    }

    /// Returns memory and processor time as means over the running gateways, and processor time per request.
    fn process_metrics(&self, cpu_time: Duration) -> Vec<(Metric, f64)> {
        let running = self.gateways.iter().flatten().count().max(1) as f64;
        let resident: u64 = self.gateways.iter().flatten().map(GatewayProcess::resident_bytes).sum();
        let cpu_seconds = cpu_time.as_secs_f64();
        let duration_seconds = self.experiment.load.duration_seconds;
        let mut metrics = vec![
            (Metric::ResidentMemory, resident as f64 / running),
            (Metric::GatewayCpu, cpu_seconds / duration_seconds / running),
        ];
        let arrivals = self.clients.statistics().arrivals;
        if arrivals > 0 {
            metrics.push((Metric::ProcessCpu, cpu_seconds * 1e6 / arrivals as f64));
        }
        metrics
    }

    /// Returns the time until the last gateway applied the new configuration; `None` unless all of them have.
    fn configuration_delay(&self) -> Option<Duration> {
        let changed_at = self.configuration_changed_at?;
        let applied_at = self.gateways.iter().flatten().map(GatewayProcess::counter_changed_at);
        let applied_at: Vec<_> = applied_at.collect::<Option<_>>()?;
        Some(applied_at.into_iter().max()?.saturating_duration_since(changed_at))
    }
}

/// Returns the calls and bytes between two snapshots.
fn traffic_metrics(before: &ResourceSnapshot, after: &ResourceSnapshot) -> [(Metric, f64); 4] {
    let counter = after.counter - before.counter;
    let discovery = after.discovery - before.discovery;
    [
        (Metric::CounterCalls, counter.calls as f64),
        (Metric::CounterBytes, counter.bytes as f64),
        (Metric::DiscoveryCalls, discovery.calls as f64),
        (Metric::DiscoveryBytes, discovery.bytes as f64),
    ]
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
