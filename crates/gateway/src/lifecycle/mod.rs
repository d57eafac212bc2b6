//! Start, reload, shutdown, and hand-over to a successor process.

pub mod reload;
pub mod shutdown;
pub mod startup;
pub mod takeover;
