//! Scale laboratory: experiments that measure what resources the gateway needs as the fleet grows, and the
//! capacity computed from their results.
//!
//! An experiment file specifies sizes, load and faults. It is run by one decision core ([`core_cost`]), by
//! many hollow gateways on simulated time ([`hollow`]) or by gateway processes on loopback ([`real`]).

pub mod capacity;
pub mod catalog;
pub mod cli;
pub mod core_cost;
pub mod cpu;
pub mod error;
pub mod experiment;
pub mod fit;
pub mod hollow;
pub mod memory;
pub mod metric;
pub mod metrics;
pub mod progress;
pub mod real;
pub mod report;
pub mod results;
pub mod runner;
mod settings;
mod timeline;
mod topology;
mod wire;
