//! Memory limits of a single body.

/// Maximum length of a body that is buffered completely, so that it can be sent again, or discarded if it
/// ends early.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Maximum memory that a streamed body uses at a time: its buffered prefix, and hyper's buffers on both
/// sides.
pub const STREAMING_BUFFER_BYTES: usize = 128 << 10;
