//! Stand-ins for discovery agents: one a gateway, all with the same list.

use super::http::{answer, listen, query, Answer};
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
const WAIT_MOST: Duration = Duration::from_secs(60);

struct Version {
    at: Instant,
    endpoints: Vec<EndpointMessage>,
}

#[derive(Default)]
struct List {
    whole: Vec<EndpointMessage>,
    versions: Vec<Version>,
    in_force: Duration,
}

struct Shared {
    list: Mutex<List>,
    version: watch::Sender<u64>,
    silent: AtomicBool,
}

impl Shared {
    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The agents of all gateways.
pub struct Agents {
    /// Their calls and bytes.
    pub traffic: Arc<Traffic>,
    shared: Arc<Shared>,
}

impl Agents {
    /// Agents that know this list as version 1.
    pub fn new(whole: Vec<EndpointMessage>) -> Agents {
        let list = Mutex::new(List { whole, ..List::default() });
        let shared = Shared { list, version: watch::Sender::new(1), silent: AtomicBool::new(false) };
        Agents { traffic: Arc::default(), shared: Arc::new(shared) }
    }

    /// Starts the agent of one gateway.
    pub async fn start(&self) -> io::Result<SocketAddr> {
        let shared = self.shared.clone();
        // The version that this gateway is known to have.
        let held = Arc::new(Mutex::new(1_u64));
        listen(self.traffic.clone(), move |request| call(shared.clone(), held.clone(), request)).await
    }

    /// The list as a gateway knows it at its start.
    pub fn known(&self) -> EndpointListMessage {
        let index = *self.shared.version.borrow();
        EndpointListMessage { index, snapshot: true, endpoints: self.shared.list().whole.clone() }
    }

    /// Makes changes one new version.
    pub fn change(&self, endpoints: Vec<EndpointMessage>) {
        {
            let mut list = self.shared.list();
            for changed in &endpoints {
                list.whole.retain(|e| e.name != changed.name);
                if changed.status != "gone" {
                    list.whole.push(changed.clone());
                }
            }
            list.versions.push(Version { at: Instant::now(), endpoints });
        }
        self.shared.version.send_modify(|version| *version += 1);
    }

    /// Answers no call from now on, or does again.
    pub fn set_silent(&self, silent: bool) {
        self.shared.silent.store(silent, Ordering::Relaxed);
    }

    /// Longest time until any gateway watched from a version since it was made; forgotten by the call.
    pub fn take_in_force(&self) -> Duration {
        std::mem::take(&mut self.shared.list().in_force)
    }
}

async fn call(shared: Arc<Shared>, held: Arc<Mutex<u64>>, request: Request<Incoming>) -> Answer {
    if shared.silent.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    let index = query(&request, "index").and_then(|i| i.parse::<u64>().ok());
    let wait = query(&request, "wait").and_then(|w| w.parse().ok()).map_or(WAIT_MOST, Duration::from_millis);
    let Some(index) = index else {
        return whole(&shared);
    };
    note_held(&shared, &held, index);
    let mut version = shared.version.subscribe();
    let _ = timeout(wait.min(WAIT_MOST), version.wait_for(|v| *v > index)).await;
    if shared.silent.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
    since(&shared, index)
}

/// A gateway that watches from a version has taken in all versions up to it.
fn note_held(shared: &Shared, held: &Mutex<u64>, index: u64) {
    let mut held = held.lock().unwrap_or_else(PoisonError::into_inner);
    let mut list = shared.list();
    let first = (*held).max(1) as usize - 1;
    let last = (index as usize).saturating_sub(1).min(list.versions.len());
    let slowest = list.versions.get(first..last).and_then(|new| new.iter().map(|v| v.at.elapsed()).max());
    list.in_force = list.in_force.max(slowest.unwrap_or_default());
    *held = (*held).max(index);
}

fn whole(shared: &Shared) -> Answer {
    let index = *shared.version.borrow();
    json(&EndpointListMessage { index, snapshot: true, endpoints: shared.list().whole.clone() })
}

fn since(shared: &Shared, index: u64) -> Answer {
    let list = shared.list();
    let version = list.versions.len() as u64 + 1;
    let news = list.versions.get(index.saturating_sub(1) as usize..).unwrap_or_default();
    let mut endpoints: Vec<EndpointMessage> = Vec::new();
    for changed in news.iter().flat_map(|v| &v.endpoints) {
        endpoints.retain(|e| e.name != changed.name);
        endpoints.push(changed.clone());
    }
    json(&EndpointListMessage { index: version, snapshot: false, endpoints })
}

fn json(listing: &EndpointListMessage) -> Answer {
    answer(serde_json::to_vec(listing).unwrap_or_default())
}
