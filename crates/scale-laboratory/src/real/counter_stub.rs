//! A stub of the shared counter.

use super::stub_http::{listen, query_parameter, response, StubResponse};
use super::traffic::Traffic;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Longest life of a key.
const MAX_TTL: Duration = Duration::from_secs(60);
/// Most keys kept; past them all are dropped.
const MAX_KEYS: usize = 1 << 20;

/// A key's total.
struct Total {
    /// The total.
    value: f64,
    /// When the key expires.
    expires_at: Instant,
}

/// What the counter's connections share.
#[derive(Default)]
struct Shared {
    /// Totals by key.
    totals: Mutex<BTreeMap<String, Total>>,
    /// It answers no calls.
    silent: AtomicBool,
}

/// A counter that listens.
pub struct CounterStub {
    /// Where.
    pub address: SocketAddr,
    /// Its calls and bytes.
    pub traffic: Arc<Traffic>,
    /// Shared with its connections.
    shared: Arc<Shared>,
}

impl CounterStub {
    /// Starts one without any keys.
    pub async fn start() -> io::Result<CounterStub> {
        let traffic = Arc::<Traffic>::default();
        let shared = Arc::<Shared>::default();
        let handler_shared = shared.clone();
        let handler = move |request| call(handler_shared.clone(), request);
        let address = listen(traffic.clone(), handler).await?;
        Ok(CounterStub { address, traffic, shared })
    }

    /// Whether it answers no calls from now on.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.store(silent, Ordering::Relaxed);
    }
}

/// Answers a call that adds to a key.
async fn call(shared: Arc<Shared>, request: Request<Incoming>) -> StubResponse {
    if shared.silent.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    let key = request.uri().path().strip_prefix("/v2/numbers/");
    let amount = query_parameter(&request, "delta").and_then(|delta| delta.parse::<f64>().ok());
    let ttl = query_parameter(&request, "life_ms").and_then(|life| life.parse().ok());
    let (Some(key), Some(amount), Some(ttl)) = (key, amount, ttl) else {
        let mut bad_request = response("");
        *bad_request.status_mut() = StatusCode::BAD_REQUEST;
        return bad_request;
    };
    response(add(&shared, key, amount, Duration::from_millis(ttl)).to_string())
}

/// Adds an amount to a key; its total.
fn add(shared: &Shared, key: &str, amount: f64, ttl: Duration) -> f64 {
    let mut totals = shared.totals.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    if totals.len() >= MAX_KEYS {
        totals.clear();
    }
    let new = || Total { value: 0.0, expires_at: now + ttl.min(MAX_TTL) };
    let total = totals.entry(key.to_owned()).or_insert_with(new);
    if total.expires_at <= now {
        *total = new();
    }
    total.value += amount;
    total.value
}
