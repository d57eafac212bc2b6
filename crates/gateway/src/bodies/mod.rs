//! Bodies of requests and responses on their way through.

pub mod forwarding;
pub mod size;
