//! The exchange of an attempt: sends the request over a pooled connection and reads its response.

use crate::bodies::buffering::{discard_short_body, BodyReader, PartiallyReadBody, ReadEnd};
use crate::bodies::download::{BufferedContent, Download, ReceivedBeginning, ResponseContent};
use crate::bodies::late_answer::{may_be_long, MIN_LONG_ANSWER_BYTES};
use crate::bodies::memory::BodyMemory;
use crate::bodies::request_body::RequestBody;
use crate::bodies::size::MAX_BUFFERED_BODY_BYTES;
use crate::network::headers;
use crate::servers::attempt::{AttemptConnection, AttemptDeadlines, AttemptOutcome, OutgoingRequest};
use crate::servers::connection::{ServerConnection, WriteCondition};
use crate::servers::pool::{ConnectionPool, PooledConnection};
use grebehook_core::{AttemptStatus, ServerId};
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout_at};

/// Maximum length of a response body. It exceeds the limit for request bodies, because servers send longer
/// bodies than they accept.
const MAX_RESPONSE_BODY_BYTES: u64 = 64 << 20;

/// Longest pause in which a server counts as still writing its response when the client's time is nearly over.
const MAX_WRITE_PAUSE: Duration = Duration::from_millis(450);

/// Sends attempts over the connections of a pool.
pub struct Upstream {
    /// Listed servers and the connections to them.
    pub pool: ConnectionPool,
    /// Memory for the parts of responses that are buffered.
    body_memory: BodyMemory,
    /// Maximum number of quota units that a request can use.
    max_units: f64,
}

/// One attempt: the request, its destination and its deadlines.
struct Attempt<'a> {
    server: ServerId,
    /// Gives the code that may abort the attempt access to its connection.
    connection: &'a AttemptConnection,
    request: &'a OutgoingRequest,
    deadlines: AttemptDeadlines,
    /// Incremented once the attempt has been written completely.
    written_counter: Option<&'a Rc<Cell<u64>>>,
}

/// Error of a connection that was closed before the first byte of the request was written to it.
struct ClosedBeforeWrite;

/// The part of a response body that is read before the response is evaluated.
enum ReceivedBody {
    /// The whole body.
    Complete(BufferedContent),
    /// The beginning of a body that is forwarded as it arrives.
    Beginning(ReceivedBeginning),
    /// The same, of a body of which nothing or nothing more had arrived when its client's time was over.
    Late(ReceivedBeginning),
}

impl Upstream {
    /// Creates an upstream over a pool. `body_memory_bytes` is the memory for buffered responses, and
    /// `max_units` the maximum number of quota units that a request can use.
    pub fn new(pool: ConnectionPool, body_memory_bytes: usize, max_units: f64) -> Upstream {
        Upstream { pool, body_memory: BodyMemory::new(body_memory_bytes), max_units }
    }

    /// Changes the limits on connections to servers and on the memory for buffered responses.
    pub fn set_limits(&self, connections: usize, body_memory_bytes: usize) {
        self.pool.set_limit(connections);
        self.body_memory.resize(body_memory_bytes);
    }

    /// Sends a request once within the deadlines and reads the response. Increments `written_counter` once
    /// the request has been written completely.
    pub async fn exchange(
        self: &Rc<Self>,
        server: ServerId,
        connection: &AttemptConnection,
        request: &OutgoingRequest,
        deadlines: AttemptDeadlines,
        written_counter: Option<&Rc<Cell<u64>>>,
    ) -> AttemptOutcome {
        let attempt = Attempt { server, connection, request, deadlines, written_counter };
        while let Some(idle) = self.pool.take_idle(server) {
            // If the server sends a surplus response to the previous request, it arrives within this delay
            // and closes the connection.
            if let Some(delay) = idle.remaining_reuse_delay() {
                sleep(delay).await;
            }
            if !attempt.write_condition().holds() {
                self.pool.release_unused(server, idle);
                return AttemptOutcome::without_response(AttemptStatus::NotSent);
            }
            if let Ok(outcome) = self.send_over(idle, &attempt).await {
                return outcome;
            }
        }
        if !attempt.write_condition().holds() {
            return AttemptOutcome::without_response(AttemptStatus::NotSent);
        }
        let connected = match timeout_at(deadlines.send_deadline.into(), self.pool.connect(server)).await {
            Ok(Ok(connected)) => connected,
            Ok(Err(status)) => return AttemptOutcome::without_response(status),
            Err(_) => return AttemptOutcome::without_response(AttemptStatus::NotSent),
        };
        if !attempt.write_condition().holds() {
            self.pool.release_unused(server, connected);
            return AttemptOutcome::without_response(AttemptStatus::NotSent);
        }
        let server_connection = connected.connection.clone();
        let outcome = self.send_over(connected, &attempt).await;
        outcome.unwrap_or_else(|ClosedBeforeWrite| {
            let server_closed_connection = !server_connection.write_refused();
            let status =
                if server_closed_connection { AttemptStatus::ConnectFailed } else { AttemptStatus::NotSent };
            AttemptOutcome::without_response(status)
        })
    }

