//! Servers of the back end: connections to them, and the exchange of an attempt for its response.

pub mod attempt;
pub mod connection;
mod dial;
pub mod exchange;
pub mod health_check;
pub mod pool;
mod request_progress;
