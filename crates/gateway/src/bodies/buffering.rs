//! Buffering of a body, or of its prefix if it exceeds the buffer limit.

use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// A body whose prefix, or the whole of it, has been read.
pub struct PartiallyReadBody {
    /// The part that has been read.
    pub buffered: Bytes,
    /// The unread part, if the body exceeds the buffer limit.
    pub remainder: Option<Incoming>,
}

/// Reads a body until it ends or exceeds [`MAX_BUFFERED_BODY_BYTES`].
pub async fn read_up_to_limit(mut body: Incoming) -> Result<PartiallyReadBody, hyper::Error> {
    let expected = body.size_hint().lower().min(MAX_BUFFERED_BODY_BYTES as u64);
    let mut buffered = BytesMut::with_capacity(expected as usize);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffered.extend_from_slice(&data);
        }
        if buffered.len() > MAX_BUFFERED_BODY_BYTES {
            return Ok(PartiallyReadBody { buffered: buffered.freeze(), remainder: Some(body) });
        }
    }
    Ok(PartiallyReadBody { buffered: buffered.freeze(), remainder: None })
}
