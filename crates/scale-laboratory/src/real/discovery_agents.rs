//! Stubs of discovery agents: one a gateway, all with the same endpoint list.

use super::stub_http::{listen, query_parameter, response, StubResponse};
use super::traffic::Traffic;
use crate::wire::{EndpointListMessage, EndpointMessage};
use hyper::body::Incoming;
use hyper::Request;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::timeout;

/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Version of the list at the start.
const FIRST_VERSION: u64 = 1;

/// One version of the list after the first.
struct Version {
    /// When it was published.
    published_at: Instant,
    /// The entries that changed.
    endpoints: Vec<EndpointMessage>,
}

/// The list and its versions.
#[derive(Default)]
struct EndpointList {
    /// The complete list.
    snapshot: Vec<EndpointMessage>,
    /// The versions after the first.
    versions: Vec<Version>,
    /// Longest time until a gateway watched from a version since it was published.
    change_in_force: Duration,
}

/// What all agents share.
struct Shared {
    /// The list.
    list: Mutex<EndpointList>,
    /// Its version, for watches that wait.
    version: watch::Sender<u64>,
    /// They answer no calls.
    silent: AtomicBool,
}

impl Shared {
    /// The list, locked.
    fn list(&self) -> MutexGuard<'_, EndpointList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for ever while the agents are silent.
    async fn hang_if_silent(&self) {
        if self.silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

/// The agents of all gateways.
pub struct DiscoveryAgents {
    /// Their calls and bytes.
    pub traffic: Arc<Traffic>,
    /// What they share.
    shared: Arc<Shared>,
}

impl DiscoveryAgents {
    /// Agents with the first version of a list.
    pub fn new(snapshot: Vec<EndpointMessage>) -> DiscoveryAgents {
        let list = Mutex::new(EndpointList { snapshot, ..EndpointList::default() });
        let version = watch::Sender::new(FIRST_VERSION);
        let shared = Shared { list, version, silent: AtomicBool::new(false) };
        DiscoveryAgents { traffic: Arc::default(), shared: Arc::new(shared) }
    }

    /// Starts the agent of one gateway.
    pub async fn start(&self) -> io::Result<SocketAddr> {
        let shared = self.shared.clone();
        let known_version = Arc::new(Mutex::new(FIRST_VERSION));
        let handler = move |request| call(shared.clone(), known_version.clone(), request);
        listen(self.traffic.clone(), handler).await
    }

    /// The complete list, for a gateway's configuration.
    pub fn snapshot(&self) -> EndpointListMessage {
        snapshot(&self.shared)
    }

    /// Publishes changed entries as one new version.
    pub fn publish(&self, endpoints: Vec<EndpointMessage>) {
        let mut list = self.shared.list();
        for changed in &endpoints {
            list.snapshot.retain(|listed| listed.name != changed.name);
            if changed.status != "gone" {
                list.snapshot.push(changed.clone());
            }
        }
        list.versions.push(Version { published_at: Instant::now(), endpoints });
        drop(list);
        self.shared.version.send_modify(|version| *version += 1);
    }

    /// Whether they answer no calls from now on.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.store(silent, Ordering::Relaxed);
    }

    /// Longest time until any gateway watched from a version since it was published; forgotten by the call.
    pub fn take_change_in_force(&self) -> Duration {
        std::mem::take(&mut self.shared.list().change_in_force)
    }
}

/// Answers a watch once there is a newer version or its wait is over, or a call without a version at once.
async fn call(
    shared: Arc<Shared>,
    known_version: Arc<Mutex<u64>>,
    request: Request<Incoming>,
) -> StubResponse {
    shared.hang_if_silent().await;
    let index = query_parameter(&request, "index").and_then(|index| index.parse::<u64>().ok());
    let Some(index) = index else { return json(&snapshot(&shared)) };
    let wait = query_parameter(&request, "wait").and_then(|wait| wait.parse().ok());
    let wait = wait.map_or(MAX_WATCH_WAIT, Duration::from_millis).min(MAX_WATCH_WAIT);
    record_known_version(&shared, &known_version, index);
    let mut version = shared.version.subscribe();
    let _ = timeout(wait, version.wait_for(|version| *version > index)).await;
    shared.hang_if_silent().await;
    json(&delta(&shared, index))
}

/// A gateway that watches from a version has applied all versions up to it.
fn record_known_version(shared: &Shared, known_version: &Mutex<u64>, index: u64) {
    let mut known_version = known_version.lock().unwrap_or_else(PoisonError::into_inner);
    let mut list = shared.list();
    let first = (*known_version).max(FIRST_VERSION) - FIRST_VERSION;
    let last = (index.saturating_sub(FIRST_VERSION) as usize).min(list.versions.len());
    let applied = list.versions.get(first as usize..last).unwrap_or_default();
    let slowest = applied.iter().map(|version| version.published_at.elapsed()).max();
    list.change_in_force = list.change_in_force.max(slowest.unwrap_or_default());
    *known_version = (*known_version).max(index);
}

/// The complete list.
fn snapshot(shared: &Shared) -> EndpointListMessage {
    let index = *shared.version.borrow();
    EndpointListMessage { index, snapshot: true, endpoints: shared.list().snapshot.clone() }
}

/// The entries that changed since a version.
fn delta(shared: &Shared, since: u64) -> EndpointListMessage {
    let list = shared.list();
    let index = list.versions.len() as u64 + FIRST_VERSION;
    let missed = list.versions.get(since.saturating_sub(FIRST_VERSION) as usize..).unwrap_or_default();
    let mut endpoints: Vec<EndpointMessage> = Vec::new();
    for changed in missed.iter().flat_map(|version| &version.endpoints) {
        endpoints.retain(|endpoint| endpoint.name != changed.name);
        endpoints.push(changed.clone());
    }
    EndpointListMessage { index, snapshot: false, endpoints }
}

/// A list as a response.
fn json(list: &EndpointListMessage) -> StubResponse {
    response(serde_json::to_vec(list).unwrap_or_default())
}
