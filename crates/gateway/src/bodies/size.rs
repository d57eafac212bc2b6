//! Up to which size bodies are held whole, and what is held of longer ones.

/// A body up to here is held whole: it can be sent again, or left out if it breaks off.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;
/// What a body that is passed on may take at a time: what is held of it, and hyper's buffers on both sides.
pub const FORWARDING_BUFFER_BYTES: usize = 128 << 10;
