//! Memory limits of a single body.

/// Maximum length of a body that is buffered completely, so that it can be sent again, or discarded if it
/// ends early.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Maximum length of the part of a longer body that is kept after it has been forwarded, so that it can be sent
/// again while memory is left.
pub const MAX_REPLAYED_BODY_BYTES: usize = 256 << 10;
/// Maximum length of the data that hyper reads from a client at a time: twice the limit of its read buffer.
pub const MAX_BODY_FRAME_BYTES: usize = 64 << 10;
/// Maximum memory that a streamed body uses at a time: its buffered prefix, and hyper's buffers on both
/// sides.
pub const STREAMING_BUFFER_BYTES: usize = 128 << 10;
