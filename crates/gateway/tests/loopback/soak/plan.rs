//! What is drawn for a run of the soak: failing system calls, deadlines, limits and idle connections.

use crate::rig::deployment::Deployment;
use crate::rig::endpoint::{LOCAL_ZONE, REMOTE_ZONE};
use fastrand::Rng;
use std::time::Duration;

/// The number of servers; the first half is in the gateway's own zone.
pub const SERVERS: usize = 4;
/// The names of the request classes.
pub const CLASSES: [&str; 3] = ["claim-status", "loss-notice", "payout"];
/// How long servers remember an idempotency key.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(1_500);

/// The probability of each kind of fault.
const FAULT_PERCENT: u8 = 30;
/// The probability of idle connections that use up the descriptors.
const CROWD_PERCENT: u8 = 25;
/// Kinds of faults, as `syscall_faults.c` describes them.
const FAULT_KINDS: [&str; 11] = [
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

/// Waits for a core before system calls, as `syscall_faults.c` describes them.
const LATE_CALL_KINDS: [&str; 2] = ["preempt=10 preempt_ms=60", "preempt=20 preempt_ms=30"];
/// A wait for a core before the listener closes.
const LATE_CLOSE: &str = "preempt_listener_ms=20";
/// Separates the draws of waits for a core from all others of a seed.
const PREEMPTION_STREAM: u64 = 1 << 32;
/// Faults that all seeds run under beside those that they draw.
const COMMON_FAULTS: &str = "SOAK_FAULTS";

/// By how much the fault `hold` delays a write.
pub const HOLD: Duration = Duration::from_millis(150);

/// What is drawn for a run.
pub struct Plan {
    /// The system calls that fail.
    pub faults: String,
    /// The deadline of all classes.
    pub deadline: Duration,
    /// The limit of descriptors of the gateway.
    pub descriptors: u32,
    /// The number of idle connections beside the clients.
    pub idle_connections: usize,
}

impl Plan {
    /// Draws a plan; the system calls have a seed of their own.
    pub fn draw(rng: &mut Rng, seed: u64) -> Plan {
        let chosen: Vec<&str> = FAULT_KINDS.into_iter().filter(|_| rng.u8(..100) < FAULT_PERCENT).collect();
        let crowded = rng.u8(..100) < CROWD_PERCENT;
        let common = std::env::var(COMMON_FAULTS).unwrap_or_default();
        let preemption = draw_preemption(seed);
        let faults = format!("{common} {preemption} {} seed={seed}", chosen.join(" "));
        Plan {
            faults: faults.trim_start().to_owned(),
            deadline: Duration::from_millis(rng.choice([100, 300, 800, 1_500]).unwrap()),
            descriptors: if crowded { 256 } else { 1_024 },
            idle_connections: if crowded { 300 } else { 0 },
        }
    }

    /// Whether writes are delayed by [`HOLD`].
    pub fn holds_writes(&self) -> bool {
        self.faults.contains("hold=")
    }

    /// By how much a system call may begin late.
    pub fn max_late_call(&self) -> Duration {
        let milliseconds = self.faults.split(' ').find_map(|fault| fault.strip_prefix("preempt_ms="));
        Duration::from_millis(milliseconds.map_or(0, |text| text.parse().expect("a number")))
    }

    /// Whether idle connections use up the descriptors.
    pub fn is_crowded(&self) -> bool {
        self.idle_connections > 0
    }

    /// Configures a gateway for this plan.
    pub fn configure(&self, deployment: Deployment) -> Deployment {
        let deployment = deployment
            .configured_sockets(self.descriptors)
            .descriptors(self.descriptors)
            .faults(&*self.faults)
            .set("/settings/limits/mayProbe", false);
        (0..CLASSES.len()).fold(deployment, |deployment, class| {
            let setting = |name: &str| format!("/settings/classes/{class}/{name}");
            deployment
                .set(&setting("deadlineUs"), milliseconds(self.deadline) * 1_000)
                .set(&setting("aimUs"), milliseconds(self.deadline) * 500)
                .set(&setting("windowUs"), milliseconds(DEDUPLICATION_WINDOW) * 1_000)
        })
    }
}

/// Draws how the process waits for a core.
fn draw_preemption(seed: u64) -> String {
    let mut rng = Rng::with_seed(PREEMPTION_STREAM | seed);
    let late_calls = if rng.u8(..100) < FAULT_PERCENT { rng.choice(LATE_CALL_KINDS).unwrap() } else { "" };
    let late_close = if rng.u8(..100) < FAULT_PERCENT { LATE_CLOSE } else { "" };
    format!("{late_calls} {late_close} preempt_seed={seed}")
}

/// A duration in milliseconds.
pub fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// The zone of a server.
pub fn zone(server: usize) -> &'static str {
    if server < SERVERS / 2 {
        LOCAL_ZONE
    } else {
        REMOTE_ZONE
    }
}
