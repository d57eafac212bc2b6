//! Sends attempts over the connections of a pool and reads their responses.

use crate::bodies::buffering::{read_up_to_limit, PartiallyReadBody};
use crate::bodies::download::{Download, ResponseContent};
use crate::bodies::size::{FORWARDING_BUFFER_BYTES, MAX_BUFFERED_BODY_BYTES};
use crate::bodies::upload::RequestBody;
use crate::network::headers;
use crate::servers::attempt::{AttemptConnection, AttemptDeadlines, AttemptResponse, OutgoingRequest};
use crate::servers::connection::{ServerConnection, WriteCondition};
use crate::servers::pool::{Pool, PooledConnection};
use bytes::Bytes;
use grebehook_core::{AttemptStatus, ServerId};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout_at};

/// Longest response that is forwarded. Servers answer with more than they accept.
const MAX_RESPONSE_BODY_BYTES: u64 = 64 << 20;

/// Sends attempts over the connections of a pool.
pub struct Upstream {
    /// The servers and the connections to them.
    pub pool: Pool,
    /// Memory for responses that are forwarded as they arrive, one permit each.
    body_memory: Arc<Semaphore>,
    /// The most units that a request can take.
    max_units: f64,
}

/// One attempt: the request and its destination.
struct Attempt<'a> {
    /// The server.
    server: ServerId,
    /// Shows the owner of the attempt its connection.
    connection: &'a AttemptConnection,
    /// The request.
    request: &'a OutgoingRequest,
    /// Its time limits.
    times: AttemptDeadlines,
    /// Counts the attempts that have been written completely.
    written_counter: Option<&'a Rc<Cell<u64>>>,
}

/// The connection had ended before the first byte of the request was written to it.
struct ConnectionWasClosed;

/// The body of a response, as far as it was read before its head is passed on.
enum ReceivedBody {
    /// Read completely.
    Complete(Bytes),
    /// Too long to be buffered, with the memory that forwarding it takes.
    Partial {
        /// What has been read.
        buffered: Bytes,
        /// What the server is still sending.
        remainder: Incoming,
        /// Its part of the memory for forwarding.
        body_memory: OwnedSemaphorePermit,
    },
}

impl Upstream {
    /// Sends over a pool, with this much memory for responses that are forwarded as they arrive.
    pub fn new(pool: Pool, body_memory_bytes: usize, max_units: f64) -> Upstream {
        let max_forwarded = (body_memory_bytes / FORWARDING_BUFFER_BYTES).max(1);
        Upstream { pool, body_memory: Arc::new(Semaphore::new(max_forwarded)), max_units }
    }

    /// Sends a request once, within its time limits. `written_counter` is incremented once it is written
    /// completely.
    pub async fn exchange(
        self: &Rc<Self>,
        server: ServerId,
        connection: &AttemptConnection,
        request: &OutgoingRequest,
        times: AttemptDeadlines,
        written_counter: Option<&Rc<Cell<u64>>>,
    ) -> AttemptResponse {
        let attempt = Attempt { server, connection, request, times, written_counter };
        while let Some(idle) = self.pool.take_idle(server) {
            // A surplus response to the last request has arrived by then, and closed the connection.
            if let Some(delay) = idle.remaining_reuse_delay() {
                sleep(delay).await;
            }
            if !attempt.write_condition().holds() {
                self.pool.restore(server, idle);
                return AttemptResponse::without_response(AttemptStatus::NotSent);
            }
            if let Ok(response) = self.send_over(idle, &attempt).await {
                return response;
            }
        }
        if !attempt.write_condition().holds() {
            return AttemptResponse::without_response(AttemptStatus::NotSent);
        }
        let connected = match timeout_at(times.send_by.into(), self.pool.connect(server)).await {
            Ok(Ok(connected)) => connected,
            Ok(Err(status)) => return AttemptResponse::without_response(status),
            Err(_) => return AttemptResponse::without_response(AttemptStatus::NotSent),
        };
        if !attempt.write_condition().holds() {
            self.pool.restore(server, connected);
            return AttemptResponse::without_response(AttemptStatus::NotSent);
        }
        let connection = connected.connection.clone();
        let response = self.send_over(connected, &attempt).await;
        response.unwrap_or_else(|ConnectionWasClosed| {
            let is_server_blamed = !connection.has_refused_write();
            let status = if is_server_blamed { AttemptStatus::ConnectFailed } else { AttemptStatus::NotSent };
            AttemptResponse::without_response(status)
        })
    }

    /// Sends an attempt over a connection and reads its response.
    async fn send_over(
        self: &Rc<Self>,
        mut pooled: PooledConnection,
        attempt: &Attempt<'_>,
    ) -> Result<AttemptResponse, ConnectionWasClosed> {
        let write_condition = attempt.write_condition();
        let request = attempt.to_request(&pooled.connection);
        attempt.connection.set(Some(pooled.connection.clone()));
        pooled.connection.begin_request(attempt.request.body.length());
        pooled.connection.write_only_if(write_condition);
        pooled.connection.count_written(attempt.written_counter);
        let Ok(response) = pooled.sender.try_send_request(request).await else {
            pooled.connection.close();
            return attempt.end_without_response(&pooled.connection);
        };
        pooled.connection.response_received();
        let (head, body) = response.into_parts();
        let Some(body) = self.read_response_body(&head, body).await else {
            pooled.connection.close();
            return Ok(AttemptResponse::without_response(AttemptStatus::ConnectionReset));
        };
        Ok(self.complete(attempt.server, pooled, head, body))
    }

