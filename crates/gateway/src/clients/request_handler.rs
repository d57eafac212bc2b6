//! Handling of one client request: reads it, submits it to the decision core and waits for its final answer.

use crate::bodies::buffering::read_beginning;
use crate::bodies::memory::BodyMemory;
use crate::bodies::size::{MAX_BUFFERED_BODY_BYTES, MAX_UNRESERVED_BODY_BYTES};
use crate::bodies::upload::{ForwardingMemory, Upload};
use crate::clients::connection::ClientConnection;
use crate::clients::disconnect::{wait_for_disconnect, DisconnectGuard};
use crate::clients::memory_wait::MemoryWait;
use crate::clients::request_error::RequestError;
use crate::clients::request_head::RequestHeadParser;
use crate::clients::response::{
    announce_close, answer_response, error_response, text_response, ResponseBody,
};
use crate::clients::stream::ClientStream;
use crate::driver::decision_driver::DecisionDriver;
use crate::driver::request::{Answer, SubmittedRequest};
use crate::network::headers::{self, InvalidHeader};
use crate::operations::request_counts::RequestCounterGuard;
use crate::operations::request_events::RequestEvent;
use crate::servers::attempt::OutgoingRequest;
use grebehook_core::RequestId;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

/// Maximum length of a request body.
const MAX_REQUEST_BODY_BYTES: u64 = 32 << 20;
/// HTTP path of the platform's health check of the gateway.
const HEALTH_PATH: &str = "/_health";

/// Handles client requests.
pub struct RequestHandler {
    driver: Rc<DecisionDriver>,
    /// Parses request heads.
    head_parser: RequestHeadParser,
    /// Memory for the parts of request bodies that are kept.
    body_memory: BodyMemory,
}

/// A response, and whether its connection may be reused.
struct HandledRequest {
    response: Response<ResponseBody>,
    /// Whether the connection must close, because the beginning of the next request could not be located.
    must_close: bool,
}

/// A request that has received its final answer.
struct AnsweredRequest {
    answer: Answer,
    counter: RequestCounterGuard,
    body: Rc<Upload>,
}

impl RequestHandler {
    /// Creates a handler that buffers request bodies in at most `body_memory_bytes` of memory, or enough for
    /// one body if that is more.
    pub fn new(
        driver: Rc<DecisionDriver>,
        head_parser: RequestHeadParser,
        body_memory_bytes: usize,
    ) -> RequestHandler {
        let body_memory = BodyMemory::new(body_memory_bytes.max(MAX_BUFFERED_BODY_BYTES));
        RequestHandler { driver, head_parser, body_memory }
    }

    /// Changes the memory for request bodies, which is enough for one body at least.
    pub fn set_body_memory(&self, bytes: usize) {
        self.body_memory.resize(bytes.max(MAX_BUFFERED_BODY_BYTES));
    }

    /// Returns the response to a request.
    pub async fn respond(
        &self,
        client: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let body_length = request.body().size_hint().exact();
        let HandledRequest { mut response, must_close } = self.handle(client, request).await;
        response.body_mut().mark_streaming(client);
        client.end_request(body_length.unwrap_or(0) as usize);
        if must_close {
            announce_close(&mut response);
        }
        response
    }

    /// Returns the response to a request, and whether its connection must close.
    async fn handle(&self, client: &Rc<ClientConnection>, request: Request<Incoming>) -> HandledRequest {
        let has_body = !request.body().is_end_stream();
        if request.uri().path() == HEALTH_PATH {
            client.record_request();
            return HandledRequest { response: text_response(StatusCode::OK, ""), must_close: has_body };
        }
        // Only hyper determines where a chunked body ends in the bytes of the connection.
        let is_chunked = request.body().size_hint().exact().is_none();
        let request_id: Box<str> =
            headers::single_text(request.headers(), headers::REQUEST_ID).unwrap_or("").into();
        match self.answer(client, request).await {
            Ok(AnsweredRequest { answer, counter, body }) => {
                if body.has_failed() {
                    self.driver.record_event(RequestEvent::BodyIncomplete, request_id.as_bytes());
                }
                // The rest of a body that is no longer needed is discarded rather than parsed as a request.
                let must_discard_input = !body.is_read_to_end() || !client.stream.can_read_next_request();
                client.set_must_discard_input(must_discard_input);
                HandledRequest {
                    response: answer_response(answer, counter, request_id),
                    must_close: is_chunked || must_discard_input,
                }
            }
            Err(error) => {
                if let Some(event) = event_of(&error) {
                    self.driver.record_event(event, request_id.as_bytes());
                }
                // The rest of the body is not read, so no further request can be located after it.
                let requires_close =
                    matches!(error, RequestError::AmbiguousBodyLength | RequestError::ClientDisconnected);
                let must_close = has_body || requires_close;
                client.set_must_discard_input(must_close);
                HandledRequest { response: error_response(&error), must_close }
            }
        }
    }

