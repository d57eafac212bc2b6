//! Clients of a real fleet: each has one connection to one gateway and sends requests at random times.

use crate::metric::Metric;
use crate::settings::{CLASS_NAME, DEADLINE, PLAN_NAME};
use crate::timeline::{latency_histogram, Outcome, OutcomeCounts, Timeline};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

/// A client waits so much longer than the deadline.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// Backoff before a new connection where the last one failed.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(50);
/// A client that has fallen behind catches up with at most this time's requests at once.
const MAX_BACKLOG: Duration = Duration::from_secs(1);
/// Requests without a response in a row, at a gateway that runs, after which it counts as stalled.
pub const MAX_UNANSWERED_REQUESTS: u32 = 20;

/// A client's connection to its gateway.
type Connection = SendRequest<Empty<Bytes>>;

/// What clients have measured since the measured time began.
pub struct ClientStatistics {
    /// Requests by the time of their sending.
    pub timeline: Timeline,
    /// Requests sent.
    pub arrivals: u64,
    /// How they ended.
    outcomes: OutcomeCounts,
    /// Time that gateways added to served requests, microseconds.
    added_latency: Histogram<u64>,
    /// Requests without a response in a row, by gateway.
    unanswered_in_a_row: Vec<u32>,
    /// When the measured time began.
    begun_at: Option<Instant>,
}

impl ClientStatistics {
    /// The statistics under the names of the results.
    pub fn metrics(&self) -> Vec<(Metric, f64)> {
        let mut metrics = vec![(Metric::Arrivals, self.arrivals as f64)];
        metrics.extend(self.outcomes.metrics().map(|(metric, count)| (metric, count as f64)));
        if !self.added_latency.is_empty() {
            metrics.push((Metric::AddedP50, self.added_latency.value_at_quantile(0.5) as f64));
            metrics.push((Metric::AddedP99, self.added_latency.value_at_quantile(0.99) as f64));
        }
        metrics
    }
}

/// Shared by all clients.
pub struct Clients {
    /// What they measure.
    statistics: Mutex<ClientStatistics>,
    /// Where each gateway listens; `None` for one that is down.
    addresses: Mutex<Vec<Option<SocketAddr>>>,
}

impl Clients {
    /// Clients of gateways that are all down.
    pub fn new(gateways: usize) -> Arc<Clients> {
        let statistics = ClientStatistics {
            timeline: Timeline::default(),
            arrivals: 0,
            outcomes: OutcomeCounts::default(),
            added_latency: latency_histogram(),
            unanswered_in_a_row: vec![0; gateways],
            begun_at: None,
        };
        Arc::new(Clients { statistics: Mutex::new(statistics), addresses: Mutex::new(vec![None; gateways]) })
    }

    /// What was measured.
    pub fn statistics(&self) -> MutexGuard<'_, ClientStatistics> {
        self.statistics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The measured time begins.
    pub fn begin_measurement(&self) {
        self.statistics().begun_at = Some(Instant::now());
    }

    /// A gateway that runs and does not respond any more.
    pub fn stalled_gateway(&self) -> Option<usize> {
        let statistics = self.statistics();
        statistics.unanswered_in_a_row.iter().position(|count| *count >= MAX_UNANSWERED_REQUESTS)
    }

    /// Where the gateways listen, locked.
    fn addresses(&self) -> MutexGuard<'_, Vec<Option<SocketAddr>>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A gateway listens at an address, or is down.
    pub fn set_address(&self, gateway: usize, address: Option<SocketAddr>) {
        self.addresses()[gateway] = address;
    }

    /// Where a gateway listens; `None` while it is down.
    fn address(&self, gateway: usize) -> Option<SocketAddr> {
        self.addresses()[gateway]
    }

    /// A request is sent; when.
    fn record_arrival(&self) -> Instant {
        let now = Instant::now();
        let mut statistics = self.statistics();
        if let Some(begun_at) = statistics.begun_at {
            statistics.arrivals += 1;
            statistics.timeline.record_arrival((now - begun_at).as_micros() as u64);
        }
        now
    }

    /// A request has ended.
    fn record_outcome(&self, gateway: usize, sent_at: Instant, result: &RequestResult) {
        let elapsed_us = sent_at.elapsed().as_micros() as u64;
        let running = self.address(gateway).is_some();
        let mut statistics = self.statistics();
        let unanswered = &mut statistics.unanswered_in_a_row[gateway];
        *unanswered = if running && result.outcome == Outcome::Lost { *unanswered + 1 } else { 0 };
        let since_begin = statistics.begun_at.and_then(|begun_at| sent_at.checked_duration_since(begun_at));
        let Some(at) = since_begin else { return };
        statistics.outcomes.record(result.outcome);
        statistics.timeline.record_outcome(at.as_micros() as u64, result.outcome);
        if let Some(service_time_us) = result.service_time_us {
            statistics.added_latency.saturating_record(elapsed_us.saturating_sub(service_time_us).max(1));
        }
    }
}

