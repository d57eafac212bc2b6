//! Reads from a request's headers what the decisions need: class, plan, customer, units and time.

use crate::clients::response::RequestError;
use crate::config::names::WireNames;
use crate::driver::request::RequestHead;
use grebehook_core::{CustomerId, Idempotency, Settings};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::Method;

/// Longest id of a request.
const MAX_ID_LENGTH: usize = 64;
/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;

/// Reads requests by the settings and the names that they give to classes and plans.
pub struct RequestHeadReader {
    /// The settings.
    pub settings: Settings,
    /// The names of classes and plans.
    pub names: WireNames,
    /// The most units that a request may count.
    pub max_units: f64,
}

impl RequestHeadReader {
    /// What a request asks for, or what is wrong with its headers.
    pub fn read(&self, method: &Method, headers: &HeaderMap) -> Result<RequestHead, RequestError> {
        let text = |name| one(headers, name)?.to_str().map_err(|_| RequestError::Header(name));
        let place = |names: &[String], name| {
            let text = text(name)?;
            names.iter().position(|n| n == text).ok_or(RequestError::Header(name))
        };
        if !(1..=MAX_ID_LENGTH).contains(&text("x-call-id")?.len()) {
            return Err(RequestError::Header("x-call-id"));
        }
        let class = place(&self.names.classes, "x-call-class")?;
        let settings = self.settings.classes.get(class).ok_or(RequestError::Header("x-call-class"))?;
        let safe = settings.idempotency == Idempotency::Idempotent;
        if *method != if safe { Method::GET } else { Method::POST } {
            return Err(RequestError::Method);
        }
        // Without its key a server could not tell a repeat; what must never run twice is not repeated and has none.
        let keyed = matches!(settings.idempotency, Idempotency::IdempotencyKey { .. });
        if keyed && text("idempotency-key")?.is_empty() {
            return Err(RequestError::Header("idempotency-key"));
        }
        let plan = place(&self.names.plans, "api-plan")?;
        // A client waits no longer for one try than its class lets it wait for all of them. One with no time left
        // is refused by the module like any that comes too late.
        let budget = text("x-budget-ms")?.parse().ok();
        let budget = budget.filter(|ms| (0..=settings.deadline.div_ceil(1_000)).contains(ms));
        let (units, spread, first) =
            self.api_terms(text("api-terms")?).ok_or(RequestError::Header("api-terms"))?;
        Ok(RequestHead {
            class,
            plan,
            customer: customer(text("api-customer")?).ok_or(RequestError::Header("api-customer"))?,
            client_timeout: budget.ok_or(RequestError::Header("x-budget-ms"))? * 1_000,
            units,
            customer_gateway_count: spread,
            first_gateway: first,
            deduplication_window: match settings.idempotency {
                Idempotency::IdempotencyKey { window, .. } => Some(window),
                Idempotency::Idempotent | Idempotency::NonIdempotent => None,
            },
            is_retry: headers.get("x-again").is_some_and(|v| v == "1"),
        })
    }

    /// Units, spread and first of `units=2,spread=3,first=1`, as far as the settings know such.
    fn api_terms(&self, text: &str) -> Option<(f64, usize, usize)> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for (name, value) in text.split(',').map(|pair| pair.split_once('=')).collect::<Option<Vec<_>>>()? {
            match name.trim() {
                "units" => units = value.trim().parse().ok(),
                "spread" => spread = value.trim().parse().ok(),
                "first" => first = value.trim().parse().ok(),
                _ => {}
            }
        }
        let gateways = self.settings.gateway_count;
        let units = units.filter(|u: &f64| *u > 0.0 && *u <= self.max_units)?;
        let spread = spread.filter(|s| (1..=gateways).contains(s))?;
        let first = first.filter(|f| *f < gateways)?;
        // Only the gateways of its set have a part of the customer's quota.
        let mine = (self.settings.gateway_index + gateways - first) % gateways < spread;
        mine.then_some((units, spread, first))
    }
}

fn customer(text: &str) -> Option<CustomerId> {
    let hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok().filter(|_| hex)?;
    (number < CUSTOMERS).then_some(CustomerId(number))
}

/// The one header of a name: of two, a server might believe the other.
pub fn one<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a HeaderValue, RequestError> {
    let mut all = headers.get_all(name).iter();
    all.next().filter(|_| all.next().is_none()).ok_or(RequestError::Header(name))
}
