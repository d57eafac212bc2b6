//! Drives the decision core: events in, actions out.

pub mod clock;
pub mod decision_driver;
pub mod decision_log;
pub mod request;
pub mod request_table;
pub mod timers;
