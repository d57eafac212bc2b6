//! The measurements of a simulation in the form of the results.

use super::simulation::Simulation;
use crate::metric::Metric;
use crate::results::Point;

impl Simulation {
    /// What was measured.
    pub fn point(self) -> Point {
        let counts = self.measurements.final_counts();
        let mut point = Point::default();
        point.metrics.extend(self.measurements.metrics());
        if counts.attempts > 0 {
            let senders = self.measurements.senders.len() as f64 / self.servers.len() as f64;
            point.metrics.insert(Metric::GatewaysPerServer, senders);
        }
        if let Some(share) = self.over_quota() {
            point.metrics.insert(Metric::OverQuota, share);
        }
        if counts.arrivals > 0 {
            let duration = self.measure_until - self.measure_from;
            point.faults = self.measurements.timeline.fault_costs(&self.experiment.faults, duration);
        }
        point
    }

    /// What the hot tenants were served beyond their quotas, as a share of these; `None` without hot tenants.
    fn over_quota(&self) -> Option<f64> {
        let load = &self.experiment.load;
        let quota = load.quota_rate * load.duration_seconds * self.clients.hot_tenants() as f64;
        (quota > 0.0).then(|| self.measurements.hot_units / quota - 1.0)
    }
}
