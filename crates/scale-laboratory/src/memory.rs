//! Memory limit of the laboratory, half of the machine's memory. The memory that a run needs is estimated
//! before its start, and the memory that it uses is checked while it runs.

use crate::error::{LaboratoryError, Result};
use crate::experiment::{Experiment, Mode};
use cap::Cap;
use std::alloc::System;
use std::fs;

/// Allocator that counts allocated bytes, so that the heap of a gateway is measured exactly.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes per MiB.
const MIB: u64 = 1 << 20;
/// Heap of a listed server in a decision core, in bytes, rounded up: its entry, its state and its share of
/// the ranked tree.
const SERVER_BYTES: u64 = 500;
/// Heap of a tenant in a decision core, in bytes, rounded up.
const TENANT_BYTES: u64 = 900;
/// Heap of a peer gateway in a decision core, in bytes: its last gossip message and its outbox.
const PEER_BYTES: u64 = 40;
/// Other memory of a gateway process, including its connections, in bytes.
const PROCESS_BYTES: u64 = 64 * MIB;
/// Memory of the laboratory without the gateways, in bytes.
const BASE_BYTES: u64 = 64 * MIB;

/// Returns the number of bytes allocated on the heap of this process.
pub fn heap_bytes() -> u64 {
    ALLOCATOR.allocated() as u64
}

/// Returns half of the machine's memory, in bytes.
fn memory_limit_bytes() -> Result<u64> {
    let text =
        fs::read_to_string("/proc/meminfo").map_err(|error| LaboratoryError::io("/proc/meminfo", error))?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:")).unwrap_or_default();
    let kib: u64 = line.split_whitespace().next().and_then(|kib| kib.parse().ok()).unwrap_or(0);
    Ok(kib * 1024 / 2)
}

/// Returns an upper estimate of the memory that an experiment needs at one size, in bytes.
fn estimate_bytes(experiment: &Experiment) -> u64 {
    let fleet = &experiment.fleet;
    let gateways = fleet.gateways as u64;
    let tenants = fleet.tenants as u64;
    let list_bytes = (fleet.servers() as u64).saturating_mul(SERVER_BYTES);
    let core_bytes = |tenants: u64| {
        let peers_bytes = gateways * PEER_BYTES;
        list_bytes.saturating_add(peers_bytes).saturating_add(tenants.saturating_mul(TENANT_BYTES))
    };
    let tenant_states = tenants * (fleet.gateways_per_tenant as u64).min(gateways);
    let tenants_per_gateway = tenant_states / gateways.max(1);
    let gateways_bytes = match experiment.mode {
        Mode::Core => core_bytes(tenants),
        Mode::Hollow => gateways.saturating_mul(core_bytes(tenants_per_gateway)),
        Mode::Real => gateways.saturating_mul(PROCESS_BYTES.saturating_add(core_bytes(tenants_per_gateway))),
    };
    let shared_bytes = list_bytes.saturating_add(tenants * TENANT_BYTES);
    BASE_BYTES.saturating_add(shared_bytes).saturating_add(gateways_bytes)
}

/// Rejects an experiment if one of its points needs more memory than the limit.
pub fn check_estimate(experiment: &Experiment) -> Result<()> {
    let limit = memory_limit_bytes()?;
    for point in experiment.points() {
        let needed = estimate_bytes(&point.experiment);
        if needed > limit {
            let consumer = match (&experiment.sweep, point.size) {
                (Some(sweep), Some(size)) => format!("size {size} of {}", sweep.parameter),
                _ => experiment.name.clone(),
            };
            return Err(memory_limit_error(consumer, needed, limit));
        }
    }
    Ok(())
}

/// Returns an error if a run uses more memory than the limit, with `children_bytes` used by the processes it
/// started.
pub fn check_memory(children_bytes: u64) -> Result<()> {
    let used = heap_bytes() + children_bytes;
    let limit = memory_limit_bytes()?;
    if used > limit {
        return Err(memory_limit_error("the run".to_owned(), used, limit));
    }
    Ok(())
}

fn memory_limit_error(consumer: String, needed: u64, limit: u64) -> LaboratoryError {
    LaboratoryError::MemoryLimitExceeded { consumer, needed_mib: needed / MIB, limit_mib: limit / MIB }
}
