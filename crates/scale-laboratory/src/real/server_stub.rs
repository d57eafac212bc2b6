//! Stubs of servers. A response's body is the time that the server took, in microseconds, so that the client can tell
//! what the gateway added.

use super::stub_http::{listen, response, StubResponse};
use hyper::body::Incoming;
use hyper::Request;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// What a server's connections share.
struct Shared {
    /// It sends no responses.
    silent: AtomicBool,
    /// Mean service time.
    mean_service_time: Duration,
    /// Seed of the service times.
    seed: u64,
    /// Requests so far.
    requests: AtomicU64,
}

/// A server that listens.
pub struct ServerStub {
    /// Where.
    pub address: SocketAddr,
    /// Shared with its connections.
    shared: Arc<Shared>,
}

impl ServerStub {
    /// Starts one with a mean service time.
    pub async fn start(mean_service_time: Duration, seed: u64) -> io::Result<ServerStub> {
        let silent = AtomicBool::new(false);
        let shared = Arc::new(Shared { silent, mean_service_time, seed, requests: AtomicU64::new(0) });
        let handler_shared = shared.clone();
        let handler = move |_request: Request<Incoming>| serve(handler_shared.clone());
        let address = listen(Arc::default(), handler).await?;
        Ok(ServerStub { address, shared })
    }

    /// Whether it sends no responses from now on. What it did not respond to before gets none later either.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.store(silent, Ordering::Relaxed);
    }
}

/// Serves a request in a time exponentially distributed around the mean.
async fn serve(shared: Arc<Shared>) -> StubResponse {
    let begun_at = Instant::now();
    let number = shared.requests.fetch_add(1, Ordering::Relaxed);
    let draw: f64 = ChaCha8Rng::seed_from_u64(shared.seed.wrapping_add(number)).random();
    sleep(shared.mean_service_time.mul_f64(-(1.0 - draw).ln())).await;
    if shared.silent.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    response(begun_at.elapsed().as_micros().to_string())
}