    /// Sends an attempt over a connection and reads its response.
    async fn send_over(
        self: &Rc<Self>,
        mut pooled: PooledConnection,
        attempt: &Attempt<'_>,
    ) -> Result<AttemptOutcome, ClosedBeforeWrite> {
        let write_condition = attempt.write_condition();
        let request = attempt.to_request(&pooled.connection);
        attempt.connection.set(Some(pooled.connection.clone()));
        pooled.connection.begin_request(attempt.request.body.length());
        pooled.connection.set_write_condition(write_condition);
        pooled.connection.set_written_counter(attempt.written_counter);
        let Ok(response) = pooled.sender.try_send_request(request).await else {
            pooled.connection.close();
            return attempt.outcome_without_response(&pooled.connection);
        };
        pooled.connection.record_response_head();
        let (head, body) = response.into_parts();
        match self.read_response_body(attempt, &pooled.connection, &head, body).await {
            Ok(body) => Ok(self.evaluate_response(attempt, pooled, head, body)),
            Err(status) => {
                pooled.connection.close();
                Ok(AttemptOutcome::without_response(status))
            }
        }
    }

    /// Reads the body of a response, or the beginning of one that is long, finds no memory, or is still arriving when
    /// the client must receive something. Fails with the status of the attempt if the response is not valid or not whole
    /// in time.
    async fn read_response_body(
        &self,
        attempt: &Attempt<'_>,
        connection: &ServerConnection,
        head: &response::Parts,
        body: Incoming,
    ) -> Result<ReceivedBody, AttemptStatus> {
        let is_ok = head.status == StatusCode::OK;
        // An interim response and a successful response whose end cannot be determined are not valid.
        if head.status.is_informational() || is_ok && !headers::has_unambiguous_body_end(&head.headers) {
            return Err(AttemptStatus::ConnectionReset);
        }
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > MAX_RESPONSE_BODY_BYTES) {
            return Err(AttemptStatus::ConnectionReset);
        }
        if !is_ok {
            // Only successful responses are forwarded to the client.
            let is_short = discard_short_body(body).await.unwrap_or(false);
            let body = is_short.then(|| ReceivedBody::Complete(BufferedContent::default()));
            return body.ok_or(AttemptStatus::ConnectionReset);
        }
        let mut reader = BodyReader::new(body, &self.body_memory);
        let is_late = attempt.read_in_time(connection, &mut reader, length).await?;
        let PartiallyReadBody { buffered, reservation, remainder } = reader.into_beginning();
        let Some(remainder) = remainder else {
            return Ok(ReceivedBody::Complete(BufferedContent::new(buffered, reservation)));
        };
        let beginning = ReceivedBeginning { buffered, reservation, remainder, length };
        Ok(if is_late { ReceivedBody::Late(beginning) } else { ReceivedBody::Beginning(beginning) })
    }

    /// Evaluates a response. Returns its connection to the pool once the response body is complete, or closes
    /// it if the request was not written completely.
    fn evaluate_response(
        self: &Rc<Self>,
        attempt: &Attempt<'_>,
        pooled: PooledConnection,
        head: response::Parts,
        body: ReceivedBody,
    ) -> AttemptOutcome {
        let server = attempt.server;
        let status = classify_response(&head);
        let is_ok = status == AttemptStatus::Ok;
        let is_late = matches!(body, ReceivedBody::Late(_));
        let reported_usage = headers::reported_usage(&head.headers);
        let load_report = headers::load_report(head.headers.get(headers::LOAD_REPORT));
        let settled_units = headers::settled_units(&head.headers, self.max_units);
        let connection = pooled.connection.clone();
        let upstream = self.clone();
        let release_connection = move || {
            if pooled.connection.request_written() {
                upstream.pool.release(server, pooled);
            } else {
                pooled.connection.close();
            }
        };
        let content = match body {
            ReceivedBody::Complete(content) => {
                release_connection();
                ResponseContent::Buffered(content)
            }
            ReceivedBody::Beginning(beginning) | ReceivedBody::Late(beginning) => {
                let client_deadline = (!is_late).then(|| attempt.connection.client_deadline());
                let on_complete = Box::new(release_connection);
                ResponseContent::Streamed(Download::new(beginning, connection, client_deadline, on_complete))
            }
        };
        AttemptOutcome {
            status: if is_late { AttemptStatus::Timeout } else { status },
            reported_usage,
            settled_units: settled_units.filter(|_| is_ok),
            load_report,
            response: is_ok.then(|| response_to_client(head, content)),
        }
    }
}

