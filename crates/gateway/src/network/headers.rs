//! The headers between the gateway and servers: what they say, and which of them belong to one connection.

use grebehook_core::LoadReport;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};

/// Whether an answer tells where it ends, in one way: by its length, by its last chunk, or by the end of a
/// connection of which it says that it ends. A server that dies resets its connections instead.
pub fn ends(headers: &HeaderMap) -> bool {
    match (headers.contains_key(CONTENT_LENGTH), headers.contains_key(TRANSFER_ENCODING)) {
        (true, true) => false,
        (false, false) => headers.get_all(CONNECTION).iter().any(closes),
        _ => true,
    }
}

fn closes(connection: &HeaderValue) -> bool {
    let text = connection.to_str().unwrap_or("");
    text.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// How long the gateway will wait.
pub const BUDGET: HeaderName = HeaderName::from_static("x-budget-ms");
/// Set to 1 by a server that did not take the request up.
pub const REJECTED: HeaderName = HeaderName::from_static("x-rejected");
/// A server's load report.
pub const LOAD: HeaderName = HeaderName::from_static("x-load-report");
/// The customer's use of its quota, in hundredths.
const USAGE: HeaderName = HeaderName::from_static("api-usage");
/// The true units of the request.
const CHARGE: HeaderName = HeaderName::from_static("api-charge");

/// Removes the headers that belong to one connection and not to the message.
pub fn strip(headers: &mut HeaderMap) {
    if let Some(listed) = headers.remove(CONNECTION) {
        for name in listed.to_str().unwrap_or("").split(',') {
            headers.remove(name.trim());
        }
    }
    for name in ["keep-alive", "proxy-connection", "te", "trailer", "upgrade"] {
        headers.remove(name);
    }
    headers.remove(TRANSFER_ENCODING);
    headers.remove(CONTENT_LENGTH);
}

/// The use of its quota that an answer tells of its customer, as a part of it.
pub fn usage(headers: &HeaderMap) -> Option<f64> {
    let percent: f64 = headers.get(USAGE)?.to_str().ok()?.trim().parse().ok()?;
    Some(percent / 100.0).filter(|u| u.is_finite() && *u >= 0.0)
}

/// The true units of a request; an answer that tells none of them, or more than any request has, tells nothing.
pub fn charge(headers: &HeaderMap, most: f64) -> Option<f64> {
    let units: f64 = headers.get(CHARGE)?.to_str().ok()?.trim().parse().ok()?;
    Some(units).filter(|u| *u > 0.0 && *u <= most)
}

/// A load report; fields go by the names of discovery's side of the wire or by those of the settings.
pub fn load(report: Option<&HeaderValue>) -> Option<LoadReport> {
    let mut load = LoadReport::default();
    for (name, value) in report?.to_str().ok()?.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value.trim().parse().ok().filter(|v: &f64| v.is_finite());
        match name.trim() {
            "inflight" | "outstanding" => load.in_flight = value,
            "queue" | "backlog" => load.queued = value,
            "util" | "utilization" => load.utilization = value,
            "latency_ms" | "recent_ms" => load.latency_ms = value,
            _ => {}
        }
    }
    Some(load).filter(|l| *l != LoadReport::default())
}
