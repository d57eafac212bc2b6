//! Load-generating clients of a real fleet. Each keeps one connection to one gateway and sends requests at
//! exponentially distributed intervals.

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

/// Time by which a client's timeout exceeds the deadline of its request.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// Delay before a client reconnects after a failed connection attempt.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay behind its schedule that a client catches up on at once; requests due earlier are skipped.
const MAX_CATCH_UP: Duration = Duration::from_secs(1);
/// Number of consecutive requests without a response after which a running gateway counts as stalled.
pub const MAX_CONSECUTIVE_UNANSWERED: u32 = 20;

/// Sending half of a client's HTTP/1.1 connection to its gateway.
type Connection = SendRequest<Empty<Bytes>>;

/// Measurements of all clients since the start of the measured time.
pub struct ClientStatistics {
    /// Requests and their outcomes by sending time.
    pub timeline: Timeline,
    /// Number of requests sent.
    pub arrivals: u64,
    outcomes: OutcomeCounts,
    /// Latency that gateways added to served requests, in microseconds.
    added_latency: Histogram<u64>,
    /// Number of consecutive requests without a response, by gateway.
    consecutive_unanswered: Vec<u32>,
    /// Start of the measured time; `None` during the warm-up.
    measured_from: Option<Instant>,
}

impl ClientStatistics {
    /// Returns the measurements under the metric names of the results.
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

/// State shared by all client tasks.
pub struct Clients {
    statistics: Mutex<ClientStatistics>,
    /// Listener address of each gateway; `None` while the gateway is down.
    addresses: Mutex<Vec<Option<SocketAddr>>>,
}

impl Clients {
    /// Returns the shared state of clients for a number of gateways, all of them down.
    pub fn new(gateways: usize) -> Arc<Clients> {
        let statistics = ClientStatistics {
            timeline: Timeline::default(),
            arrivals: 0,
            outcomes: OutcomeCounts::default(),
            added_latency: latency_histogram(),
            consecutive_unanswered: vec![0; gateways],
            measured_from: None,
        };
        Arc::new(Clients { statistics: Mutex::new(statistics), addresses: Mutex::new(vec![None; gateways]) })
    }

    /// Locks the statistics for reading or writing.
    pub fn statistics(&self) -> MutexGuard<'_, ClientStatistics> {
        self.statistics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the measured time. Requests sent earlier are not part of the metrics.
    pub fn start_measurement(&self) {
        self.statistics().measured_from = Some(Instant::now());
    }

    /// Returns a running gateway that has stopped responding, if there is one.
    pub fn stalled_gateway(&self) -> Option<usize> {
        let statistics = self.statistics();
        statistics.consecutive_unanswered.iter().position(|count| *count >= MAX_CONSECUTIVE_UNANSWERED)
    }

    fn addresses(&self) -> MutexGuard<'_, Vec<Option<SocketAddr>>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the address at which a gateway listens; `None` marks the gateway as down.
    pub fn set_address(&self, gateway: usize, address: Option<SocketAddr>) {
        self.addresses()[gateway] = address;
    }

    fn address(&self, gateway: usize) -> Option<SocketAddr> {
        self.addresses()[gateway]
    }

    /// Counts a request that is about to be sent and returns its sending time.
    fn record_arrival(&self) -> Instant {
        let now = Instant::now();
        let mut statistics = self.statistics();
        if let Some(start) = statistics.measured_from {
            statistics.arrivals += 1;
            statistics.timeline.record_arrival((now - start).as_micros() as u64);
        }
        now
    }

