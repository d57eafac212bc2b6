//! Memory limits of a single body.

/// Largest body that is buffered completely, so that it can be sent again, or discarded if it ends early.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Memory that a forwarded body may use at a time: its buffered part, and hyper's buffers on both sides.
pub const STREAMING_BUFFER_BYTES: usize = 128 << 10;
