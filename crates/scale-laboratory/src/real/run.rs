//! One point of a real run: warm-up, the measured time with its steps, and a watch over the processes.

use super::clients::{play as play_client, TenantRoute, Workload, MAX_UNANSWERED_REQUESTS};
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

/// How often steps are looked for and processes are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Checks between two of the memory.
const CHECKS_PER_MEMORY_CHECK: u32 = 10;

/// Plays one point.
pub async fn play(experiment: &Experiment, program: &Path, progress: &Progress) -> Result<Point> {
    let mut fleet = RealFleet::start(experiment, program, progress).await?;
    let measured = fleet.measure(progress).await;
    fleet.stop().await;
    measured
}

impl RealFleet {
    /// Plays the load and returns what was measured.
    async fn measure(&mut self, progress: &Progress) -> Result<Point> {
        self.start_clients();
        let warm_up = Duration::from_secs_f64(self.experiment.load.warm_up_seconds);
        self.play_steps(warm_up, VecDeque::new(), progress).await?;
        self.clients.begin_measurement();
        self.agents.take_change_in_force();
        let before = self.snapshot();
        let duration = Duration::from_secs_f64(self.experiment.load.duration_seconds);
        self.play_steps(duration, steps(&self.experiment).into(), progress).await?;
        let after = self.snapshot();
        Ok(self.point(&before, &after))
    }

    /// Starts the clients, each as a task of its own.
    fn start_clients(&self) {
        let fleet = &self.experiment.fleet;
        let load = &self.experiment.load;
        let gateways_per_tenant = fleet.gateways_per_tenant.min(fleet.gateways);
        for connection in 0..load.connections {
            let gateway = connection % fleet.gateways;
            let routes =
                (0..fleet.tenants).map(|tenant| TenantRoute { tenant, first: tenant % fleet.gateways });
            let serves = |route: &TenantRoute| {
                (gateway + fleet.gateways - route.first) % fleet.gateways < gateways_per_tenant
            };
            let workload = Workload {
                gateway,
                routes: routes.filter(serves).collect(),
                gateways_per_tenant,
                requests_per_second: load.requests_per_second / load.connections as f64,
                seed: self.experiment.seed ^ (connection as u64) << 20,
            };
            tokio::spawn(play_client(self.clients.clone(), workload));
        }
    }

    /// Lets time pass, carries out the steps that fall due, and checks the processes.
    async fn play_steps(
        &mut self,
        duration: Duration,
        mut steps: VecDeque<Step>,
        progress: &Progress,
    ) -> Result<()> {
        let begun_at = Instant::now();
        let mut checks = 0_u32;
        while begun_at.elapsed() < duration {
            progress.step()?;
            while let Some(step) = steps.pop_front_if(|step| step.at <= begun_at.elapsed()) {
                self.apply(step.action).await?;
            }
            self.check(checks)?;
            checks += 1;
            sleep(CHECK_INTERVAL.min(duration.saturating_sub(begun_at.elapsed()))).await;
        }
        Ok(())
    }

    /// Fails if a gateway ended or stalled, or if memory is short.
    fn check(&mut self, checks: u32) -> Result<()> {
        for process in self.gateways.iter_mut().flatten() {
            process.check_alive()?;
        }
        if let Some(gateway) = self.clients.stalled_gateway() {
            return Err(LaboratoryError::GatewayStalled {
                gateway,
                at_seconds: f64::from(checks) * CHECK_INTERVAL.as_secs_f64(),
                symptom: format!("{MAX_UNANSWERED_REQUESTS} requests in a row had no answer"),
            });
        }
        if checks.is_multiple_of(CHECKS_PER_MEMORY_CHECK) {
            check_memory(self.gateways.iter().flatten().map(GatewayProcess::resident_bytes).sum())?;
        }
        Ok(())
    }
}
