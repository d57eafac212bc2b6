//! The laboratory's memory bound, half of the machine's memory: estimated before a run and checked during it.

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
/// the tree.
const SERVER_BYTES: u64 = 500;
/// Heap of a tenant in a decision core, in bytes, rounded up.
const TENANT_BYTES: u64 = 900;
/// Heap of another gateway in a decision core, in bytes: its last gossip message and its outbox.
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
fn memory_bound_bytes() -> Result<u64> {
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

/// Rejects an experiment if one of its points needs more memory than the bound.
pub fn check_estimate(experiment: &Experiment) -> Result<()> {
    let bound = memory_bound_bytes()?;
    for point in experiment.points() {
        let needed = estimate_bytes(&point.experiment);
        if needed > bound {
            let what = match (&experiment.sweep, point.size) {
                (Some(sweep), Some(size)) => format!("size {size} of {}", sweep.parameter),
                _ => experiment.name.clone(),
            };
            return Err(memory_bound_error(what, needed, bound));
        }
    }
    Ok(())
}

/// Returns an error if a run uses more memory than the bound, with `children_bytes` used by the processes it
/// started.
pub fn check_memory(children_bytes: u64) -> Result<()> {
    let used = heap_bytes() + children_bytes;
    let bound = memory_bound_bytes()?;
    if used > bound {
        return Err(memory_bound_error("the run".to_owned(), used, bound));
    }
    Ok(())
}

fn memory_bound_error(consumer: String, needed: u64, bound: u64) -> LaboratoryError {
    LaboratoryError::MemoryLimitExceeded { consumer, needed_mib: needed / MIB, limit_mib: bound / MIB }
}
