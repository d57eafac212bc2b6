//! Stand-ins for clients: each holds one connection to one gateway and sends requests at random times.

use crate::settings::{CLASS, DEADLINE, PLAN};
use crate::timeline::{Outcome, Timeline};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

/// A client waits so much longer than the deadline.
const SLACK: Duration = Duration::from_millis(500);
/// Pause before a new connection where the last one failed.
const RECONNECT: Duration = Duration::from_millis(50);
/// Largest value of the histogram, microseconds.
const HISTOGRAM_MOST: u64 = 10_000_000;
/// Significant digits of the histogram.
const HISTOGRAM_DIGITS: u8 = 3;
/// Answers missing in a row, from a gateway that runs, that count as its having stopped.
pub const SILENT_MOST: u32 = 20;

/// What clients have seen since the measured time began.
pub struct Seen {
    /// Requests by the time of their sending.
    pub timeline: Timeline,
    /// Requests sent.
    pub arrivals: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests lost.
    pub lost: u64,
    /// Time that gateways added to served requests, microseconds.
    pub added: Histogram<u64>,
    /// Answers missing in a row, for each gateway.
    pub silent: Vec<u32>,
    begins: Option<Instant>,
}

/// Shared by all clients.
pub struct Clients {
    seen: Mutex<Seen>,
    addresses: Mutex<Vec<Option<SocketAddr>>>,
}

impl Clients {
    /// Clients of so many gateways, none of which has an address yet.
    pub fn new(gateways: usize) -> Arc<Clients> {
        let seen = Seen {
            timeline: Timeline::default(),
            arrivals: 0,
            served: 0,
            refused: 0,
            failed: 0,
            lost: 0,
            added: Histogram::new_with_bounds(1, HISTOGRAM_MOST, HISTOGRAM_DIGITS)
                .expect("the bounds are constants that suit each other"),
            silent: vec![0; gateways],
            begins: None,
        };
        Arc::new(Clients { seen: Mutex::new(seen), addresses: Mutex::new(vec![None; gateways]) })
    }

    /// What was seen.
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The measured time begins.
    pub fn measure(&self) {
        self.seen().begins = Some(Instant::now());
    }

    /// A gateway listens at an address, or is down.
    pub fn set_address(&self, gateway: usize, address: Option<SocketAddr>) {
        let mut addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses[gateway] = address;
    }

    fn address(&self, gateway: usize) -> Option<SocketAddr> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)[gateway]
    }

    fn sent(&self) -> Instant {
        let (now, mut seen) = (Instant::now(), self.seen());
        if let Some(begins) = seen.begins {
            seen.arrivals += 1;
            seen.timeline.record_arrival((now - begins).as_micros() as u64);
        }
        now
    }

    fn ended(&self, gateway: usize, sent: Instant, ending: Outcome, added: Option<u64>) {
        let mut seen = self.seen();
        let silent = ending == Outcome::Lost && self.address(gateway).is_some();
        seen.silent[gateway] = if silent { seen.silent[gateway] + 1 } else { 0 };
        let Some(at) = seen.begins.and_then(|begins| sent.checked_duration_since(begins)) else { return };
        match ending {
            Outcome::Served => seen.served += 1,
            Outcome::Rejected => seen.refused += 1,
            Outcome::Failed => seen.failed += 1,
            Outcome::Lost => seen.lost += 1,
        }
        seen.timeline.record_outcome(at.as_micros() as u64, ending);
        if let Some(added) = added {
            seen.added.saturating_record(added.max(1));
        }
    }
}

/// Which requests one client sends.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The gateway that it is connected to.
    pub gateway: usize,
    /// The tenants that come through this gateway, with the first gateway of their sets.
    pub tenants: Vec<(usize, usize)>,
    /// Gateways of a tenant's set.
    pub spread: usize,
    /// Requests a second; none for a connection that stands idle.
    pub per_second: f64,
    /// Seed of its times and tenants.
    pub seed: u64,
}

/// One client, for as long as the run lasts.
pub async fn play(clients: Arc<Clients>, workload: Workload) {
    let mut rng = ChaCha8Rng::seed_from_u64(workload.seed);
    let mut connection = None;
    if workload.per_second <= 0.0 {
        connection = connect(&clients, workload.gateway).await;
        std::future::pending::<()>().await;
    }
    let mut next = tokio::time::Instant::now();
    loop {
        let draw: f64 = rng.random();
        next += Duration::from_secs_f64(-(1.0 - draw).ln() / workload.per_second);
        sleep_until(next).await;
        // Who has fallen behind does not send all that was missed at once.
        next = next.max(tokio::time::Instant::now() - Duration::from_secs(1));
        connection = send(&clients, &workload, &mut rng, connection.take()).await;
    }
}

async fn connect(clients: &Clients, gateway: usize) -> Option<SendRequest<Empty<Bytes>>> {
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
    connection: Option<SendRequest<Empty<Bytes>>>,
) -> Option<SendRequest<Empty<Bytes>>> {
    let request = request(workload, rng)?;
    let usable = connection.filter(|c| !c.is_closed());
    let connection = match usable {
        Some(connection) => Some(connection),
        None => connect(clients, workload.gateway).await,
    };
    let sent = clients.sent();
    let Some(mut connection) = connection else {
        clients.ended(workload.gateway, sent, Outcome::Lost, None);
        sleep(RECONNECT).await;
        return None;
    };
    let patience = Duration::from_micros(DEADLINE) + SLACK;
    let answer = timeout(patience, exchange(&mut connection, request)).await;
    let (ending, server_time) = match answer {
        Ok(Some((StatusCode::OK, body))) => (Outcome::Served, number(&body)),
        Ok(Some((StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _))) => {
            (Outcome::Rejected, None)
        }
        Ok(Some(_)) => (Outcome::Failed, None),
        Ok(None) | Err(_) => (Outcome::Lost, None),
    };
    let took = sent.elapsed().as_micros() as u64;
    clients.ended(workload.gateway, sent, ending, server_time.map(|server| took.saturating_sub(server)));
    (ending != Outcome::Lost).then_some(connection)
}

async fn exchange(
    connection: &mut SendRequest<Empty<Bytes>>,
    request: Request<Empty<Bytes>>,
) -> Option<(StatusCode, Bytes)> {
    connection.ready().await.ok()?;
    let response: Response<Incoming> = connection.send_request(request).await.ok()?;
    let status = response.status();
    Some((status, response.into_body().collect().await.ok()?.to_bytes()))
}

fn request(workload: &Workload, rng: &mut ChaCha8Rng) -> Option<Request<Empty<Bytes>>> {
    if workload.tenants.is_empty() {
        return None;
    }
    let (tenant, first) = workload.tenants[rng.random_range(0..workload.tenants.len())];
    let id: u64 = rng.random();
    Request::get("/api")
        .header("Host", "service.internal")
        .header("X-Call-Id", format!("{id:016x}"))
        .header("X-Call-Class", CLASS)
        .header("Api-Plan", PLAN)
        .header("Api-Customer", format!("{tenant:016x}"))
        .header("X-Budget-Ms", (DEADLINE / 1_000).to_string())
        .header("Api-Terms", format!("units=1,spread={},first={first}", workload.spread))
        .body(Empty::new())
        .ok()
}

fn number(body: &[u8]) -> Option<u64> {
    std::str::from_utf8(body).ok()?.parse().ok()
}
