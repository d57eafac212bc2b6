//! Gateway processes on loopback, between stubs of discovery agents, the counter, servers and clients. All that is
//! started ends with the measurement, however that ends.
//!
//! `run` plays one point: it starts a `fleet` of `gateway_process`es and stubs, applies the steps of `schedule` by way
//! of `faults`, and ends with the `measurements`.

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

/// Threads of the stubs.
const STUB_THREADS: usize = 2;

/// Refuses a gateway program that does not exist.
pub fn check_program(program: &Path) -> Result<()> {
    if program.is_file() {
        return Ok(());
    }
    let reason =
        format!("{} is no file; build it with 'cargo build --release -p grebehook'", program.display());
    Err(LaboratoryError::field("--gateway-program", reason))
}

/// Plays an experiment at one size.
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
        .map_err(|error| LaboratoryError::io("no runtime", error))?;
    let point = runtime.block_on(run::play(experiment, program, progress));
    // Tasks of the stubs wait for calls that will not come any more.
    runtime.shutdown_background();
    Ok(Point { size, ..point? })
}
