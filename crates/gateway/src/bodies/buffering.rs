//! Buffering of a body, or of its beginning if it is longer than the buffer limit, if memory runs out or if it must
//! be forwarded before it is complete.

use crate::bodies::block_buffer::BlockBuffer;
use crate::bodies::memory::{BodyMemory, Reservation};
use crate::bodies::prefix_buffer::PrefixBuffer;
use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::future::Future;
use std::pin::pin;

/// A body whose beginning, or the whole of it, has been read.
pub struct PartiallyReadBody {
    /// The part that has been read.
    pub buffered: BlockBuffer,
    /// The memory of `buffered`; `None` if it is very short.
    pub reservation: Option<Reservation>,
    /// The unread part, unless the whole body has been read.
    pub remainder: Option<Incoming>,
}

impl PartiallyReadBody {
    /// Returns a body of which nothing has been read.
    pub fn unread(body: Incoming) -> PartiallyReadBody {
        PartiallyReadBody { buffered: BlockBuffer::default(), reservation: None, remainder: Some(body) }
    }

    /// Returns the body of a message that has none.
    pub fn empty() -> PartiallyReadBody {
        PartiallyReadBody { buffered: BlockBuffer::default(), reservation: None, remainder: None }
    }

    fn new(buffer: PrefixBuffer<'_>, remainder: Option<Incoming>) -> PartiallyReadBody {
        let (buffered, reservation) = buffer.into_parts();
        PartiallyReadBody { buffered, reservation, remainder }
    }
}

/// Reads a body until it ends, exceeds [`MAX_BUFFERED_BODY_BYTES`] or the memory that is left, or until `stop`
/// completes.
pub async fn read_beginning(
    mut body: Incoming,
    memory: &BodyMemory,
    stop: impl Future<Output = ()>,
) -> Result<PartiallyReadBody, hyper::Error> {
    let mut buffer = PrefixBuffer::new(memory);
    let mut stop = pin!(stop);
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = &mut stop => return Ok(PartiallyReadBody::new(buffer, Some(body))),
        };
        let Some(frame) = frame else { return Ok(PartiallyReadBody::new(buffer, None)) };
        let Ok(data) = frame?.into_data() else { continue };
        if !buffer.append(&data) && !body.is_end_stream() {
            return Ok(PartiallyReadBody::new(buffer, Some(body)));
        }
    }
}

/// Reads a body that nobody needs to its end. Returns false if it is longer than [`MAX_BUFFERED_BODY_BYTES`].
pub async fn discard_short_body(mut body: Incoming) -> Result<bool, hyper::Error> {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        length += frame?.into_data().map_or(0, |data| data.len());
        if length > MAX_BUFFERED_BODY_BYTES {
            return Ok(false);
        }
    }
    Ok(true)
}
