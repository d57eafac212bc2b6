//! Simulation of hollow gateways: many decision cores and their control traffic in one process, on simulated
//! time. A run is determined by its experiment and seed.
//!
//! `simulation` is the event loop. It owns the state of the network, the servers, discovery, the shared
//! counter and the clients. The modules `requests`, `attempts`, `counter_calls`, `discovery`, `lifecycle` and
//! `faults` contain its event handlers.

mod attempts;
mod clients;
mod counter_calls;
mod discovery;
mod endpoint_history;
mod event_queue;
mod faults;
mod gateway;
mod lifecycle;
mod measurements;
mod network;
mod point;
mod requests;
mod servers;
mod shared_counter;
mod simulation;

use crate::error::Result;
use crate::experiment::Experiment;
use crate::progress::Progress;
use crate::results::Point;

/// Simulates an experiment at one size and returns its measurements.
pub fn measure(experiment: &Experiment, size: Option<u64>, progress: &Progress) -> Result<Point> {
    let mut simulation = simulation::Simulation::new(experiment.clone(), progress.clone())?;
    simulation.run()?;
    Ok(Point { size, ..simulation.point() })
}
