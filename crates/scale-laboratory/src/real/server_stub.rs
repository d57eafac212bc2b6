//! HTTP stubs of back-end servers. The body of a response is the service time in microseconds, from which a
//! client computes the latency that the gateway added.

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

/// State shared by the connections of a server.
struct SharedState {
    /// Whether requests are left without a response.
    unresponsive: AtomicBool,
    mean_service_time: Duration,
    /// Seed of the random service times.
    seed: u64,
    /// Number of requests received.
    requests: AtomicU64,
}

/// A running stub of a server.
pub struct ServerStub {
    /// Address of the listener.
    pub address: SocketAddr,
    shared: Arc<SharedState>,
}

impl ServerStub {
    /// Starts a server on a loopback port, with exponentially distributed service times.
    pub async fn start(mean_service_time: Duration, seed: u64) -> io::Result<ServerStub> {
        let unresponsive = AtomicBool::new(false);
        let shared =
            Arc::new(SharedState { unresponsive, mean_service_time, seed, requests: AtomicU64::new(0) });
        let handler_shared = shared.clone();
        let handler = move |_request: Request<Incoming>| serve(handler_shared.clone());
        let address = listen(Arc::default(), handler).await?;
        Ok(ServerStub { address, shared })
    }

    /// Sets whether requests are left without a response. A request whose service ends while the server is
    /// unresponsive never gets a response, not even after the server has recovered.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.shared.unresponsive.store(unresponsive, Ordering::Relaxed);
    }
}

/// Serves a request after an exponentially distributed service time.
async fn serve(shared: Arc<SharedState>) -> StubResponse {
    let started_at = Instant::now();
    let index = shared.requests.fetch_add(1, Ordering::Relaxed);
    let draw: f64 = ChaCha8Rng::seed_from_u64(shared.seed.wrapping_add(index)).random();
    sleep(shared.mean_service_time.mul_f64(-(1.0 - draw).ln())).await;
    if shared.unresponsive.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    response(started_at.elapsed().as_micros().to_string())
}
