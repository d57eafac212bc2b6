//! Bodies of requests and responses: short ones are buffered, longer ones are forwarded as they arrive, at the pace
//! of the slower side. The memory that forwarding takes is bounded over all bodies together.

pub mod buffering;
pub mod download;
pub mod error;
pub mod size;
pub mod stall;
pub mod upload;
