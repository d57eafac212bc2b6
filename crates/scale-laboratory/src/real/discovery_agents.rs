//! HTTP stubs of discovery agents: one for each gateway, all with the same endpoint list.

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

/// Upper bound on the time a watch is held open, and the default for a watch without the parameter `wait`.
const MAX_WATCH_DURATION: Duration = Duration::from_secs(60);
/// Version of the list before any change is published.
const FIRST_VERSION: u64 = 1;

/// A published change, which leads to the next version of the list.
struct Version {
    published_at: Instant,
    /// Entries that changed.
    endpoints: Vec<EndpointMessage>,
}

/// Endpoint list with the history of its changes.
#[derive(Default)]
struct EndpointList {
    /// Complete list in its latest version.
    snapshot: Vec<EndpointMessage>,
    /// Versions after the first, in order.
    versions: Vec<Version>,
    /// Longest time from the publication of a version until a gateway watched from it.
    max_propagation_delay: Duration,
}

/// State shared by all agents.
struct SharedState {
    list: Mutex<EndpointList>,
    /// Latest version of the list; wakes the pending watches.
    version: watch::Sender<u64>,
    /// Whether calls are left without a response.
    unresponsive: AtomicBool,
}

impl SharedState {
    fn list(&self) -> MutexGuard<'_, EndpointList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Never returns if the agents are unresponsive at the time of the call.
    async fn hang_if_unresponsive(&self) {
        if self.unresponsive.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

/// Discovery agents of all gateways.
pub struct DiscoveryAgents {
    /// Calls and bytes of all agents.
    pub traffic: Arc<Traffic>,
    shared: Arc<SharedState>,
}

impl DiscoveryAgents {
    /// Returns agents with the first version of a list; none of them listens yet.
    pub fn new(snapshot: Vec<EndpointMessage>) -> DiscoveryAgents {
        let list = Mutex::new(EndpointList { snapshot, ..EndpointList::default() });
        let version = watch::Sender::new(FIRST_VERSION);
        let shared = SharedState { list, version, unresponsive: AtomicBool::new(false) };
        DiscoveryAgents { traffic: Arc::default(), shared: Arc::new(shared) }
    }

    /// Starts the agent of one gateway and returns the address of its listener.
    pub async fn start(&self) -> io::Result<SocketAddr> {
        let shared = self.shared.clone();
        let applied_version = Arc::new(Mutex::new(FIRST_VERSION));
        let handler = move |request| handle_call(shared.clone(), applied_version.clone(), request);
        listen(self.traffic.clone(), handler).await
    }

    /// Returns the complete list, for a gateway's configuration.
    pub fn snapshot(&self) -> EndpointListMessage {
        snapshot(&self.shared)
    }

    /// Publishes changed entries as one new version; entries with the status `gone` leave the list.
    pub fn publish(&self, endpoints: Vec<EndpointMessage>) {
        let mut list = self.shared.list();
        for changed in &endpoints {
            list.snapshot.retain(|entry| entry.name != changed.name);
            if changed.status != "gone" {
                list.snapshot.push(changed.clone());
            }
        }
        list.versions.push(Version { published_at: Instant::now(), endpoints });
        drop(list);
        self.shared.version.send_modify(|version| *version += 1);
    }

    /// Sets whether calls are left without a response.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.shared.unresponsive.store(unresponsive, Ordering::Relaxed);
    }

    /// Returns the longest time from the publication of a version until a gateway watched from it, and resets
    /// that time.
    pub fn take_max_propagation_delay(&self) -> Duration {
        std::mem::take(&mut self.shared.list().max_propagation_delay)
    }
}

/// Handles a call. A watch gets its response once there is a newer version or its time is over. A call
/// without a version gets the complete list at once.
async fn handle_call(
    shared: Arc<SharedState>,
    applied_version: Arc<Mutex<u64>>,
    request: Request<Incoming>,
) -> StubResponse {
    shared.hang_if_unresponsive().await;
    let since = query_parameter(&request, "index").and_then(|index| index.parse::<u64>().ok());
    let Some(since) = since else { return json_response(&snapshot(&shared)) };
    let wait = query_parameter(&request, "wait").and_then(|wait| wait.parse().ok());
    let wait = wait.map_or(MAX_WATCH_DURATION, Duration::from_millis).min(MAX_WATCH_DURATION);
    record_applied_version(&shared, &applied_version, since);
    let mut version = shared.version.subscribe();
    let _ = timeout(wait, version.wait_for(|version| *version > since)).await;
    shared.hang_if_unresponsive().await;
    json_response(&delta(&shared, since))
}

/// Records how long the versions up to `watched_from` took to reach a gateway. A gateway that watches from a
/// version has applied all versions up to it.
fn record_applied_version(shared: &SharedState, applied_version: &Mutex<u64>, watched_from: u64) {
    let mut applied_version = applied_version.lock().unwrap_or_else(PoisonError::into_inner);
    let mut list = shared.list();
    let first = (*applied_version).max(FIRST_VERSION) - FIRST_VERSION;
    let last = (watched_from.saturating_sub(FIRST_VERSION) as usize).min(list.versions.len());
    let applied = list.versions.get(first as usize..last).unwrap_or_default();
    let longest_delay = applied.iter().map(|version| version.published_at.elapsed()).max();
    list.max_propagation_delay = list.max_propagation_delay.max(longest_delay.unwrap_or_default());
    *applied_version = (*applied_version).max(watched_from);
}

/// Returns the complete list in its latest version.
fn snapshot(shared: &SharedState) -> EndpointListMessage {
    let index = *shared.version.borrow();
    EndpointListMessage { index, snapshot: true, endpoints: shared.list().snapshot.clone() }
}

/// Returns the entries that changed after a version, each in its latest state.
fn delta(shared: &SharedState, since: u64) -> EndpointListMessage {
    let list = shared.list();
    let index = list.versions.len() as u64 + FIRST_VERSION;
    let versions = list.versions.get(since.saturating_sub(FIRST_VERSION) as usize..).unwrap_or_default();
    let mut endpoints: Vec<EndpointMessage> = Vec::new();
    for changed in versions.iter().flat_map(|version| &version.endpoints) {
        endpoints.retain(|endpoint| endpoint.name != changed.name);
        endpoints.push(changed.clone());
    }
    EndpointListMessage { index, snapshot: false, endpoints }
}

/// Returns a response with the list as its JSON body.
fn json_response(list: &EndpointListMessage) -> StubResponse {
    response(serde_json::to_vec(list).unwrap_or_default())
}
