//! Health and metrics of a running gateway, for operators.

pub mod request_counts;
pub mod request_events;
pub mod request_log;
pub mod server;
