//! What is measured of a real fleet.

use super::fleet::RealFleet;
use super::gateway_process::GatewayProcess;
use super::traffic::TrafficCount;
use crate::metric::Metric;
use crate::results::Point;
use crate::settings::micros_of_seconds;
use std::time::Duration;

/// Processor time and traffic at one moment.
pub(super) struct Snapshot {
    /// Processor time of all gateways.
    cpu: Duration,
    /// Calls of discovery agents.
    discovery: TrafficCount,
    /// Counter calls.
    counter: TrafficCount,
}

impl RealFleet {
    /// Processor time and traffic now.
    pub(super) fn snapshot(&self) -> Snapshot {
        let [first, second] = &self.counters;
        Snapshot {
            cpu: self.gateways.iter().flatten().map(GatewayProcess::cpu_time).sum(),
            discovery: self.agents.traffic.count(),
            counter: first.traffic.count() + second.traffic.count(),
        }
    }

    /// What was measured between two moments.
    pub(super) fn point(&self, before: &Snapshot, after: &Snapshot) -> Point {
        let mut point = Point::default();
        point.metrics.extend(traffic_metrics(before, after));
        point.metrics.extend(self.process_metrics(after.cpu.saturating_sub(before.cpu)));
        let measured = self.clients.statistics();
        point.metrics.extend(measured.metrics());
        let change_in_force = self.agents.take_change_in_force();
        if !change_in_force.is_zero() {
            point.metrics.insert(Metric::EndpointPropagation, milliseconds(change_in_force));
        }
        if let Some(elapsed) = self.configuration_in_force() {
            point.metrics.insert(Metric::ConfigurationPropagation, milliseconds(elapsed));
        }
        let duration = micros_of_seconds(self.experiment.load.duration_seconds);
        point.faults = measured.timeline.fault_costs(&self.experiment.faults, duration);
        point
    }

    /// Processor time and memory of the gateways, means over those that run.
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

    /// Time until the last gateway used the new configuration; `None` before all did.
    fn configuration_in_force(&self) -> Option<Duration> {
        let changed_at = self.configuration_changed_at?;
        let applied = self.gateways.iter().flatten().map(GatewayProcess::counter_moved_at);
        let applied: Vec<_> = applied.collect::<Option<_>>()?;
        Some(applied.into_iter().max()?.saturating_duration_since(changed_at))
    }
}

/// Calls and bytes between two moments.
fn traffic_metrics(before: &Snapshot, after: &Snapshot) -> [(Metric, f64); 4] {
    let counter = after.counter - before.counter;
    let discovery = after.discovery - before.discovery;
    [
        (Metric::CounterCalls, counter.calls as f64),
        (Metric::CounterBytes, counter.bytes as f64),
        (Metric::DiscoveryCalls, discovery.calls as f64),
        (Metric::DiscoveryBytes, discovery.bytes as f64),
    ]
}

/// A time in milliseconds.
fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
