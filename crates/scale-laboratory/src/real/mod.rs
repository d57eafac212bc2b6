//! Real mode: gateway processes on loopback, with clients and with stubs of discovery agents, shared counters
//! and servers. All processes and stubs end with the measurement, whether it succeeds or fails.
//!
//! `run` measures one point: it starts a `fleet` of gateway processes (`gateway_process`) and stubs, applies
//! the steps of `schedule` by way of `faults`, and collects the `measurements`.

mod clients;
mod counter_stub;
mod discovery_agents;
mod faults;
mod fleet;
mod gateway_process;
mod measurements;
mod run;
mod schedule;
mod server_stub;
mod stub_http;
mod traffic;

use crate::error::{LaboratoryError, Result};
use crate::experiment::Experiment;
use crate::progress::Progress;
use crate::results::Point;
use std::path::Path;
use tokio::runtime::Builder;

/// Worker threads of the runtime that serves the stubs and clients.
const STUB_THREADS: usize = 2;

/// Fails if the path of the gateway program is not a file.
pub fn check_program(program: &Path) -> Result<()> {
    if program.is_file() {
        return Ok(());
    }
    let reason =
        format!("{} is not a file; build it with 'cargo build --release -p grebehook'", program.display());
    Err(LaboratoryError::field("--gateway-program", reason))
}

/// Measures an experiment at one size.
pub fn measure(
    experiment: &Experiment,
    size: Option<u64>,
    program: &Path,
    progress: &Progress,
) -> Result<Point> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(STUB_THREADS)
        .enable_all()
        .build()
        .map_err(|error| LaboratoryError::io("cannot start the runtime of the stubs", error))?;
    let point = runtime.block_on(run::run_point(experiment, program, progress));
    // Does not wait for the stubs' tasks, which would wait forever for further calls.
    runtime.shutdown_background();
    Ok(Point { size, ..point? })
}
