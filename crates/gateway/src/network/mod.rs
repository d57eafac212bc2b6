//! Sockets, headers and system errors, used throughout.

pub mod headers;
pub mod repeat_limiter;
pub mod socket;
pub mod system_error;
