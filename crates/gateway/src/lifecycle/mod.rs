//! Process lifecycle: startup, reload, hand-over to a successor process, and graceful shutdown.

pub mod endpoint_exchange;
pub mod error;
pub mod handover_role;
pub mod id_exchange;
pub mod reload;
pub mod resources;
pub mod services;
pub mod serving;
pub mod shared_memory;
pub mod shutdown;
pub mod signals;
pub mod startup;
pub mod successor_listeners;
pub mod takeover;
