//! What a client is answered: a server's answer, a refusal, a failure, or what is wrong with its request.

use crate::bodies::download::ResponseContent;
use crate::bodies::error::BodyError;
use crate::clients::connection::ClientConnection;
use crate::clients::request_error::RequestError;
use crate::driver::request::Answer;
use crate::operations::request_counts::{RequestCounterGuard, RequestOutcome};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Instant;

/// What a client reads whose request is refused.
const REFUSED: &str = "refused\n";

/// A body that goes out piece by piece: hyper would copy it whole into its buffer, and keep that. A request
/// that was taken ends, and counts, with the body of its answer.
pub struct ResponseBody {
    /// What is left of it.
    pub body: ResponseContent,
    /// The request's place in the figures, until it has ended.
    pub taken: Option<RequestCounterGuard>,
    /// The client that it goes to, if it may take a while.
    pub client: Option<Rc<ClientConnection>>,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let piece = ready!(self.body.poll_chunk(cx));
        if let (Some(Err(_)), Some(taken)) = (&piece, &self.taken) {
            taken.set_outcome(RequestOutcome::Failed);
        }
        if self.body.is_complete() {
            self.taken.take();
        }
        Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_complete()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(client) = &self.client {
            client.answer_streaming.set(false);
            client.idle_since.set(Instant::now());
        }
    }
}

/// The response to a request that is not accepted.
pub fn error_response(error: &RequestError) -> Response<ResponseBody> {
    plain(error.status(), format!("{error}\n"))
}

/// An answer of our own, with a line of text.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody {
        body: ResponseContent::Buffered(text.into()),
        taken: None,
        client: None,
    });
    *response.status_mut() = status;
    response
}

/// The response to a request from its final answer.
pub fn reply(answer: Answer, taken: RequestCounterGuard) -> Response<ResponseBody> {
    taken.set_outcome(match answer {
        Answer::Served(_) => RequestOutcome::Served,
        Answer::Rejected(_) => RequestOutcome::Rejected,
        Answer::Failed | Answer::TimedOut => RequestOutcome::Failed,
    });
    let mut response = match answer {
        Answer::Served(served) => {
            let (mut head, body) = served.into_parts();
            head.version = hyper::Version::HTTP_11;
            Response::from_parts(head, ResponseBody { body, taken: None, client: None })
        }
        Answer::Rejected(wait) => {
            let mut response = plain(StatusCode::TOO_MANY_REQUESTS, REFUSED);
            if let Some(wait) = wait {
                let seconds = HeaderValue::from_str(&format!("{:.3}", wait.max(1_000) as f64 / 1e6));
                response.headers_mut().extend(seconds.ok().map(|s| (RETRY_AFTER, s)));
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        Answer::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
    };
    response.body_mut().taken = Some(taken);
    response
}
