//! HTTP stub of the shared counter.

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

/// Upper bound on the lifetime of a key.
const MAX_TTL: Duration = Duration::from_secs(60);
/// Limit on the number of keys. Once it is reached, the next call drops all keys.
const MAX_KEYS: usize = 1 << 20;

/// Total of one key, valid until the key expires.
struct Total {
    value: f64,
    expires_at: Instant,
}

/// State shared by the connections of a counter.
#[derive(Default)]
struct SharedState {
    totals: Mutex<BTreeMap<String, Total>>,
    /// Whether calls are left without a response.
    unresponsive: AtomicBool,
}

/// A running stub of the shared counter.
pub struct CounterStub {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Calls and bytes of all connections.
    pub traffic: Arc<Traffic>,
    shared: Arc<SharedState>,
}

impl CounterStub {
    /// Starts a counter without keys on a loopback port.
    pub async fn start() -> io::Result<CounterStub> {
        let traffic = Arc::<Traffic>::default();
        let shared = Arc::<SharedState>::default();
        let handler_shared = shared.clone();
        let handler = move |request| handle_call(handler_shared.clone(), request);
        let address = listen(traffic.clone(), handler).await?;
        Ok(CounterStub { address, traffic, shared })
    }

    /// Sets whether calls are left without a response.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.shared.unresponsive.store(unresponsive, Ordering::Relaxed);
    }
}

/// Handles a call that adds an amount to a key.
async fn handle_call(shared: Arc<SharedState>, request: Request<Incoming>) -> StubResponse {
    if shared.unresponsive.load(Ordering::Relaxed) {
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

/// Adds an amount to a key and returns the new total. An expired key starts again from 0.
fn add(shared: &SharedState, key: &str, amount: f64, ttl: Duration) -> f64 {
    let mut totals = shared.totals.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    if totals.len() >= MAX_KEYS {
        totals.clear();
    }
    let new_total = || Total { value: 0.0, expires_at: now + ttl.min(MAX_TTL) };
    let total = totals.entry(key.to_owned()).or_insert_with(new_total);
    if total.expires_at <= now {
        *total = new_total();
    }
    total.value += amount;
    total.value
}
