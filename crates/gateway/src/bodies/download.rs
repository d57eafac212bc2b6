//! The body of a response as it is sent to the client.

use crate::bodies::block_buffer::{split_block, BlockBuffer};
use crate::bodies::error::BodyError;
use crate::bodies::late_answer::{may_be_long, ClientDeadline, LateAnswerLimit};
use crate::bodies::memory::Reservation;
use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;
use crate::bodies::stall::StallTimeoutBody;
use crate::servers::connection::ServerConnection;
use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

/// Maximum time without data from a server in a long body.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum time without data from a server in a body that has not become long yet. A connection to a server that hangs is
/// kept for no longer.
const UNCERTAIN_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The body of a response.
pub enum ResponseContent {
    Buffered(BufferedContent),
    /// Forwarded as it arrives.
    Streamed(Box<Download>),
}

impl ResponseContent {
    /// Polls for the next chunk of the body; `None` marks the end.
    pub fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        match self {
            ResponseContent::Buffered(content) => Poll::Ready(content.data.remove_first().map(Ok)),
            ResponseContent::Streamed(download) => download.poll_chunk(cx),
        }
    }

    /// Returns whether no part of the body is left.
    pub fn is_complete(&self) -> bool {
        match self {
            ResponseContent::Buffered(content) => content.data.is_empty(),
            ResponseContent::Streamed(download) => {
                download.on_complete.is_none() && download.frame.is_empty()
            }
        }
    }

    /// Returns the length of the rest of the body, where it is known.
    pub fn size_hint(&self) -> SizeHint {
        match self {
            ResponseContent::Buffered(content) => SizeHint::with_exact(content.data.len() as u64),
            ResponseContent::Streamed(download) => download.size_hint(),
        }
    }
}

/// A complete body.
#[derive(Default)]
pub struct BufferedContent {
    /// The part that has not been passed on yet.
    pub data: BlockBuffer,
    /// The memory of the body; `None` for a very short one.
    _reservation: Option<Reservation>,
}

impl BufferedContent {
    /// Creates a body from its data and the memory reserved for it.
    pub fn new(data: BlockBuffer, reservation: Option<Reservation>) -> BufferedContent {
        BufferedContent { data, _reservation: reservation }
    }
}

/// The beginning of a body whose server is still sending the rest.
pub struct ReceivedBeginning {
    /// The part that has been read.
    pub buffered: BlockBuffer,
    /// The memory of `buffered`; `None` if it is very short.
    pub reservation: Option<Reservation>,
    /// The part that the server is still sending.
    pub remainder: Incoming,
    /// Length of the whole body, where it is known.
    pub length: Option<u64>,
}

/// A streamed response body. If it is dropped before its end, the connection to the server is closed.
pub struct Download {
    /// The unsent part of the prefix that was read before streaming began.
    buffered: BlockBuffer,
    /// The part of the last frame of `remainder` that has not been passed on.
    frame: Bytes,
    /// The part that the server is still sending.
    remainder: StallTimeoutBody,
    /// The connection to the server.
    connection: Rc<ServerConnection>,
    /// Returns the connection to its pool once the body is complete; `None` from then on.
    on_complete: Option<Box<dyn FnOnce()>>,
    /// Length of the whole body, where it is known.
    length: Option<u64>,
    /// Number of bytes of the body that the server has sent.
    received: u64,
    /// Ends a short body that is late; `None` for a body that was found to be long when its client's time was over.
    late_limit: Option<LateAnswerLimit>,
    /// The memory of the prefix.
    reservation: Option<Reservation>,
}

impl Download {
    /// Creates a body from its beginning and the connection on which the rest arrives. A short body has to be whole soon
    /// after `client_deadline`, if that is given. `on_complete` is called once all of the body has arrived.
    pub fn new(
        beginning: ReceivedBeginning,
        connection: Rc<ServerConnection>,
        client_deadline: Option<ClientDeadline>,
        on_complete: Box<dyn FnOnce()>,
    ) -> Box<Download> {
        let received = beginning.buffered.len() as u64;
        let stall_timeout = stall_timeout(beginning.length, received);
        let pause = connection.time_since_read();
        Box::new(Download {
            received,
            buffered: beginning.buffered,
            frame: Bytes::new(),
            remainder: StallTimeoutBody::paused(beginning.remainder, stall_timeout, pause),
            connection,
            on_complete: Some(on_complete),
            length: beginning.length,
            late_limit: client_deadline.map(LateAnswerLimit::new),
            reservation: beginning.reservation,
        })
    }

    /// Polls for the next chunk of the body; `None` marks the end.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(block) = self.buffered.remove_first() {
            return Poll::Ready(Some(Ok(block)));
        }
        self.reservation = None;
        if !self.frame.is_empty() {
            return Poll::Ready(Some(Ok(split_block(&mut self.frame))));
        }
        loop {
            let frame = match self.remainder.poll_frame(cx) {
                Poll::Ready(Ok(frame)) => frame,
                Poll::Ready(Err(error)) => return Poll::Ready(Some(Err(error))),
                Poll::Pending => {
                    let may_be_long = may_be_long(self.length, self.received);
                    let Some(late_limit) = &mut self.late_limit else { return Poll::Pending };
                    ready!(late_limit.poll_end(may_be_long, cx));
                    return Poll::Ready(Some(Err(BodyError::Late)));
                }
            };
            // hyper stops reading at the announced length, so the last data frame must be recognized as the
            // end.
            if frame.is_none() || self.remainder.is_end_stream() {
                self.complete();
            }
            match frame.map(Frame::into_data) {
                Some(Ok(data)) => {
                    self.received += data.len() as u64;
                    self.remainder.set_stall_timeout(stall_timeout(self.length, self.received));
                    self.frame = data;
                    return Poll::Ready(Some(Ok(split_block(&mut self.frame))));
                }
                // Trailers are not forwarded.
                Some(Err(_)) => {}
                None => return Poll::Ready(None),
            }
        }
    }

    /// Calls `on_complete` when the whole body has arrived; further calls have no effect.
    fn complete(&mut self) {
        if let Some(on_complete) = self.on_complete.take() {
            on_complete();
        }
    }

    /// Returns the length of the rest of the body, where it is known.
    fn size_hint(&self) -> SizeHint {
        match self.remainder.size_hint().exact() {
            Some(remaining) => {
                let unsent = self.buffered.len() + self.frame.len();
                SizeHint::with_exact(remaining + unsent as u64)
            }
            None => SizeHint::default(),
        }
    }
}

/// Returns the maximum time without data from a server in a body of this length, if that is known, of which so much has
/// been received.
fn stall_timeout(length: Option<u64>, received: u64) -> Duration {
    let is_long = length.unwrap_or(received) > MAX_BUFFERED_BODY_BYTES as u64;
    if is_long {
        STALL_TIMEOUT
    } else {
        UNCERTAIN_STALL_TIMEOUT
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        if self.on_complete.is_some() {
            self.connection.close();
        }
    }
}
