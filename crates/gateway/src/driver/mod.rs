//! Drives the decision core: events go in, actions come out.

pub mod clock;
pub mod decision_driver;
pub mod decision_log;
pub mod request;
pub mod request_table;
pub mod timers;
