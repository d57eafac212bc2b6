//! HTTP headers of the protocol between clients, gateway and servers: their names, the parsing of their
//! values, and the removal of hop-by-hop headers.

use grebehook_core::{CustomerId, LoadReport};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use thiserror::Error;

/// Request ID assigned by the client.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-call-id");
/// Name of the class that a request belongs to.
pub const REQUEST_CLASS: HeaderName = HeaderName::from_static("x-call-class");
/// Key by which servers recognize a retried request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Name of the customer's plan.
pub const PLAN: HeaderName = HeaderName::from_static("api-plan");
/// ID of the customer, in hexadecimal digits.
pub const CUSTOMER: HeaderName = HeaderName::from_static("api-customer");
/// Quota units that the request uses, and the gateways that share the quota: see [`QuotaParameters`].
pub const QUOTA_PARAMETERS: HeaderName = HeaderName::from_static("api-terms");
/// Remaining time for which the sender waits for the response, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-budget-ms");
/// Load report of a server.
pub const LOAD_REPORT: HeaderName = HeaderName::from_static("x-load-report");
/// Set to 1 by a client that retries a request.
const RETRY: HeaderName = HeaderName::from_static("x-again");
/// Set to 1 by a server that rejected a request before executing it.
const REJECTED: HeaderName = HeaderName::from_static("x-rejected");
/// The customer's usage of its quota, in percent.
const REPORTED_USAGE: HeaderName = HeaderName::from_static("api-usage");
/// Quota units that the request actually used.
const SETTLED_UNITS: HeaderName = HeaderName::from_static("api-charge");

/// Hop-by-hop headers besides `Connection` and the two that define the length of the body.
const HOP_BY_HOP: [&str; 5] = ["keep-alive", "proxy-connection", "te", "trailer", "upgrade"];
/// Number of hexadecimal digits of a customer ID.
const CUSTOMER_ID_DIGITS: usize = 16;
/// Exclusive upper bound of customer IDs.
const CUSTOMER_ID_LIMIT: u64 = 1 << 33;

/// A request header that is missing, repeated or malformed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0} is missing or malformed")]
pub struct InvalidHeader(pub HeaderName);

/// Quota units that a request uses, and the gateways that share its customer's quota.
pub struct QuotaParameters {
    /// Number of quota units that the request uses.
    pub units: f64,
    /// Number of gateways that serve the customer.
    pub customer_gateway_count: usize,
    /// Index of the first of these gateways.
    pub first_gateway: usize,
}

/// Returns the value of a header that must occur exactly once. If it were repeated, a server might use a
/// different value than the gateway.
pub fn single(headers: &HeaderMap, name: HeaderName) -> Result<&HeaderValue, InvalidHeader> {
    let mut values = headers.get_all(&name).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => Ok(value),
        _ => Err(InvalidHeader(name)),
    }
}

/// Returns the text of a header that must occur exactly once.
pub fn single_text(headers: &HeaderMap, name: HeaderName) -> Result<&str, InvalidHeader> {
    single(headers, name.clone())?.to_str().map_err(|_| InvalidHeader(name))
}

/// Returns the id of the customer that sent a request.
pub fn customer(headers: &HeaderMap) -> Result<CustomerId, InvalidHeader> {
    parse_customer(single_text(headers, CUSTOMER)?).ok_or(InvalidHeader(CUSTOMER))
}

/// Parses the hexadecimal digits of a customer ID.
fn parse_customer(text: &str) -> Option<CustomerId> {
    if text.len() != CUSTOMER_ID_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let id = u64::from_str_radix(text, 16).ok()?;
    (id < CUSTOMER_ID_LIMIT).then_some(CustomerId(id))
}

/// Returns the quota parameters of a request, such as `units=2,spread=3,first=1`.
pub fn quota_parameters(headers: &HeaderMap) -> Result<QuotaParameters, InvalidHeader> {
    parse_quota_parameters(single_text(headers, QUOTA_PARAMETERS)?).ok_or(InvalidHeader(QUOTA_PARAMETERS))
}

/// Parses quota parameters; other names than these three are ignored.
fn parse_quota_parameters(text: &str) -> Option<QuotaParameters> {
    let mut units = None;
    let mut customer_gateway_count = None;
    let mut first_gateway = None;
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim();
        match name.trim() {
            "units" => units = value.parse().ok(),
            "spread" => customer_gateway_count = value.parse().ok(),
            "first" => first_gateway = value.parse().ok(),
            _ => {}
        }
    }
    Some(QuotaParameters {
        units: units?,
        customer_gateway_count: customer_gateway_count?,
        first_gateway: first_gateway?,
    })
}

/// Returns whether the client marked the request as a retry.
pub fn is_retry(headers: &HeaderMap) -> bool {
    headers.get(RETRY).is_some_and(|value| value == "1")
}

/// Returns whether the server marked the response as a rejection that precedes the execution of the request.
pub fn is_rejection(headers: &HeaderMap) -> bool {
    headers.get(REJECTED).is_some_and(|value| value == "1")
}

/// Returns the customer's usage of its quota that a response reports, as a fraction of the quota.
pub fn reported_usage(headers: &HeaderMap) -> Option<f64> {
    let percent: f64 = headers.get(REPORTED_USAGE)?.to_str().ok()?.trim().parse().ok()?;
    Some(percent / 100.0).filter(|usage| usage.is_finite() && *usage >= 0.0)
}

/// Returns the quota units that a request actually used. Impossible values, not positive or above
/// `max_units`, are ignored.
pub fn settled_units(headers: &HeaderMap, max_units: f64) -> Option<f64> {
    let units: f64 = headers.get(SETTLED_UNITS)?.to_str().ok()?.trim().parse().ok()?;
    Some(units).filter(|units| *units > 0.0 && *units <= max_units)
}

/// Parses a load report, whose fields have the names of the protocol or those of the settings.
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

/// Returns whether exactly one mechanism defines the end of a response body: its length, its last chunk, or
/// the end of a connection that is announced to close. A server that crashes resets its connections instead.
pub fn has_unambiguous_body_end(headers: &HeaderMap) -> bool {
    let has_content_length = headers.contains_key(CONTENT_LENGTH);
    let has_transfer_encoding = headers.contains_key(TRANSFER_ENCODING);
    match (has_content_length, has_transfer_encoding) {
        (true, true) => false,
        (false, false) => headers.get_all(CONNECTION).iter().any(announces_close),
        (true, false) | (false, true) => true,
    }
}

fn announces_close(connection: &HeaderValue) -> bool {
    let options = connection.to_str().unwrap_or_default();
    options.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Removes the hop-by-hop headers, including those that `Connection` lists.
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
