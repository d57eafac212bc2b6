//! Conversion of a simulation's measurements to a point of the results.

use super::simulation::Simulation;
use crate::metric::Metric;
use crate::results::Point;

impl Simulation {
    /// Returns the measurements as a point without its size.
    pub fn point(self) -> Point {
        let counts = self.measurements.final_counts();
        let mut point = Point::default();
        point.metrics.extend(self.measurements.metrics());
        if counts.attempts > 0 {
            let gateways_per_server =
                self.measurements.server_gateway_pairs.len() as f64 / self.servers.len() as f64;
            point.metrics.insert(Metric::GatewaysPerServer, gateways_per_server);
        }
        if let Some(share) = self.over_quota() {
            point.metrics.insert(Metric::OverQuota, share);
        }
        if counts.arrivals > 0 {
            let duration = self.measurement_end - self.measurement_start;
            point.faults = self.measurements.timeline.fault_costs(&self.experiment.faults, duration);
        }
        point
    }

    /// Returns the units served to hot tenants beyond their quotas, as a share of these quotas; `None`
    /// without hot tenants.
    fn over_quota(&self) -> Option<f64> {
        let load = &self.experiment.load;
        let quota = load.quota_rate * load.duration_seconds * self.clients.hot_tenants() as f64;
        (quota > 0.0).then(|| self.measurements.hot_units / quota - 1.0)
    }
}
