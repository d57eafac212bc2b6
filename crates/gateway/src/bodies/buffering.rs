//! Buffering of a body, or of its beginning if it is longer than the buffer limit, if memory runs out or if it must
//! be forwarded before it is complete.

use crate::bodies::block_buffer::BlockBuffer;
use crate::bodies::memory::{BodyMemory, Reservation};
use crate::bodies::prefix_buffer::PrefixBuffer;
use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::future::{pending, Future};
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
    /// Returns the body of a message that has none.
    pub fn empty() -> PartiallyReadBody {
        PartiallyReadBody { buffered: BlockBuffer::default(), reservation: None, remainder: None }
    }

    fn new(buffer: PrefixBuffer<'_>, remainder: Option<Incoming>) -> PartiallyReadBody {
        let (buffered, reservation) = buffer.into_parts();
        PartiallyReadBody { buffered, reservation, remainder }
    }
}

/// Reads a body until it ends, or exceeds [`MAX_BUFFERED_BODY_BYTES`] or the memory that is left.
pub async fn read_beginning(body: Incoming, memory: &BodyMemory) -> Result<PartiallyReadBody, hyper::Error> {
    let mut reader = BodyReader::new(body, memory);
    reader.read(MAX_BUFFERED_BODY_BYTES + 1, pending()).await?;
    Ok(reader.into_beginning())
}

/// Why a [`BodyReader`] reads no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// The body has ended.
    Whole,
    /// As much has been read as was asked for, or as memory allows.
    Enough,
    /// The caller stopped the reading.
    Stopped,
}

/// Reads the beginning of a body into a buffer.
pub struct BodyReader<'a> {
    body: Incoming,
    buffer: PrefixBuffer<'a>,
    has_ended: bool,
}

impl<'a> BodyReader<'a> {
    /// Creates a reader that has read nothing.
    pub fn new(body: Incoming, memory: &'a BodyMemory) -> BodyReader<'a> {
        BodyReader { body, buffer: PrefixBuffer::new(memory), has_ended: false }
    }

    /// Returns the number of bytes read.
    pub fn received(&self) -> usize {
        self.buffer.len()
    }

    /// Reads on until the body ends, `enough` bytes have been read, memory runs out, or `stop` completes.
    pub async fn read(
        &mut self,
        enough: usize,
        stop: impl Future<Output = ()>,
    ) -> Result<ReadEnd, hyper::Error> {
        let mut stop = pin!(stop);
        loop {
            let frame = tokio::select! {
                biased;
                frame = self.body.frame() => frame,
                () = &mut stop => return Ok(ReadEnd::Stopped),
            };
            let Some(frame) = frame else {
                self.has_ended = true;
                return Ok(ReadEnd::Whole);
            };
            let Ok(data) = frame?.into_data() else { continue };
            let may_read_more = self.buffer.append(&data) && self.buffer.len() < enough;
            if !may_read_more && !self.body.is_end_stream() {
                return Ok(ReadEnd::Enough);
            }
        }
    }

    /// Returns what has been read, with the rest unless the body has ended.
    pub fn into_beginning(self) -> PartiallyReadBody {
        let remainder = (!self.has_ended).then_some(self.body);
        PartiallyReadBody::new(self.buffer, remainder)
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
