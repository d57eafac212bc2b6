//! The endpoint list that this process decides by. It comes from the configuration, from discovery or from another
//! process of the gateway; each change is passed to the decision driver and to the other processes.

use crate::control::endpoint_list::{EndpointList, ListedEndpoint};
use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::handover_role::HandoverRole;
use grebehook_core::WatchEvent;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::broadcast;
use tracing::info;

/// Number of changes that are kept for another process that reads them late. One that has missed some gets the
/// complete list instead.
const QUEUED_CHANGES: usize = 16;
/// Maximum number of entries of a change that is kept; a larger one is sent as the complete list.
const MAX_QUEUED_ENTRIES: usize = 256;

/// What a list was first obtained from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListOrigin {
    /// The configuration of a process; the list may be outdated.
    Configuration,
    /// An answer of discovery.
    Discovery,
}

/// Description of a list, or of a change of it, that one process of the gateway offers to another.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct UpdateHeader {
    /// Discovery agent to whose versions `version` belongs.
    pub agent: SocketAddr,
    /// Version of the list with the change applied.
    pub version: u64,
    /// Highest version of all lists that the processes of the gateway have had, of this agent and of earlier ones.
    pub newest_version: u64,
    /// What the list was first obtained from.
    pub origin: ListOrigin,
    /// Version since which the entries have changed; `None` if they are the complete list.
    pub base_version: Option<u64>,
    /// Number of entries.
    pub endpoint_count: usize,
}

/// A list, or a change of it, from another process of the gateway.
pub struct ListUpdate {
    /// Description of the entries.
    pub header: UpdateHeader,
    /// Entries of the list, or those that changed.
    pub endpoints: Vec<ListedEndpoint>,
}

/// A change of the current list, for the other processes.
#[derive(Clone)]
pub struct ListChange {
    /// Connection to the process that told the change, which need not be told.
    pub told_by: Option<ConnectionNumber>,
    /// The change; `None` if the complete list has to be sent.
    pub delta: Option<Rc<ListUpdate>>,
}

/// Number of a connection to another process of the gateway.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ConnectionNumber(pub u64);

/// The version of the current list, and what is known of it.
#[derive(Clone, Copy)]
struct ListState {
    agent: SocketAddr,
    version: u64,
    /// Highest version of all lists that the processes of the gateway have had.
    newest_version: u64,
    origin: ListOrigin,
    /// Number of changes so far.
    revision: u64,
}

impl ListState {
    /// Returns whether a list or change that another process offers is newer than the current list.
    fn accepts(&self, offer: &UpdateHeader, from: HandoverRole) -> bool {
        let is_complete = offer.base_version.is_none();
        if is_complete && from == HandoverRole::Predecessor && self.origin == ListOrigin::Configuration {
            // The configuration has the list as the gateway last had it, by any agent's version.
            return offer.newest_version >= self.newest_version;
        }
        if offer.agent == self.agent {
            let is_based_on_current = offer.base_version.is_none_or(|base| base <= self.version);
            return is_based_on_current && offer.version > self.version;
        }
        // Versions of different agents cannot be compared, but the successor has the newer configuration.
        is_complete && from == HandoverRole::Successor && offer.origin == ListOrigin::Discovery
    }
}

/// The endpoint list that this process decides by.
pub struct CurrentList {
    driver: Rc<DecisionDriver>,
    state: Cell<ListState>,
    changes: broadcast::Sender<ListChange>,
}

impl CurrentList {
    /// Begins with the list of the configuration, whose versions are those of its discovery agent.
    pub fn new(driver: Rc<DecisionDriver>, agent: SocketAddr, known: EndpointList) -> Rc<CurrentList> {
        let EndpointList { version, endpoints, .. } = known;
        info!(version, "starting with the endpoint list of the configuration");
        driver.handle_endpoint_update(WatchEvent::CachedSnapshot, endpoints);
        let origin = ListOrigin::Configuration;
        let state = ListState { agent, version, newest_version: version, origin, revision: 0 };
        let (changes, _) = broadcast::channel(QUEUED_CHANGES);
        Rc::new(CurrentList { driver, state: Cell::new(state), changes })
    }

