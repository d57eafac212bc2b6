//! Log lines about single requests: each attempt that ended without a whole response, each retry, each final answer that
//! is not a server's response, and each response that is passed on before it is whole.

use crate::network::line_limiter::LineLimiter;
use grebehook_core::{AnswerReason, AttemptStatus, Micros};
use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing::info;

/// What has come of a response.
#[derive(Clone, Copy, Default)]
pub struct ResponseProgress {
    /// Number of bytes that have been read, with the head and the framing.
    pub bytes_read: usize,
    /// Time since the server last sent anything.
    pub pause: Duration,
}

/// The end of an attempt that has no whole response.
pub struct AttemptEnd<'a> {
    /// Id that the client assigned to the request.
    pub client_request_id: &'a [u8],
    /// Index of the attempt.
    pub attempt: u32,
    /// Address of the server; `None` if it is no longer listed.
    pub server: Option<SocketAddr>,
    /// How the attempt ended.
    pub status: AttemptStatus,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Whether all of the request was written.
    pub request_written: bool,
    /// Number of bytes of the request's body that were taken from the client.
    pub body_taken: u64,
    /// What has come of the response; `None` if there was no connection.
    pub response: Option<ResponseProgress>,
}

/// Writes the lines, as far as their number is limited.
#[derive(Default)]
pub struct RequestLog {
    limiter: LineLimiter,
}

impl RequestLog {
    /// Logs why an attempt has no whole response, and how far its request and response came.
    pub fn log_attempt_end(&self, end: &AttemptEnd<'_>) {
        let Some(suppressed) = self.admit() else { return };
        let response = end.response.unwrap_or_default();
        info!(
            id = %text(end.client_request_id),
            attempt = end.attempt,
            server = %server_text(end.server),
            status = ?end.status,
            elapsed_ms = end.elapsed / 1_000,
            request_written = end.request_written,
            body_taken = end.body_taken,
            connected = end.response.is_some(),
            response_bytes = response.bytes_read,
            pause_ms = response.pause.as_millis() as u64,
            suppressed,
            "an attempt ended without a whole response"
        );
    }

    /// Logs a further attempt of a request.
    pub fn log_retry(&self, client_request_id: &[u8], attempt: u32, server: Option<SocketAddr>) {
        let Some(suppressed) = self.admit() else { return };
        info!(id = %text(client_request_id), attempt, server = %server_text(server), suppressed, "a request is retried");
    }

    /// Logs a final answer that is not a server's response.
    pub fn log_answer(&self, client_request_id: &[u8], answer: &str, reason: AnswerReason, attempts: u32) {
        let Some(suppressed) = self.admit() else { return };
        let reason = reason.name();
        info!(id = %text(client_request_id), reason, attempts, suppressed, "a request {answer}");
    }

    /// Logs that a response is passed on before it is whole.
    pub fn log_passed_on(&self, client_request_id: &[u8], response: ResponseProgress) {
        let Some(suppressed) = self.admit() else { return };
        info!(
            id = %text(client_request_id),
            response_bytes = response.bytes_read,
            pause_ms = response.pause.as_millis() as u64,
            suppressed,
            "a response is passed on before it is whole"
        );
    }

    /// Returns `None` if a line must be suppressed, else the number suppressed since the last one.
    fn admit(&self) -> Option<u64> {
        self.limiter.admit(Instant::now())
    }
}

/// Returns an id as text.
fn text(client_request_id: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(client_request_id)
}

/// Returns the address of a server as text.
fn server_text(server: Option<SocketAddr>) -> String {
    server.map_or_else(|| "unlisted".to_owned(), |address| address.to_string())
}
