//! Bodies of requests and responses. Short ones are buffered; longer ones are forwarded as they arrive, at
//! the pace of the slower side. The total memory for forwarding is limited.

pub mod buffering;
pub mod download;
pub mod error;
pub mod size;
pub mod stall;
pub mod upload;
