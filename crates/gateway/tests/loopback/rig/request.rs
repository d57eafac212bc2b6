//! The texts of requests that test clients send.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Health check of a load balancer, which the gateway answers itself.
pub const HEALTH_CHECK: &str = "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
/// A request that the gateway answers itself with 400.
pub const UNKNOWN_PATH: &str = "GET /other HTTP/1.1\r\nHost: a\r\n\r\n";

/// Client timeout of requests, unless a test changes it.
const DEFAULT_TIMEOUT_HEADER: &str = "X-Budget-Ms: 1900";
/// Customer of requests, unless a test changes it.
const DEFAULT_CUSTOMER: &str = "00000000b4d65521";

/// Id of the next request of this test program.
static NEXT_REQUEST_ID: AtomicUsize = AtomicUsize::new(0);

/// Returns the headers that all requests have, with a new request id.
fn common_headers(class: &str) -> String {
    let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::SeqCst);
    format!(
        "X-Call-Id: {id:016x}\r\nX-Call-Class: {class}\r\nApi-Plan: basico\r\n\
         Api-Customer: {DEFAULT_CUSTOMER}\r\n{DEFAULT_TIMEOUT_HEADER}\r\n\
         Api-Terms: units=2,spread=1,first=0\r\nHost: service.internal\r\n"
    )
}

/// Returns a request that is safe to retry.
pub fn idempotent_request() -> String {
    format!("GET /api?claim=7 HTTP/1.1\r\n{}\r\n", common_headers("claim-status"))
}

/// Returns a request with an idempotency key.
pub fn keyed_request(body: &str) -> String {
    let common = common_headers("loss-notice");
    let length = body.len();
    format!("POST /api HTTP/1.1\r\n{common}Idempotency-Key: k1\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Returns a request that must never run twice.
pub fn non_idempotent_request(body: &str) -> String {
    let common = common_headers("payout");
    let length = body.len();
    format!("POST /api HTTP/1.1\r\n{common}Content-Length: {length}\r\n\r\n{body}")
}

/// Returns the request with another client timeout.
pub fn with_client_timeout(request: &str, timeout_ms: u64) -> String {
    request.replace(DEFAULT_TIMEOUT_HEADER, &format!("X-Budget-Ms: {timeout_ms}"))
}

/// Returns the request with another customer.
pub fn for_customer(request: &str, customer: u64) -> String {
    request.replace(DEFAULT_CUSTOMER, &format!("{customer:016x}"))
}

/// Returns a request that has no body, with another header line in place of `Content-Length: 0`.
pub fn with_framing(request: &str, framing: &str) -> String {
    request.replace("Content-Length: 0", framing)
}

/// Returns the request with further header lines, each of which ends in a line break.
pub fn with_header_lines(request: &str, lines: &str) -> String {
    request.replacen("Host: service.internal\r\n", &format!("Host: service.internal\r\n{lines}"), 1)
}

/// Returns the request with another id.
pub fn with_id(request: &str, id: u64) -> String {
    let (before, rest) = request.split_once("X-Call-Id: ").expect("the request has an id");
    let (_, after) = rest.split_once("\r\n").expect("the id ends with its line");
    format!("{before}X-Call-Id: {id:016x}\r\n{after}")
}