    /// Returns the version of the list if it is a list of this agent.
    pub fn version_of(&self, agent: SocketAddr) -> Option<u64> {
        let state = self.state.get();
        (state.agent == agent).then_some(state.version)
    }

    /// Returns the number of changes so far.
    pub fn revision(&self) -> u64 {
        self.state.get().revision
    }

    /// Applies an answer of discovery to a call that was made at a revision of the list, unless the list of another
    /// process has been adopted since, which the answer does not replace.
    pub fn apply_discovered(&self, agent: SocketAddr, list: EndpointList, called_at_revision: u64) {
        let state = self.state.get();
        let is_superseded = state.agent != agent || state.version > list.version;
        if state.revision != called_at_revision && is_superseded {
            return;
        }
        let header = UpdateHeader {
            agent,
            version: list.version,
            newest_version: state.newest_version.max(list.version),
            origin: ListOrigin::Discovery,
            base_version: (!list.is_snapshot).then_some(state.version),
            endpoint_count: list.endpoints.len(),
        };
        let watch_event = if list.is_snapshot { WatchEvent::Snapshot } else { WatchEvent::Delta };
        self.apply(ListUpdate { header, endpoints: list.endpoints }, watch_event, None);
    }

    /// Tells the decision core of a failed call to discovery.
    pub fn report_failed_call(&self) {
        self.driver.handle_endpoint_update(WatchEvent::Failed, Vec::new());
    }

    /// Returns whether a list or change that another process offers is newer than the current list.
    pub fn accepts(&self, offer: &UpdateHeader, from: HandoverRole) -> bool {
        self.state.get().accepts(offer, from)
    }

    /// Applies a list or change that another process has sent. Returns false if it is not newer than the current list.
    pub fn adopt(&self, update: ListUpdate, from: HandoverRole, connection: ConnectionNumber) -> bool {
        let header = update.header;
        if !self.accepts(&header, from) {
            return false;
        }
        let is_complete = header.base_version.is_none();
        if is_complete {
            let UpdateHeader { agent, version, endpoint_count, .. } = header;
            info!(%agent, version, endpoint_count, "using the endpoint list of the {from}");
        }
        let watch_event = if is_complete { WatchEvent::CachedSnapshot } else { WatchEvent::Delta };
        self.apply(update, watch_event, Some(connection));
        true
    }

    /// Applies a list or change, and queues it for the other processes.
    fn apply(&self, update: ListUpdate, watch_event: WatchEvent, told_by: Option<ConnectionNumber>) {
        let ListUpdate { header, endpoints } = update;
        let before = self.state.get();
        self.state.set(ListState {
            agent: header.agent,
            version: header.version,
            newest_version: before.newest_version.max(header.newest_version),
            origin: header.origin,
            revision: before.revision + 1,
        });
        if self.changes.receiver_count() > 0 && !(endpoints.is_empty() && header.base_version.is_some()) {
            let is_queued = header.base_version.is_some() && endpoints.len() <= MAX_QUEUED_ENTRIES;
            let delta = is_queued.then(|| Rc::new(ListUpdate { header, endpoints: endpoints.clone() }));
            // Fails only without a receiver.
            let _ = self.changes.send(ListChange { told_by, delta });
        }
        self.driver.handle_endpoint_update(watch_event, endpoints);
    }

    /// Returns all servers that are listed, in the form in which another process gets them.
    pub fn complete(&self) -> ListUpdate {
        let ListState { agent, version, newest_version, origin, .. } = self.state.get();
        let endpoints = self.driver.listed_endpoints();
        let (base_version, endpoint_count) = (None, endpoints.len());
        let header = UpdateHeader { agent, version, newest_version, origin, base_version, endpoint_count };
        ListUpdate { header, endpoints }
    }

    /// Returns the changes from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<ListChange> {
        self.changes.subscribe()
    }
}

#[cfg(test)]
mod tests;