/// A tenant that a client sends requests of.
#[derive(Clone, Copy, Debug)]
pub struct TenantRoute {
    /// The tenant.
    pub tenant: usize,
    /// The first gateway of its set.
    pub first: usize,
}

/// Which requests one client sends.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The gateway that it is connected to.
    pub gateway: usize,
    /// The tenants that this gateway serves.
    pub routes: Vec<TenantRoute>,
    /// How many gateways serve a tenant.
    pub gateways_per_tenant: usize,
    /// Requests a second; 0 for a connection that stays idle.
    pub requests_per_second: f64,
    /// Seed of its times and tenants.
    pub seed: u64,
}

/// How a request ended.
struct RequestResult {
    /// The outcome.
    outcome: Outcome,
    /// Time that the server took, of a served request.
    service_time_us: Option<u64>,
}

/// One client, for as long as the run lasts.
pub async fn play(clients: Arc<Clients>, workload: Workload) {
    if workload.requests_per_second <= 0.0 {
        let _idle_connection = connect(&clients, workload.gateway).await;
        std::future::pending::<()>().await;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(workload.seed);
    let mut connection = None;
    let mut next_at = tokio::time::Instant::now();
    loop {
        let draw: f64 = rng.random();
        next_at += Duration::from_secs_f64(-(1.0 - draw).ln() / workload.requests_per_second);
        sleep_until(next_at).await;
        next_at = next_at.max(tokio::time::Instant::now() - MAX_BACKLOG);
        connection = send(&clients, &workload, &mut rng, connection.take()).await;
    }
}

/// Connects to a gateway; `None` if that fails.
async fn connect(clients: &Clients, gateway: usize) -> Option<Connection> {
    let stream = TcpStream::connect(clients.address(gateway)?).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends one request; the connection, if it can be used again.
async fn send(
    clients: &Clients,
    workload: &Workload,
    rng: &mut ChaCha8Rng,
    connection: Option<Connection>,
) -> Option<Connection> {
    let request = request(workload, rng)?;
    let connection = match connection.filter(|connection| !connection.is_closed()) {
        Some(connection) => Some(connection),
        None => connect(clients, workload.gateway).await,
    };
    let sent_at = clients.record_arrival();
    let Some(mut connection) = connection else {
        let lost = RequestResult { outcome: Outcome::Lost, service_time_us: None };
        clients.record_outcome(workload.gateway, sent_at, &lost);
        sleep(RECONNECT_BACKOFF).await;
        return None;
    };
    let client_timeout = Duration::from_micros(DEADLINE) + DEADLINE_SLACK;
    let response = timeout(client_timeout, exchange(&mut connection, request)).await;
    let result = request_result(response.ok().flatten());
    clients.record_outcome(workload.gateway, sent_at, &result);
    (result.outcome != Outcome::Lost).then_some(connection)
}

/// A response's status and body.
struct ClientResponse {
    /// The status.
    status: StatusCode,
    /// The body.
    body: Bytes,
}

/// Sends a request on a connection and reads its response; `None` if the connection breaks.
async fn exchange(connection: &mut Connection, request: Request<Empty<Bytes>>) -> Option<ClientResponse> {
    connection.ready().await.ok()?;
    let response = connection.send_request(request).await.ok()?;
    let status = response.status();
    Some(ClientResponse { status, body: response.into_body().collect().await.ok()?.to_bytes() })
}

/// How a request with this response ended; `None` for no response.
fn request_result(response: Option<ClientResponse>) -> RequestResult {
    let service_time_us = match &response {
        Some(ClientResponse { status: StatusCode::OK, body }) => parse_number(body),
        _ => None,
    };
    let outcome = match response.map(|response| response.status) {
        Some(StatusCode::OK) => Outcome::Served,
        Some(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => Outcome::Rejected,
        Some(_) => Outcome::Failed,
        None => Outcome::Lost,
    };
    RequestResult { outcome, service_time_us }
}

/// A request of one of the client's tenants; `None` if it has none.
fn request(workload: &Workload, rng: &mut ChaCha8Rng) -> Option<Request<Empty<Bytes>>> {
    if workload.routes.is_empty() {
        return None;
    }
    let TenantRoute { tenant, first } = workload.routes[rng.random_range(0..workload.routes.len())];
    let id: u64 = rng.random();
    Request::get("/api")
        .header("Host", "service.internal")
        .header("X-Call-Id", format!("{id:016x}"))
        .header("X-Call-Class", CLASS_NAME)
        .header("Api-Plan", PLAN_NAME)
        .header("Api-Customer", format!("{tenant:016x}"))
        .header("X-Budget-Ms", (DEADLINE / 1_000).to_string())
        .header("Api-Terms", format!("units=1,spread={},first={first}", workload.gateways_per_tenant))
        .body(Empty::new())
        .ok()
}

/// The number in a body.
fn parse_number(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body).ok()?.parse().ok()
}
