//! What is drawn for a run of the soak: faults, deadlines, limits and a crowd.

use crate::rig::*;
use fastrand::Rng;
use serde_json::{json, Value};
use std::time::Duration;

pub const SERVERS: usize = 4;
pub const CLASSES: [&str; 3] = ["claim-status", "loss-notice", "payout"];
/// How long servers remember a key.
pub const WINDOW: Duration = Duration::from_millis(1_500);

pub fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// What is drawn for a run.
pub struct Plan {
    pub faults: String,
    pub longest_deadline: Duration,
    pub descriptors: u32,
    pub crowd: usize,
}

impl Plan {
    pub fn draw(rng: &mut Rng, seed: u64) -> Plan {
        let kinds = [
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
        let chosen: Vec<&str> = kinds.into_iter().filter(|_| rng.u8(..100) < 30).collect();
        let crowded = rng.u8(..100) < 25;
        Plan {
            faults: format!("{} seed={seed}", chosen.join(" ")),
            longest_deadline: Duration::from_millis(rng.choice([100, 300, 800, 1_500]).unwrap()),
            descriptors: if crowded { 256 } else { 1_024 },
            crowd: if crowded { 300 } else { 0 },
        }
    }

    pub fn config(&self, agent: &Agent, known: &[Value], listen: &str) -> Value {
        let mut config = config(agent, known);
        config["listen"] = json!(listen);
        config["limits"]["sockets"] = json!(self.descriptors);
        config["settings"]["limits"]["mayProbe"] = json!(false);
        for class in 0..CLASSES.len() {
            config["settings"]["classes"][class]["deadlineUs"] = json!(ms(self.longest_deadline) * 1_000);
            config["settings"]["classes"][class]["aimUs"] = json!(ms(self.longest_deadline) * 500);
            config["settings"]["classes"][class]["windowUs"] = json!(ms(WINDOW) * 1_000);
        }
        config
    }
}

pub fn zone(server: usize) -> &'static str {
    if server < SERVERS / 2 {
        "room-a"
    } else {
        "room-b"
    }
}
