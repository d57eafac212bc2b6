//! The test rig: the gateway as a process and its scripted clients, servers and discovery agent, all on
//! loopback ports that the system picks.
//!
//! A [`Deployment`](deployment::Deployment) holds a configuration and a discovery agent and starts
//! [`GatewayProcess`](gateway_process::GatewayProcess)es from them. Tests wait for events instead of fixed
//! times.

pub mod accept;
pub mod bulk_server;
pub mod chunks;
pub mod client;
pub mod crowd;
pub mod deployment;
pub mod discovery_agent;
pub mod endpoint;
mod fault_library;
pub mod files;
pub mod framing;
pub mod gate;
pub mod gateway_process;
pub mod launch;
pub mod message;
pub mod received_answer;
pub mod request;
pub mod seeded_runs;
pub mod server;
mod settings;
pub mod timestamped_stream;
pub mod trickling_clients;
pub mod unreachable;

use std::time::Duration;

/// Time after which an expected event counts as missing; only a failing test waits this long.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
