//! Sockets, HTTP headers and system errors, shared by all modules of the gateway.

pub mod client_buffers;
pub mod handshake_filter;
pub mod headers;
pub mod line_limiter;
pub mod repeat_limiter;
pub mod socket;
pub mod system_error;
pub mod tcp_info;
