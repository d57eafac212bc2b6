//! Memory limits of a single body and of the buffers that it passes through.

/// Maximum length of a body that is buffered completely, so that it can be sent again, or discarded if it
/// ends early.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// Maximum length of the part of a longer body that is kept after it has been forwarded, so that it can be sent
/// again while memory is left.
pub const MAX_REPLAYED_BODY_BYTES: usize = 256 << 10;
/// Size limit of each buffer that hyper keeps for a client's connection. It also limits the length of a head.
pub const CLIENT_BUFFER_BYTES: usize = 8 << 10;
/// Size limit of each buffer that hyper keeps for a server's connection, the smallest one that hyper allows.
pub const SERVER_BUFFER_BYTES: usize = 8 << 10;
/// Maximum length of the data that hyper reads from a client at a time: twice the limit of its read buffer.
pub const MAX_BODY_FRAME_BYTES: usize = 2 * CLIENT_BUFFER_BYTES;
/// Size of the blocks in which bodies are buffered and passed to hyper, which copies them to a buffer that grows to hold
/// them and keeps its size.
pub const BLOCK_BYTES: usize = 4 << 10;
/// Maximum length of a body that needs no reserved memory.
pub const MAX_UNRESERVED_BODY_BYTES: usize = BLOCK_BYTES;
/// Memory for forwarding a body as it arrives: what the buffers on both sides take beyond those of a request with a very
/// short body.
pub const FORWARDING_BYTES: usize = 24 << 10;
