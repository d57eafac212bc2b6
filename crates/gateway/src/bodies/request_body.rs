//! The body of one attempt.

use crate::bodies::block_buffer::split_block;
use crate::bodies::error::BodyError;
use crate::bodies::upload::{AttemptNumber, Upload};
use crate::servers::connection::ServerConnection;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::time::{sleep_until, Sleep};

/// Time from the beginning of an attempt within which a server that rejects a request on its head does so. Until
/// then, no part of the body is forwarded that could not be sent again.
const REJECTION_GRACE: Duration = Duration::from_millis(20);

/// The body of one attempt, as hyper writes it to a server's connection. hyper may keep it for longer than the
/// attempt lasts; from then on, it ends with an error.
pub struct RequestBody {
    /// The body that this attempt sends.
    upload: Rc<Upload>,
    /// The attempt that this body belongs to.
    attempt: AttemptNumber,
    /// Number of bytes of the body that the attempt has sent.
    position: usize,
    /// The part of the newest data from the client that has not been passed to hyper.
    rest: Bytes,
    /// Time at which the attempt began to use its connection.
    began_at: Instant,
    /// Expires [`REJECTION_GRACE`] after `began_at`; `None` until that is waited for.
    rejection_timer: Option<Pin<Box<Sleep>>>,
    /// The connection to the server, which is open for as long as the attempt lasts.
    connection: Rc<ServerConnection>,
}

impl RequestBody {
    /// Creates the body of an attempt over a connection.
    pub fn new(upload: &Rc<Upload>, connection: Rc<ServerConnection>) -> RequestBody {
        RequestBody {
            upload: upload.clone(),
            attempt: upload.begin_attempt(),
            position: 0,
            rest: Bytes::new(),
            began_at: Instant::now(),
            rejection_timer: None,
            connection,
        }
    }

    /// Polls for the next data of the body; `None` marks its end.
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if self.connection.is_closed() {
            return Poll::Ready(Some(Err(BodyError::AttemptEnded)));
        }
        let data = if self.rest.is_empty() {
            match self.upload.kept_part_from(self.position) {
                Some(part) => Some(Ok(part)),
                None => {
                    if !self.upload.keeps_next_data() {
                        ready!(self.poll_rejection_grace(cx));
                    }
                    let data = ready!(self.upload.poll_remainder(self.attempt, cx));
                    data.map(|data| data.map(|data| self.keep_rest(data)))
                }
            }
        } else {
            Some(Ok(split_block(&mut self.rest)))
        };
        if let Some(Ok(data)) = &data {
            self.position += data.len();
        }
        let is_end = self.rest.is_empty() && self.upload.is_forwarded_by(self.attempt, self.position);
        if data.is_none() || is_end {
            self.connection.record_body_end();
            self.upload.notify_forwarded();
        }
        Poll::Ready(data)
    }

    /// Returns the first block of data and keeps the rest.
    fn keep_rest(&mut self, mut data: Bytes) -> Bytes {
        let first = split_block(&mut data);
        self.rest = data;
        first
    }

    /// Waits until a server that rejects the request on its head has had the time to do so.
    fn poll_rejection_grace(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let grace_end = self.began_at + REJECTION_GRACE;
        let timer = self.rejection_timer.get_or_insert_with(|| Box::pin(sleep_until(grace_end.into())));
        timer.as_mut().poll(cx)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let data = ready!(self.poll_data(cx));
        Poll::Ready(data.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.upload.length() == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.upload.length().map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.upload.end_attempt(self.attempt);
    }
}
