//! Servers of the back end: connections to them, and the exchange of one attempt.

pub mod attempt;
pub mod connection;
pub mod exchange;
pub mod pool;
