//! What operators see: health, metrics, request counts.

pub mod request_counts;
pub mod server;
