//! Responses to clients: a server's response, or one of the gateway's own.

use crate::bodies::download::ResponseContent;
use crate::bodies::error::BodyError;
use crate::clients::connection::ClientConnection;
use crate::clients::request_error::RequestError;
use crate::driver::request::Answer;
use crate::operations::request_counts::{RequestCounterGuard, RequestOutcome};
use bytes::Bytes;
use grebehook_core::Micros;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Response, StatusCode, Version};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

/// The text of a rejection.
const REJECTED_TEXT: &str = "refused\n";
/// The text of a failure.
const FAILED_TEXT: &str = "failed\n";
/// The text where the client's time ran out without an answer of the decision core.
const TIMED_OUT_TEXT: &str = "no answer in time\n";
/// The least wait that a rejection advises.
const MIN_RETRY_AFTER: Micros = 1_000;

/// The body of a response, handed to hyper in small parts. The request is counted as ended when its body is.
pub struct ResponseBody {
    /// What is left of the body.
    content: ResponseContent,
    /// Counts the request, until it has ended; `None` for one that was not accepted.
    request_counter: Option<RequestCounterGuard>,
    /// The client's connection, if the response is forwarded to it as it arrives.
    streaming_to: Option<Rc<ClientConnection>>,
}

impl ResponseBody {
    /// A body that is not counted.
    fn new(content: ResponseContent) -> ResponseBody {
        ResponseBody { content, request_counter: None, streaming_to: None }
    }

    /// Marks the client's connection as streaming for as long as the body is forwarded, if it is.
    pub fn attach(&mut self, client: &Rc<ClientConnection>) {
        if let ResponseContent::Forwarded(_) = self.content {
            client.begin_streaming();
            self.streaming_to = Some(client.clone());
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let chunk = ready!(self.content.poll_chunk(cx));
        if let (Some(Err(_)), Some(counter)) = (&chunk, &self.request_counter) {
            counter.set_outcome(RequestOutcome::Failed);
        }
        if self.content.is_complete() {
            self.request_counter.take();
        }
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_complete()
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

/// A response of the gateway's own, with a line of text.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::new(ResponseContent::Buffered(text.into())));
    *response.status_mut() = status;
    response
}

/// The response to a request that is not accepted.
pub fn error_response(error: &RequestError) -> Response<ResponseBody> {
    text_response(error.status(), format!("{error}\n"))
}

/// The response with a request's final answer.
pub fn answer_response(answer: Answer, request_counter: RequestCounterGuard) -> Response<ResponseBody> {
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
    response
}

/// Announces that the connection closes after a response.
pub fn announce_close(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// A server's response as the gateway's own.
fn served_response(served: Response<ResponseContent>) -> Response<ResponseBody> {
    let (mut head, content) = served.into_parts();
    head.version = Version::HTTP_11;
    Response::from_parts(head, ResponseBody::new(content))
}

/// A rejection; repeating the request is harmless, after a time if one is advised.
fn rejection_response(retry_after: Option<Micros>) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, REJECTED_TEXT);
    if let Some(retry_after) = retry_after {
        let seconds = retry_after.max(MIN_RETRY_AFTER) as f64 / 1e6;
        let seconds = HeaderValue::from_str(&format!("{seconds:.3}"));
        response.headers_mut().extend(seconds.ok().map(|seconds| (RETRY_AFTER, seconds)));
    }
    response
}
