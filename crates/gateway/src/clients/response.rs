//! Responses to clients: those of servers and those that the gateway generates.

use crate::bodies::download::{BufferedContent, ResponseContent};
use crate::bodies::error::BodyError;
use crate::clients::connection::ClientConnection;
use crate::clients::request_error::RequestError;
use crate::driver::request::Answer;
use crate::operations::request_counts::{RequestCounterGuard, RequestOutcome};
use crate::operations::request_events::RequestEvent;
use bytes::Bytes;
use grebehook_core::Micros;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode, Version};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// Body of a response to a rejected request.
const REJECTED_TEXT: &str = "refused\n";
/// Body of a response to a failed request.
const FAILED_TEXT: &str = "failed\n";
/// Body of a response where the client timeout expired before the decision core answered.
const TIMED_OUT_TEXT: &str = "no answer in time\n";
/// Lower bound of the `Retry-After` of a rejection, in microseconds.
const MIN_RETRY_AFTER: Micros = 1_000;

/// The body of a response, passed to hyper in small chunks. The request counts as finished when its response
/// body has been passed on completely or is dropped.
pub struct ResponseBody {
    /// The part of the body that has not been passed to hyper yet.
    content: ResponseContent,
    /// Counts the request until it is finished; `None` for a request that was not accepted.
    request_counter: Option<RequestCounterGuard>,
    /// Id that the client assigned to the request, for the log.
    request_id: Box<str>,
    /// The client connection, if the response is streamed.
    streaming_to: Option<Rc<ClientConnection>>,
    /// The error that ends the body, until what was written before it has been flushed.
    failure: Option<BodyError>,
}

impl ResponseBody {
    /// Creates the body of a response to a request that is not counted.
    fn new(content: ResponseContent) -> ResponseBody {
        ResponseBody {
            content,
            request_counter: None,
            request_id: Box::default(),
            streaming_to: None,
            failure: None,
        }
    }

    /// Marks the client connection as streaming until this body is dropped, if the body is streamed.
    pub fn mark_streaming(&mut self, client: &Rc<ClientConnection>) {
        if let ResponseContent::Streamed(_) = self.content {
            client.begin_streaming();
            self.streaming_to = Some(client.clone());
        }
    }

    /// Polls for the next chunk of the content. An error ends the content, and frees what it holds.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        let chunk = ready!(self.content.poll_chunk(cx));
        if let Some(Err(error)) = &chunk {
            if let Some(counter) = &self.request_counter {
                counter.set_outcome(RequestOutcome::Failed);
                counter.record_event(event_of(error), self.request_id.as_bytes(), Some(error));
            }
        }
        if let (Some(Ok(_)), Some(client)) = (&chunk, &self.streaming_to) {
            client.stream.expect_flush();
        }
        match chunk.transpose() {
            Ok(data) => Poll::Ready(data),
            Err(error) => {
                self.failure = Some(error);
                self.content = ResponseContent::Buffered(BufferedContent::default());
                Poll::Ready(None)
            }
        }
    }

    /// Polls for the time to report the error that ends the body. hyper drops what it has not written by then, and the
    /// client needs the beginning of the response to tell that it is not whole.
    fn poll_failure(&mut self, error: BodyError, cx: &mut Context<'_>) -> Poll<BodyError> {
        let is_flushed =
            self.streaming_to.as_ref().is_none_or(|client| client.stream.poll_flushed(cx).is_ready());
        if is_flushed {
            return Poll::Ready(error);
        }
        self.failure = Some(error);
        Poll::Pending
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let chunk = if self.failure.is_some() { None } else { ready!(self.poll_chunk(cx)) };
        if self.content.is_complete() {
            self.request_counter.take();
        }
        if let Some(error) = self.failure.take() {
            let error = ready!(self.poll_failure(error, cx));
            return Poll::Ready(Some(Err(error)));
        }
        Poll::Ready(chunk.map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_complete() && self.failure.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(client) = &self.streaming_to {
            client.end_streaming();
        }
    }
}

/// Returns the event that an error of an answer's body is counted as.
fn event_of(error: &BodyError) -> RequestEvent {
    match error {
        BodyError::Late => RequestEvent::AnswerCutOff,
        BodyError::Read(_)
        | BodyError::Stalled
        | BodyError::TooSlow
        | BodyError::ClientDisconnected
        | BodyError::AlreadyForwarded
        | BodyError::AttemptEnded => RequestEvent::AnswerBroken,
    }
}

/// Returns a response generated by the gateway, with `text` as its body.
pub fn text_response(status: StatusCode, text: impl AsRef<[u8]>) -> Response<ResponseBody> {
    let content = BufferedContent::new(text.as_ref().into(), None);
    let mut response = Response::new(ResponseBody::new(ResponseContent::Buffered(content)));
    *response.status_mut() = status;
    response
}

/// Returns the response to a request that is not accepted.
pub fn error_response(error: &RequestError) -> Response<ResponseBody> {
    text_response(error.status(), format!("{error}\n"))
}

/// Returns the response that conveys the final answer to a request.
pub fn answer_response(
    answer: Answer,
    request_counter: RequestCounterGuard,
    request_id: Box<str>,
) -> Response<ResponseBody> {
    request_counter.set_outcome(match answer {
        Answer::Served(_) => RequestOutcome::Served,
        Answer::Rejected(_) => RequestOutcome::Rejected,
        Answer::Failed | Answer::TimedOut => RequestOutcome::Failed,
    });
    let mut response = match answer {
        Answer::Served(served) => served_response(served),
        Answer::Rejected(retry_after) => rejection_response(retry_after),
        Answer::Failed => text_response(StatusCode::BAD_GATEWAY, FAILED_TEXT),
        Answer::TimedOut => text_response(StatusCode::GATEWAY_TIMEOUT, TIMED_OUT_TEXT),
    };
    response.body_mut().request_counter = Some(request_counter);
    response.body_mut().request_id = request_id;
    response
}

/// Announces in a response that the connection closes after it.
pub fn announce_close(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Converts a server's response into the response to the client.
fn served_response(served: Response<ResponseContent>) -> Response<ResponseBody> {
    let (mut head, content) = served.into_parts();
    head.version = Version::HTTP_11;
    Response::from_parts(head, ResponseBody::new(content))
}

/// Returns the response to a rejected request. The request may be retried safely, after `retry_after` if that
/// is given.
fn rejection_response(retry_after: Option<Micros>) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, REJECTED_TEXT);
    if let Some(retry_after) = retry_after {
        let seconds = retry_after.max(MIN_RETRY_AFTER) as f64 / 1e6;
        let seconds = HeaderValue::from_str(&format!("{seconds:.3}"));
        response.headers_mut().extend(seconds.ok().map(|seconds| (RETRY_AFTER, seconds)));
    }
    response
}