    /// Records the result of a request. A lost request counts towards a stall only while the gateway runs.
    fn record_outcome(&self, gateway: usize, sent_at: Instant, result: &RequestResult) {
        let elapsed_us = sent_at.elapsed().as_micros() as u64;
        let running = self.address(gateway).is_some();
        let mut statistics = self.statistics();
        let unanswered = &mut statistics.consecutive_unanswered[gateway];
        *unanswered = if running && result.outcome == Outcome::Lost { *unanswered + 1 } else { 0 };
        let sent_after = statistics.measured_from.and_then(|start| sent_at.checked_duration_since(start));
        let Some(sent_after) = sent_after else { return };
        statistics.outcomes.record(result.outcome);
        statistics.timeline.record_outcome(sent_after.as_micros() as u64, result.outcome);
        if let Some(service_time_us) = result.service_time_us {
            statistics.added_latency.saturating_record(elapsed_us.saturating_sub(service_time_us).max(1));
        }
    }
}

/// A tenant with the first gateway that serves it.
#[derive(Clone, Copy, Debug)]
pub struct TenantRoute {
    /// Index of the tenant.
    pub tenant: usize,
    /// First of the consecutive gateways that serve the tenant.
    pub first_gateway: usize,
}

/// Connection and requests of one client.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Gateway to which the client connects.
    pub gateway: usize,
    /// Tenants that the gateway serves; the client sends requests of these.
    pub routes: Vec<TenantRoute>,
    /// Number of gateways that serve each tenant.
    pub gateways_per_tenant: usize,
    /// Mean request rate; 0 for a connection that stays idle.
    pub requests_per_second: f64,
    /// Seed of the random intervals, tenants and request ids.
    pub seed: u64,
}

/// Result of a request from its client's point of view.
struct RequestResult {
    outcome: Outcome,
    /// Service time reported by the server; `None` unless the request was served.
    service_time_us: Option<u64>,
}

/// Runs one client until its task is cancelled.
pub async fn run_client(clients: Arc<Clients>, workload: Workload) {
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
        next_at = next_at.max(tokio::time::Instant::now() - MAX_CATCH_UP);
        connection = send(&clients, &workload, &mut rng, connection.take()).await;
    }
}

/// Connects to a gateway. Returns `None` if the gateway is down or the connection fails.
async fn connect(clients: &Clients, gateway: usize) -> Option<Connection> {
    let stream = TcpStream::connect(clients.address(gateway)?).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends one request and records its result. Returns the connection if it can be reused.
async fn send(
    clients: &Clients,
    workload: &Workload,
    rng: &mut ChaCha8Rng,
    connection: Option<Connection>,
) -> Option<Connection> {
    let request = build_request(workload, rng)?;
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

/// Status and complete body of a response.
struct ClientResponse {
    status: StatusCode,
    body: Bytes,
}

/// Sends a request and reads the complete response. Returns `None` if the connection breaks.
async fn exchange(connection: &mut Connection, request: Request<Empty<Bytes>>) -> Option<ClientResponse> {
    connection.ready().await.ok()?;
    let response = connection.send_request(request).await.ok()?;
    let status = response.status();
    Some(ClientResponse { status, body: response.into_body().collect().await.ok()?.to_bytes() })
}

/// Returns the result of a request with this response; `None` stands for no response.
fn request_result(response: Option<ClientResponse>) -> RequestResult {
    let service_time_us = match &response {
        Some(ClientResponse { status: StatusCode::OK, body }) => parse_service_time(body),
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

/// Builds a request of a random tenant of the workload. Returns `None` if the workload has no tenants.
fn build_request(workload: &Workload, rng: &mut ChaCha8Rng) -> Option<Request<Empty<Bytes>>> {
    if workload.routes.is_empty() {
        return None;
    }
    let TenantRoute { tenant, first_gateway } = workload.routes[rng.random_range(0..workload.routes.len())];
    let id: u64 = rng.random();
    Request::get("/api")
        .header("Host", "service.internal")
        .header("X-Call-Id", format!("{id:016x}"))
        .header("X-Call-Class", CLASS_NAME)
        .header("Api-Plan", PLAN_NAME)
        .header("Api-Customer", format!("{tenant:016x}"))
        .header("X-Budget-Ms", (DEADLINE / 1_000).to_string())
        .header("Api-Terms", format!("units=1,spread={},first={first_gateway}", workload.gateways_per_tenant))
        .body(Empty::new())
        .ok()
}

/// Parses the service time, in microseconds, that a server stub sends as its body.
fn parse_service_time(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body).ok()?.parse().ok()
}
