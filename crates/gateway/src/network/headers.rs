//! The headers of the protocol between clients, gateway and servers: their names, and what their values mean in
//! this program's terms. Also which headers belong to one connection, and not to the message.

use grebehook_core::{CustomerId, LoadReport};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use thiserror::Error;

/// The client's id of a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-call-id");
/// The request's class.
pub const REQUEST_CLASS: HeaderName = HeaderName::from_static("x-call-class");
/// The key by which servers recognize repeats of a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The customer's plan.
pub const PLAN: HeaderName = HeaderName::from_static("api-plan");
/// The customer.
pub const CUSTOMER: HeaderName = HeaderName::from_static("api-customer");
/// What the request takes of the quota, and which gateways share that: see [`QuotaTerms`].
pub const QUOTA_TERMS: HeaderName = HeaderName::from_static("api-terms");
/// How many milliseconds the sender still waits for the response.
pub const TIME_BUDGET: HeaderName = HeaderName::from_static("x-budget-ms");
/// A server's load report.
pub const LOAD_REPORT: HeaderName = HeaderName::from_static("x-load-report");
/// Set to 1 by a client that repeats a request.
const RETRY: HeaderName = HeaderName::from_static("x-again");
/// Set to 1 by a server that rejected a request before it ran.
const REJECTED: HeaderName = HeaderName::from_static("x-rejected");
/// The customer's usage of its quota, in percent.
const USAGE: HeaderName = HeaderName::from_static("api-usage");
/// The units that a request really took.
const CHARGE: HeaderName = HeaderName::from_static("api-charge");

/// Headers, besides `Connection` and the two of the body's length, that belong to one connection.
const HOP_BY_HOP: [&str; 5] = ["keep-alive", "proxy-connection", "te", "trailer", "upgrade"];
/// Digits of a customer's id, which is hexadecimal.
const CUSTOMER_ID_DIGITS: usize = 16;
/// Customers' ids are below this.
const CUSTOMER_ID_LIMIT: u64 = 1 << 33;

/// A header of a request is missing, repeated, or malformed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0} is missing or malformed")]
pub struct InvalidHeader(pub HeaderName);

/// What a request takes of its customer's quota, and which gateways share that.
pub struct QuotaTerms {
    /// Units that the request takes.
    pub units: f64,
    /// Number of gateways that the customer uses.
    pub gateway_count: usize,
    /// Index of the first of them.
    pub first_gateway: usize,
}

/// The value of a header that must occur exactly once: of two, a server might use the other.
pub fn single(headers: &HeaderMap, name: HeaderName) -> Result<&HeaderValue, InvalidHeader> {
    let mut values = headers.get_all(&name).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => Ok(value),
        _ => Err(InvalidHeader(name)),
    }
}

/// The text of a header that must occur exactly once.
pub fn single_text(headers: &HeaderMap, name: HeaderName) -> Result<&str, InvalidHeader> {
    single(headers, name.clone())?.to_str().map_err(|_| InvalidHeader(name))
}

/// The customer of a request.
pub fn customer(headers: &HeaderMap) -> Result<CustomerId, InvalidHeader> {
    parse_customer(single_text(headers, CUSTOMER)?).ok_or(InvalidHeader(CUSTOMER))
}

/// A customer's id from its hexadecimal digits.
fn parse_customer(text: &str) -> Option<CustomerId> {
    if text.len() != CUSTOMER_ID_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let id = u64::from_str_radix(text, 16).ok()?;
    (id < CUSTOMER_ID_LIMIT).then_some(CustomerId(id))
}

/// The quota terms of a request, like `units=2,spread=3,first=1`.
pub fn quota_terms(headers: &HeaderMap) -> Result<QuotaTerms, InvalidHeader> {
    parse_quota_terms(single_text(headers, QUOTA_TERMS)?).ok_or(InvalidHeader(QUOTA_TERMS))
}

/// Quota terms from their text; names other than the three are ignored.
fn parse_quota_terms(text: &str) -> Option<QuotaTerms> {
    let mut units = None;
    let mut gateway_count = None;
    let mut first_gateway = None;
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim();
        match name.trim() {
            "units" => units = value.parse().ok(),
            "spread" => gateway_count = value.parse().ok(),
            "first" => first_gateway = value.parse().ok(),
            _ => {}
        }
    }
    Some(QuotaTerms { units: units?, gateway_count: gateway_count?, first_gateway: first_gateway? })
}

/// Whether the client marked the request as a retry.
pub fn is_retry(headers: &HeaderMap) -> bool {
    headers.get(RETRY).is_some_and(|value| value == "1")
}

/// Whether the server marked the response as a rejection before the request ran.
pub fn is_rejection(headers: &HeaderMap) -> bool {
    headers.get(REJECTED).is_some_and(|value| value == "1")
}

/// The usage of its customer's quota that a response reports, as a fraction of it.
pub fn usage(headers: &HeaderMap) -> Option<f64> {
    let percent: f64 = headers.get(USAGE)?.to_str().ok()?.trim().parse().ok()?;
    Some(percent / 100.0).filter(|usage| usage.is_finite() && *usage >= 0.0)
}

/// The units that a request really took. Values that no request can take are ignored.
pub fn charged_units(headers: &HeaderMap, max_units: f64) -> Option<f64> {
    let units: f64 = headers.get(CHARGE)?.to_str().ok()?.trim().parse().ok()?;
    Some(units).filter(|units| *units > 0.0 && *units <= max_units)
}

/// A load report; its fields have the names of the protocol or those of the settings.
pub fn load_report(value: Option<&HeaderValue>) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (name, value) in value?.to_str().ok()?.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value.trim().parse().ok().filter(|value: &f64| value.is_finite());
        match name.trim() {
            "inflight" | "outstanding" => report.in_flight = value,
            "queue" | "backlog" => report.queued = value,
            "util" | "utilization" => report.utilization = value,
            "latency_ms" | "recent_ms" => report.latency_ms = value,
            _ => {}
        }
    }
    Some(report).filter(|report| *report != LoadReport::default())
}

/// Whether the end of a response body is defined, in one way only: by its length, by its last chunk, or by the end
/// of a connection that it announces to close. A server that dies resets its connections instead.
pub fn has_body_end(headers: &HeaderMap) -> bool {
    let has_length = headers.contains_key(CONTENT_LENGTH);
    let has_coding = headers.contains_key(TRANSFER_ENCODING);
    match (has_length, has_coding) {
        (true, true) => false,
        (false, false) => headers.get_all(CONNECTION).iter().any(announces_close),
        (true, false) | (false, true) => true,
    }
}

/// Whether a `Connection` header announces the end of the connection.
fn announces_close(connection: &HeaderValue) -> bool {
    let options = connection.to_str().unwrap_or_default();
    options.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Removes the headers that belong to one connection and not to the message.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if let Some(listed) = headers.remove(CONNECTION) {
        for name in listed.to_str().unwrap_or_default().split(',') {
            headers.remove(name.trim());
        }
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(TRANSFER_ENCODING);
    headers.remove(CONTENT_LENGTH);
}

#[cfg(test)]
mod tests;
