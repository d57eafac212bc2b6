//! One point of a real run: warm-up, then the measured time with its steps and with checks of the processes.

use super::clients::{run_client, TenantRoute, Workload, MAX_CONSECUTIVE_UNANSWERED};
use super::fleet::RealFleet;
use super::gateway_process::GatewayProcess;
use super::schedule::{steps, Step};
use crate::error::{LaboratoryError, Result};
use crate::experiment::Experiment;
use crate::memory::check_memory;
use crate::progress::Progress;
use crate::results::Point;
use std::collections::VecDeque;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval between checks for due steps and for ended or stalled gateways.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of these checks from one check of the memory to the next.
const CHECKS_PER_MEMORY_CHECK: u32 = 10;

/// Runs one point: starts its fleet, measures it and stops it, also if the measurement fails.
pub async fn run_point(experiment: &Experiment, program: &Path, progress: &Progress) -> Result<Point> {
    let mut fleet = RealFleet::start(experiment, program, progress).await?;
    let result = fleet.measure(progress).await;
    fleet.stop().await;
    result
}

impl RealFleet {
    /// Runs the warm-up and the measured time, and returns the measurements.
    async fn measure(&mut self, progress: &Progress) -> Result<Point> {
        self.start_clients();
        let warm_up = Duration::from_secs_f64(self.experiment.load.warm_up_seconds);
        self.run_steps(warm_up, VecDeque::new(), progress).await?;
        self.clients.start_measurement();
        self.agents.take_max_propagation_delay();
        let before = self.resource_snapshot();
        let duration = Duration::from_secs_f64(self.experiment.load.duration_seconds);
        self.run_steps(duration, steps(&self.experiment).into(), progress).await?;
        let after = self.resource_snapshot();
        Ok(self.point(&before, &after))
    }

    /// Starts each client as a separate task.
    fn start_clients(&self) {
        let fleet = &self.experiment.fleet;
        let load = &self.experiment.load;
        let gateways_per_tenant = fleet.gateways_per_tenant.min(fleet.gateways);
        for connection in 0..load.connections {
            let gateway = connection % fleet.gateways;
            let routes = (0..fleet.tenants)
                .map(|tenant| TenantRoute { tenant, first_gateway: tenant % fleet.gateways });
            let serves = |route: &TenantRoute| {
                (gateway + fleet.gateways - route.first_gateway) % fleet.gateways < gateways_per_tenant
            };
            let workload = Workload {
                gateway,
                routes: routes.filter(serves).collect(),
                gateways_per_tenant,
                requests_per_second: load.requests_per_second / load.connections as f64,
                seed: self.experiment.seed ^ (connection as u64) << 20,
            };
            tokio::spawn(run_client(self.clients.clone(), workload));
        }
    }

    /// Applies steps as they fall due and checks the fleet regularly, until the duration has passed.
    async fn run_steps(
        &mut self,
        duration: Duration,
        mut steps: VecDeque<Step>,
        progress: &Progress,
    ) -> Result<()> {
        let started_at = Instant::now();
        let mut checks = 0_u32;
        while started_at.elapsed() < duration {
            progress.step()?;
            while let Some(step) = steps.pop_front_if(|step| step.at <= started_at.elapsed()) {
                self.apply(step.action).await?;
            }
            self.check_fleet(checks)?;
            checks += 1;
            sleep(CHECK_INTERVAL.min(duration.saturating_sub(started_at.elapsed()))).await;
        }
        Ok(())
    }

    /// Fails if a gateway has ended or stalled, or if the run exceeds its memory bound.
    fn check_fleet(&mut self, completed_checks: u32) -> Result<()> {
        for process in self.gateways.iter_mut().flatten() {
            process.check_alive()?;
        }
        if let Some(gateway) = self.clients.stalled_gateway() {
            return Err(LaboratoryError::GatewayStalled {
                gateway,
                at_seconds: f64::from(completed_checks) * CHECK_INTERVAL.as_secs_f64(),
                symptom: format!("{MAX_CONSECUTIVE_UNANSWERED} consecutive requests had no response"),
            });
        }
        if completed_checks.is_multiple_of(CHECKS_PER_MEMORY_CHECK) {
            check_memory(self.gateways.iter().flatten().map(GatewayProcess::resident_bytes).sum())?;
        }
        Ok(())
    }
}
