//! Sockets, headers and errors of system calls, as all other modules use them.

pub mod handshake_filter;
pub mod headers;
pub mod repeat_limiter;
pub mod socket;
pub mod system_error;
pub mod tcp_info;
