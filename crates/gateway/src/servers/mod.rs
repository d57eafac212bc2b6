//! Communication with the servers of the back end: the connection pool, the exchange of an attempt for its
//! response, and health checks.

pub mod attempt;
pub mod connection;
mod dial;
pub mod exchange;
pub mod health_check;
pub mod pool;
mod request_progress;