    /// Reads a request, submits it to the decision core and waits for its final answer.
    async fn answer(
        &self,
        client: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Result<AnsweredRequest, RequestError> {
        let (head, body) = request.into_parts();
        check_body_length(&client.stream, &head.headers)?;
        let request_head = self.head_parser.parse(&head.method, &head.headers)?;
        let client_timeout = Duration::from_micros(request_head.client_timeout);
        let body = Rc::new(self.read_body(client, body, client_timeout).await?);
        if head.method == Method::GET && body.length() != Some(0) {
            return Err(InvalidHeader(CONTENT_LENGTH).into());
        }
        let request_id = headers::single(&head.headers, headers::REQUEST_ID)?.clone();
        let outgoing = outgoing_request(head, body.clone(), client.stream.clone());
        if (outgoing.client_has_disconnected)() {
            return Err(RequestError::ClientDisconnected);
        }
        let submitted = self.driver.submit(request_id, request_head, outgoing, client.stream.clone());
        let SubmittedRequest { id, answer, counter } = submitted.ok_or(RequestError::DuplicateId)?;
        client.begin_request();
        let answer = self.wait_for_answer(client, id, &body, answer).await;
        Ok(AnsweredRequest { answer, counter, body })
    }

    /// Waits until a request has its final answer or its client disconnects. hyper drops this future when it
    /// finds the connection closed.
    async fn wait_for_answer(
        &self,
        client: &ClientConnection,
        id: RequestId,
        body: &Upload,
        answer: oneshot::Receiver<Answer>,
    ) -> Answer {
        let disconnect_guard = DisconnectGuard::new(&self.driver, id);
        tokio::select! {
            biased;
            answer = answer => answer.unwrap_or(Answer::Failed),
            // The client may have closed only its sending side and still be reading.
            () = wait_for_disconnect(&client.stream, body) => disconnect_guard.report(),
        }
    }

    /// Reserves memory and reads a short body as far as memory allows, or the beginning of a longer one. Fails if that
    /// takes until the deadline for receiving the request, or too much of the client's time.
    async fn read_body(
        &self,
        client: &ClientConnection,
        body: Incoming,
        client_timeout: Duration,
    ) -> Result<Upload, RequestError> {
        if body.size_hint().exact().is_some_and(|length| length > MAX_REQUEST_BODY_BYTES) {
            return Err(RequestError::BodyTooLarge);
        }
        if body.is_end_stream() {
            return Ok(Upload::empty());
        }
        let length = body.size_hint().exact();
        let memory = self.reserve_forwarding_memory(client, length, client_timeout).await;
        let memory = memory.ok_or(RequestError::NoMemoryForBody)?;
        let deadline = client.request_deadline().into();
        let spare_memory = self.body_memory.spare();
        let beginning = timeout_at(deadline, read_beginning(body, &spare_memory)).await;
        let beginning = beginning.ok().and_then(Result::ok).ok_or(RequestError::BodyIncomplete)?;
        let stream = client.stream.clone();
        let client_has_disconnected = move || stream.has_disconnected();
        Ok(Upload::new(beginning, length, memory, &self.body_memory, client_has_disconnected))
    }

    /// Reserves memory for a body that may have to be forwarded as it arrives. Returns `None` if it is not available in
    /// time.
    async fn reserve_forwarding_memory(
        &self,
        client: &ClientConnection,
        length: Option<u64>,
        client_timeout: Duration,
    ) -> Option<ForwardingMemory> {
        if length.is_some_and(|length| length <= MAX_UNRESERVED_BODY_BYTES as u64) {
            return Some(ForwardingMemory::default());
        }
        MemoryWait::new(client, &self.driver, length, client_timeout).reserve(&self.body_memory).await
    }
}

/// Returns the event that an error is counted as; `None` for a request that is no proper one.
fn event_of(error: &RequestError) -> Option<RequestEvent> {
    match error {
        RequestError::NoMemoryForBody => Some(RequestEvent::NoMemoryForBody),
        RequestError::DuplicateId => Some(RequestEvent::RepeatedId),
        RequestError::BodyIncomplete => Some(RequestEvent::BodyIncomplete),
        RequestError::ClientDisconnected => Some(RequestEvent::ClientGone),
        RequestError::Header(_)
        | RequestError::WrongMethod
        | RequestError::BodyTooLarge
        | RequestError::AmbiguousBodyLength => None,
    }
}

/// Checks that only one header defines the length of the body. If both are present, hyper drops one of them,
/// so the check relies on the stream, which scans the raw bytes.
fn check_body_length(stream: &ClientStream, headers: &HeaderMap) -> Result<(), RequestError> {
    let is_ambiguous = match stream.framing() {
        Some(framing) => framing.is_ambiguous(),
        None => headers.contains_key(TRANSFER_ENCODING),
    };
    if is_ambiguous {
        return Err(RequestError::AmbiguousBodyLength);
    }
    Ok(())
}

/// Returns a client's request as it is forwarded to servers.
fn outgoing_request(head: request::Parts, body: Rc<Upload>, stream: Rc<ClientStream>) -> OutgoingRequest {
    let mut end_to_end_headers = head.headers;
    headers::remove_hop_by_hop(&mut end_to_end_headers);
    end_to_end_headers.remove(EXPECT);
    let uri = match head.uri.path_and_query().filter(|_| head.uri.authority().is_some()) {
        Some(path) => Uri::from(path.clone()),
        None => head.uri,
    };
    let incoming_body = body.clone();
    // Until a streamed body has been read completely, the end of the connection cannot be read either.
    let client_has_disconnected = move || {
        if incoming_body.is_read_to_end() {
            stream.has_disconnected()
        } else {
            stream.is_read_closed()
        }
    };
    OutgoingRequest {
        method: head.method,
        uri,
        headers: end_to_end_headers,
        body,
        client_has_disconnected: Rc::new(client_has_disconnected),
    }
}
