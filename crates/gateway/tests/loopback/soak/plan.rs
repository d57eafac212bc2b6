//! The random plan of a run of the soak: failing system calls, deadlines, limits and idle connections.

use crate::rig::deployment::Deployment;
use crate::rig::endpoint::{LOCAL_ZONE, REMOTE_ZONE};
use fastrand::Rng;
use std::time::Duration;

/// Number of servers; the first half is in the gateway's zone.
pub const SERVER_COUNT: usize = 4;
/// Names of the request classes, in the order of their indices.
pub const CLASSES: [&str; 3] = ["claim-status", "loss-notice", "payout"];
/// Time for which servers remember an idempotency key.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(1_500);

/// Probability with which a plan includes each fault, in percent.
const FAULT_PERCENT: u8 = 30;
/// Probability of idle connections that exhaust the descriptors, in percent.
const DESCRIPTOR_EXHAUSTION_PERCENT: u8 = 25;
/// Faults, each of which a plan includes with a probability of [`FAULT_PERCENT`], in the format described
/// in `syscall_faults.c`.
const FAULTS: [&str; 11] = [
    "read=10 write=10",
    "wait=10",
    "accept=20",
    "accept_full=10",
    "socket=5",
    "connect=5",
    "broken=3",
    "hold=1",
    "wall_s=3600",
    "wall_s=-3600",
    "wall_step_ms=300",
];

/// Scheduling delays before system calls, of which at most one is chosen, in the format described in
/// `syscall_faults.c`.
const CALL_DELAY_FAULTS: [&str; 2] = ["preempt=10 preempt_ms=60", "preempt=20 preempt_ms=30"];
/// A scheduling delay before the listener is closed.
const LISTENER_CLOSE_DELAY_FAULT: &str = "preempt_listener_ms=20";
/// Bit set in the seed of the scheduling delays, which separates their random choices from all others of
/// a run.
const PREEMPTION_SEED_BIT: u64 = 1 << 32;
/// Bit set in the seed of the crowd, which separates its random choices from all others of a run.
const CROWD_SEED_BIT: u64 = 1 << 33;
/// Number of clients of a crowd.
const CROWD_SIZE: usize = 150;
/// The least memory that a deployment gives a gateway, in megabytes. Runs with a crowd have it.
const LEAST_MEMORY_MB: u64 = 32;
/// Bytes of a megabyte of the configuration.
const BYTES_PER_MB: u64 = 1_000_000;
/// Environment variable with faults that all seeds run under in addition to those of their plans.
const COMMON_FAULTS_VARIABLE: &str = "SOAK_FAULTS";

/// Delay of a write by the fault `hold`.
pub const WRITE_DELAY: Duration = Duration::from_millis(150);

/// The randomly chosen parameters of a run.
pub struct Plan {
    /// System call faults, in the format described in `syscall_faults.c`.
    pub faults: String,
    /// Deadline of all classes.
    pub deadline: Duration,
    /// Maximum number of open descriptors of the gateway.
    pub descriptor_limit: u32,
    /// Number of idle connections in addition to those of the clients.
    pub idle_connections: usize,
    /// Number of clients that misbehave in addition to those whose requests are checked.
    pub crowd_size: usize,
}

impl Plan {
    /// Chooses a random plan. The faults contain `seed`, from which the system calls that fail are chosen.
    pub fn random(rng: &mut Rng, seed: u64) -> Plan {
        let chosen: Vec<&str> = FAULTS.into_iter().filter(|_| rng.u8(..100) < FAULT_PERCENT).collect();
        let descriptors_exhausted = rng.u8(..100) < DESCRIPTOR_EXHAUSTION_PERCENT;
        let common = std::env::var(COMMON_FAULTS_VARIABLE).unwrap_or_default();
        let preemption = random_preemption(seed);
        let faults = format!("{common} {preemption} {} seed={seed}", chosen.join(" "));
        Plan {
            faults: faults.trim_start().to_owned(),
            deadline: Duration::from_millis(rng.choice([100, 300, 800, 1_500]).unwrap()),
            descriptor_limit: if descriptors_exhausted { 256 } else { 1_024 },
            idle_connections: if descriptors_exhausted { 300 } else { 0 },
            crowd_size: random_crowd_size(seed),
        }
    }

    /// Returns whether the plan has the fault that delays writes by [`WRITE_DELAY`].
    pub fn delays_writes(&self) -> bool {
        self.faults.contains("hold=")
    }

    /// Returns whether the plan has the fault that breaks established connections.
    pub fn breaks_connections(&self) -> bool {
        self.faults.contains("broken=")
    }

    /// Returns the maximum scheduling delay before a system call.
    pub fn max_call_delay(&self) -> Duration {
        let milliseconds = self.faults.split(' ').find_map(|fault| fault.strip_prefix("preempt_ms="));
        Duration::from_millis(milliseconds.map_or(0, |text| text.parse().expect("preempt_ms is a number")))
    }

    /// Returns the memory that the gateway may have, in bytes, where the plan limits it.
    pub fn memory_limit(&self) -> Option<u64> {
        (self.crowd_size > 0).then_some(LEAST_MEMORY_MB * BYTES_PER_MB)
    }

    /// Returns whether idle connections exhaust the descriptors.
    pub fn exhausts_descriptors(&self) -> bool {
        self.idle_connections > 0
    }

    /// Returns the deployment, configured for this plan.
    pub fn configure(&self, deployment: Deployment) -> Deployment {
        let deployment = deployment
            .configured_socket_limit(self.descriptor_limit)
            .descriptor_limit(self.descriptor_limit)
            .faults(&*self.faults)
            .set("/settings/limits/mayProbe", false);
        let deployment = match self.memory_limit() {
            Some(limit) => deployment.set("/limits/memory_mb", limit / BYTES_PER_MB),
            None => deployment,
        };
        (0..CLASSES.len()).fold(deployment, |deployment, class| {
            let setting = |name: &str| format!("/settings/classes/{class}/{name}");
            deployment
                .set(&setting("deadlineUs"), milliseconds(self.deadline) * 1_000)
                .set(&setting("aimUs"), milliseconds(self.deadline) * 500)
                .set(&setting("windowUs"), milliseconds(DEDUPLICATION_WINDOW) * 1_000)
        })
    }
}

/// Chooses random scheduling delays.
fn random_preemption(seed: u64) -> String {
    let mut rng = Rng::with_seed(PREEMPTION_SEED_BIT | seed);
    let call_delays = if rng.u8(..100) < FAULT_PERCENT { rng.choice(CALL_DELAY_FAULTS).unwrap() } else { "" };
    let listener_close_delay = if rng.u8(..100) < FAULT_PERCENT { LISTENER_CLOSE_DELAY_FAULT } else { "" };
    format!("{call_delays} {listener_close_delay} preempt_seed={seed}")
}

/// Chooses at random whether a run has a crowd.
fn random_crowd_size(seed: u64) -> usize {
    let has_crowd = Rng::with_seed(CROWD_SEED_BIT | seed).u8(..100) < FAULT_PERCENT;
    if has_crowd {
        CROWD_SIZE
    } else {
        0
    }
}

/// Returns a duration in whole milliseconds.
pub fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Returns the zone of the server with this number.
pub fn zone(server: usize) -> &'static str {
    if server < SERVER_COUNT / 2 {
        LOCAL_ZONE
    } else {
        REMOTE_ZONE
    }
}