    /// Reads the body of a response as far as it is buffered. A longer one waits for the memory to forward it, and
    /// so does its server. `None` if the response is not valid.
    async fn read_response_body(&self, head: &response::Parts, body: Incoming) -> Option<ReceivedBody> {
        let is_ok = head.status == StatusCode::OK;
        // An interim response, or one whose end cannot be determined, is not valid.
        if head.status.is_informational() || is_ok && !headers::has_unambiguous_body_end(&head.headers) {
            return None;
        }
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > MAX_RESPONSE_BODY_BYTES) {
            return None;
        }
        let is_known_long = length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64);
        let PartiallyReadBody { buffered, remainder } = if is_known_long {
            PartiallyReadBody { buffered: Bytes::new(), remainder: Some(body) }
        } else {
            read_up_to_limit(body).await.ok()?
        };
        let Some(remainder) = remainder else { return Some(ReceivedBody::Complete(buffered)) };
        let body_memory = self.body_memory.clone().acquire_owned().await.ok()?;
        // Only successful responses are forwarded.
        is_ok.then_some(ReceivedBody::Partial { buffered, remainder, body_memory })
    }

    /// Evaluates a response, and returns its connection to the pool once its body is complete.
    fn complete(
        self: &Rc<Self>,
        server: ServerId,
        pooled: PooledConnection,
        head: response::Parts,
        body: ReceivedBody,
    ) -> AttemptResponse {
        let status = attempt_status(&head);
        let reported_usage = headers::usage(&head.headers);
        let load_report = headers::load_report(head.headers.get(headers::LOAD_REPORT));
        let charged_units = headers::charged_units(&head.headers, self.max_units);
        let connection = pooled.connection.clone();
        let upstream = self.clone();
        let release = move || {
            if pooled.connection.request_written() {
                upstream.pool.keep_idle(server, pooled);
            } else {
                pooled.connection.close();
            }
        };
        let content = match body {
            ReceivedBody::Complete(body) => {
                release();
                ResponseContent::Buffered(body)
            }
            ReceivedBody::Partial { buffered, remainder, body_memory } => ResponseContent::Forwarded(
                Download::new(buffered, remainder, connection, Box::new(release), body_memory),
            ),
        };
        let is_ok = status == AttemptStatus::Ok;
        AttemptResponse {
            status,
            reported_usage,
            settled_units: charged_units.filter(|_| is_ok),
            load_report,
            response: is_ok.then(|| response_to_client(head, content)),
        }
    }
}

impl Attempt<'_> {
    /// What has to hold for it to be sent.
    fn write_condition(&self) -> WriteCondition {
        WriteCondition {
            send_by: self.times.send_by,
            prepared_at: Instant::now(),
            client_has_disconnected: self.request.client_has_disconnected.clone(),
        }
    }

    /// The request as it is written to a connection.
    fn to_request(&self, connection: &Rc<ServerConnection>) -> Request<RequestBody> {
        let mut request = Request::new(RequestBody::new(&self.request.body, connection.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        *request.headers_mut() = self.request.headers.clone();
        let remaining = self.times.answer_by.saturating_duration_since(Instant::now());
        let remaining_ms = HeaderValue::from(remaining.as_millis() as u64);
        request.headers_mut().insert(headers::TIMEOUT_MS, remaining_ms);
        request
    }

    /// How the attempt ended without a response, by how much of the request had been written.
    fn end_without_response(
        &self,
        connection: &ServerConnection,
    ) -> Result<AttemptResponse, ConnectionWasClosed> {
        let status = if self.request.body.has_failed() {
            // The client is at fault, not the server.
            AttemptStatus::NotSent
        } else if connection.request_written() {
            AttemptStatus::ConnectionReset
        } else if connection.has_begun_writing() {
            AttemptStatus::ConnectFailed
        } else {
            self.connection.set(None);
            return Err(ConnectionWasClosed);
        };
        Ok(AttemptResponse::without_response(status))
    }
}

/// What a response means for its request.
fn attempt_status(head: &response::Parts) -> AttemptStatus {
    match head.status {
        StatusCode::OK => AttemptStatus::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
            if headers::is_rejection(&head.headers) =>
        {
            AttemptStatus::Rejected
        }
        _ => AttemptStatus::Error,
    }
}

/// A server's response as it is passed on to the client.
fn response_to_client(mut head: response::Parts, content: ResponseContent) -> Response<ResponseContent> {
    headers::remove_hop_by_hop(&mut head.headers);
    head.headers.remove(headers::LOAD_REPORT);
    Response::from_parts(head, content)
}

#[cfg(test)]
mod tests;
