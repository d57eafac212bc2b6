//! The gateway as a process and its scripted peers, all on loopback ports that the system picks.
//!
//! A [`Deployment`](deployment::Deployment) holds a configuration and a discovery agent and starts
//! [`GatewayProcess`](gateway_process::GatewayProcess)es from them. Tests wait for events, not for time to pass.

pub mod client;
pub mod deployment;
pub mod discovery_agent;
pub mod endpoint;
mod fault_library;
pub mod files;
pub mod gate;
pub mod gateway_process;
pub mod launch;
pub mod message;
pub mod request;
pub mod server;
mod settings;
pub mod timestamped_stream;
pub mod unreachable;

use std::time::Duration;

/// How long a peer waits for an expected event; only a failing test waits so long.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