impl Attempt<'_> {
    /// Returns the condition for writing the request, with the current time for the forwarded timeout.
    fn write_condition(&self) -> WriteCondition {
        WriteCondition {
            send_deadline: self.deadlines.send_deadline,
            timeout_computed_at: Instant::now(),
            client_has_disconnected: self.request.client_has_disconnected.clone(),
        }
    }

    /// Reads a response until it is whole, or has to be passed on. Returns whether its server had not begun it or had
    /// paused in it when the client's time was over. Fails if the response is broken, or is a short one that is not whole in
    /// time.
    async fn read_in_time(
        &self,
        connection: &ServerConnection,
        reader: &mut BodyReader<'_>,
        length: Option<u64>,
    ) -> Result<bool, AttemptStatus> {
        if length.is_some_and(|length| length <= MAX_BUFFERED_BODY_BYTES as u64) {
            return reader
                .read(MAX_BUFFERED_BODY_BYTES + 1, pending())
                .await
                .map(|_| false)
                .map_err(read_error);
        }
        self.connection.record_long_response();
        let is_known_long = length.is_some();
        let enough = if is_known_long { 1 } else { MAX_BUFFERED_BODY_BYTES + 1 };
        let end = reader.read(enough, self.connection.pass_on_due()).await.map_err(read_error)?;
        let is_writing =
            reader.received() >= MIN_LONG_ANSWER_BYTES && connection.time_since_read() < MAX_WRITE_PAUSE;
        if end != ReadEnd::Stopped || is_writing {
            return Ok(false);
        }
        self.connection.notify_late();
        let enough = if is_known_long { 1 } else { MIN_LONG_ANSWER_BYTES };
        let end = reader.read(enough, self.connection.latest_pass_on()).await.map_err(read_error)?;
        if end != ReadEnd::Stopped {
            return Ok(false);
        }
        let may_be_long = may_be_long(length, reader.received() as u64);
        may_be_long.then_some(true).ok_or(AttemptStatus::Timeout)
    }

    /// Builds the request for a connection, including the header with the forwarded timeout.
    fn to_request(&self, connection: &Rc<ServerConnection>) -> Request<RequestBody> {
        let mut request = Request::new(RequestBody::new(&self.request.body, connection.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.uri.clone();
        *request.headers_mut() = self.request.headers.clone();
        let remaining = self.deadlines.response_deadline.saturating_duration_since(Instant::now());
        let remaining_ms = HeaderValue::from(remaining.as_millis() as u64);
        request.headers_mut().insert(headers::TIMEOUT_MS, remaining_ms);
        request
    }

    /// Returns the outcome of an attempt without a response, according to how much of the request was
    /// written.
    fn outcome_without_response(
        &self,
        connection: &ServerConnection,
    ) -> Result<AttemptOutcome, ClosedBeforeWrite> {
        let status = if self.request.body.has_failed() {
            // The client caused the failure, not the server.
            AttemptStatus::NotSent
        } else if connection.request_written() {
            AttemptStatus::ConnectionReset
        } else if connection.has_begun_writing() {
            AttemptStatus::ConnectFailed
        } else {
            self.connection.set(None);
            return Err(ClosedBeforeWrite);
        };
        Ok(AttemptOutcome::without_response(status))
    }
}

/// Returns the status of an attempt whose response cannot be read.
fn read_error(_error: hyper::Error) -> AttemptStatus {
    AttemptStatus::ConnectionReset
}

/// Returns the status of an attempt that received a response.
fn classify_response(head: &response::Parts) -> AttemptStatus {
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

/// Builds the response to the client, without hop-by-hop headers and the load report.
fn response_to_client(mut head: response::Parts, content: ResponseContent) -> Response<ResponseContent> {
    headers::remove_hop_by_hop(&mut head.headers);
    head.headers.remove(headers::LOAD_REPORT);
    Response::from_parts(head, content)
}

#[cfg(test)]
mod tests;
