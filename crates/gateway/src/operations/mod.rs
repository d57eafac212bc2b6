//! What operators ask a running gateway: its health and its metrics.

pub mod request_counts;
pub mod server;
