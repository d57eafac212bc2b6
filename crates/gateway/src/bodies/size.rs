//! Limits on the memory that one body takes.

/// Longest body that is buffered: it can be sent again, or discarded if it breaks off.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Memory that a forwarded body may take at a time: what is buffered of it, and hyper's buffers on both sides.
pub const FORWARDING_BUFFER_BYTES: usize = 128 << 10;
