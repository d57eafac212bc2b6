//! Health and metrics of a running gateway, for operators.

pub mod request_counts;
pub mod server;
