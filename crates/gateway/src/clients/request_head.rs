//! Parsing of request headers into the input of the decision core: class, plan, customer, units and client
//! timeout.

use crate::clients::request_error::RequestError;
use crate::config::names::WireNames;
use crate::driver::request::RequestHead;
use crate::network::headers::{self, InvalidHeader, QuotaParameters};
use grebehook_core::{Class, Idempotency, Micros, Settings};
use hyper::header::{HeaderMap, HeaderName};
use hyper::Method;

/// Maximum length of a request ID, in bytes.
const MAX_REQUEST_ID_LENGTH: usize = 64;

/// Time beyond the deadline of its class for which the id of a request that may have run is remembered, in microseconds:
/// a client may come again after its time, and its request may wait before it is read.
const ID_GUARD_GRACE: Micros = 10_000_000;

/// Parses request heads according to the settings and the configured names of classes and plans.
pub struct RequestHeadParser {
    /// Settings of the decision core.
    pub settings: Settings,
    /// Configured names of the classes and plans.
    pub names: WireNames,
    /// Maximum number of quota units that a request can use.
    pub max_units: f64,
}

impl RequestHeadParser {
    /// Parses a request head, or returns the reason why the request is not accepted.
    pub fn parse(&self, method: &Method, headers: &HeaderMap) -> Result<RequestHead, RequestError> {
        let id_length = headers::single_text(headers, headers::REQUEST_ID)?.len();
        if !(1..=MAX_REQUEST_ID_LENGTH).contains(&id_length) {
            return Err(InvalidHeader(headers::REQUEST_ID).into());
        }
        let class = index_of_name(&self.names.classes, headers, headers::REQUEST_CLASS)?;
        let class_settings = self.settings.classes.get(class).ok_or(InvalidHeader(headers::REQUEST_CLASS))?;
        check_idempotency(class_settings, method, headers)?;
        let plan = index_of_name(&self.names.plans, headers, headers::PLAN)?;
        let timeout_text = headers::single_text(headers, headers::TIMEOUT_MS)?;
        let quota = headers::quota_parameters(headers)?;
        if !self.accepts(&quota) {
            return Err(InvalidHeader(headers::QUOTA_PARAMETERS).into());
        }
        Ok(RequestHead {
            class,
            plan,
            customer: headers::customer(headers)?,
            client_timeout: parse_client_timeout(timeout_text, class_settings)?,
            units: quota.units,
            customer_gateway_count: quota.customer_gateway_count,
            first_gateway: quota.first_gateway,
            deduplication_window: match class_settings.idempotency {
                Idempotency::IdempotencyKey { window, .. } => Some(window),
                Idempotency::Idempotent | Idempotency::NonIdempotent => None,
            },
            id_guard_time: match class_settings.idempotency {
                Idempotency::Idempotent => None,
                Idempotency::IdempotencyKey { .. } | Idempotency::NonIdempotent => {
                    Some(class_settings.deadline + ID_GUARD_GRACE)
                }
            },
            is_retry: headers::is_retry(headers),
        })
    }

    /// Returns whether the quota parameters are possible under the settings, and this gateway is one of those
    /// that share the quota.
    fn accepts(&self, quota: &QuotaParameters) -> bool {
        let fleet_size = self.settings.gateway_count;
        let is_possible = quota.units > 0.0
            && quota.units <= self.max_units
            && (1..=fleet_size).contains(&quota.customer_gateway_count)
            && quota.first_gateway < fleet_size;
        if !is_possible {
            return false;
        }
        let position = (self.settings.gateway_index + fleet_size - quota.first_gateway) % fleet_size;
        position < quota.customer_gateway_count
    }
}

/// Checks that the method and the idempotency key match the class. Servers need the key to recognize a retry;
/// a request that is never retried needs none.
fn check_idempotency(class: &Class, method: &Method, headers: &HeaderMap) -> Result<(), RequestError> {
    let expected_method = match class.idempotency {
        Idempotency::Idempotent => Method::GET,
        Idempotency::IdempotencyKey { .. } | Idempotency::NonIdempotent => Method::POST,
    };
    if *method != expected_method {
        return Err(RequestError::WrongMethod);
    }
    let needs_key = matches!(class.idempotency, Idempotency::IdempotencyKey { .. });
    if needs_key && headers::single_text(headers, headers::IDEMPOTENCY_KEY)?.is_empty() {
        return Err(InvalidHeader(headers::IDEMPOTENCY_KEY).into());
    }
    Ok(())
}

/// Returns the client timeout, in microseconds. It must not exceed the deadline of the class, which covers
/// the client's first request and all of its retries. A timeout of 0 is valid here: the decision core rejects
/// such a request like any other that arrives too late.
fn parse_client_timeout(timeout_text: &str, class: &Class) -> Result<Micros, InvalidHeader> {
    let max_timeout_ms = class.deadline.div_ceil(1_000);
    let timeout_ms = timeout_text.parse().ok().filter(|timeout_ms| *timeout_ms <= max_timeout_ms);
    let timeout_ms: Micros = timeout_ms.ok_or(InvalidHeader(headers::TIMEOUT_MS))?;
    Ok(timeout_ms * 1_000)
}

/// Returns the index of the name that a header contains.
fn index_of_name(names: &[String], headers: &HeaderMap, header: HeaderName) -> Result<usize, InvalidHeader> {
    let value = headers::single_text(headers, header.clone())?;
    names.iter().position(|name| name == value).ok_or(InvalidHeader(header))
}
