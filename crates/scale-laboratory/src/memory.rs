//! The memory bound: half of the machine's, held by an estimate before a run and by a check while it goes on.

use crate::error::{LaboratoryError, Result};
use crate::experiment::{Experiment, Mode};
use cap::Cap;
use std::alloc::System;
use std::fs;

/// Counts what is allocated, so that a gateway's heap is measured exactly.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// One MiB.
const MIB: u64 = 1 << 20;
/// Heap of a listed server in a decision core, with allowance: entry, state and share of the tree.
const SERVER_BYTES: u64 = 500;
/// Heap of a tenant in a decision core, with allowance.
const TENANT_BYTES: u64 = 900;
/// Heap of a named gateway in a decision core: when it was heard and its outbox.
const PEER_BYTES: u64 = 40;
/// What a gateway process holds besides, with its connections.
const PROCESS_BYTES: u64 = 64 * MIB;
/// What the laboratory holds besides gateways.
const BASE_BYTES: u64 = 64 * MIB;

/// Bytes on this process's heap.
pub fn heap_bytes() -> u64 {
    ALLOCATOR.allocated() as u64
}

/// Half of the machine's memory, in bytes.
pub fn bound_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/meminfo").map_err(|e| LaboratoryError::io("/proc/meminfo", e))?;
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:")).unwrap_or_default();
    let kib: u64 = line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0);
    Ok(kib * 1024 / 2)
}

/// What an experiment at one size needs at most, in bytes.
pub fn estimate_bytes(experiment: &Experiment) -> u64 {
    let fleet = &experiment.fleet;
    let (gateways, servers) = (fleet.gateways as u64, fleet.servers() as u64);
    let per_gateway = |tenants: u64| {
        let lists = servers.saturating_mul(SERVER_BYTES).saturating_add(gateways * PEER_BYTES);
        lists.saturating_add(tenants.saturating_mul(TENANT_BYTES))
    };
    let shared = servers.saturating_mul(SERVER_BYTES).saturating_add(fleet.tenants as u64 * TENANT_BYTES);
    let tenants = fleet.tenants as u64 * (fleet.gateways_per_tenant as u64).min(gateways);
    let gateways_bytes = match experiment.mode {
        Mode::Core => per_gateway(fleet.tenants as u64),
        Mode::Hollow => gateways.saturating_mul(per_gateway(tenants / gateways.max(1))),
        Mode::Real => {
            gateways.saturating_mul(PROCESS_BYTES.saturating_add(per_gateway(tenants / gateways.max(1))))
        }
    };
    BASE_BYTES.saturating_add(shared).saturating_add(gateways_bytes)
}

/// Refuses an experiment whose largest point does not fit.
pub fn check_estimate(experiment: &Experiment) -> Result<()> {
    let bound = bound_bytes()?;
    for point in experiment.points() {
        let needed = estimate_bytes(&point.experiment);
        if needed > bound {
            let what = match (&experiment.sweep, point.size) {
                (Some(sweep), Some(size)) => format!("size {size} of {}", sweep.parameter),
                _ => experiment.name.clone(),
            };
            return Err(exceeded(what, needed, bound));
        }
    }
    Ok(())
}

/// Ends a run that has come to hold more than the bound, with `children` bytes in processes it started.
pub fn check_memory(children: u64) -> Result<()> {
    let (held, bound) = (heap_bytes() + children, bound_bytes()?);
    if held > bound {
        return Err(exceeded("the run".to_owned(), held, bound));
    }
    Ok(())
}

fn exceeded(what: String, needed: u64, bound: u64) -> LaboratoryError {
    LaboratoryError::MemoryBound { what, needed_mib: needed / MIB, bound_mib: bound / MIB }
}
