//! The life of the process: start, reload, hand-over to a successor process, shutdown.

pub mod error;
pub mod reload;
pub mod resources;
pub mod services;
pub mod serving;
pub mod shutdown;
pub mod signals;
pub mod startup;
pub mod takeover;
