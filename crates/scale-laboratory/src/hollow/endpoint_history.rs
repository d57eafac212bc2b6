//! Discovery's endpoint list on simulated time: its versions, what an agent is sent to get from one to another, and
//! the lengths of these messages on the wire.

use crate::settings::zone_name;
use crate::topology::Topology;
use crate::wire::{self, EndpointListMessage, EndpointMessage};
use grebehook_core::{Endpoint, EndpointState, Micros, NonZeroMicros, ServerId};
use std::collections::BTreeSet;

/// An agent's address in calls, for their length.
const AGENT_ADDRESS: &str = "127.0.0.1:8500";
/// How long a gateway lets a watch wait.
pub const WATCH_TIMEOUT: Micros = 600_000;
/// How long a failing watch takes: its shorter wait and the backoff after it.
pub const FAILING_WATCH_TIMEOUT: Micros = 400_000;
/// Version of the list at the start.
const FIRST_VERSION: u64 = 1;

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerRecord {
    /// Its number.
    pub server: usize,
    /// Its state.
    pub state: EndpointState,
    /// When it last started; 0 if that was long ago.
    pub started_at: Micros,
}

/// One version of the list, by its difference to the one before.
struct Version {
    /// When it was published.
    published_at: Micros,
    /// The servers whose entries changed.
    servers: Vec<usize>,
}

/// What an agent hands to its gateway.
pub struct EndpointUpdate {
    /// The version that the gateway has then.
    pub version: u64,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
    /// Whether they are the complete list.
    pub is_snapshot: bool,
    /// Length of the list as JSON.
    pub body_bytes: u64,
    /// When each change in it was published.
    pub published_at: Vec<Micros>,
}

/// The list of servers and its versions.
pub struct EndpointHistory {
    /// Where servers stand.
    topology: Topology,
    /// The current record of each server.
    records: Vec<ServerRecord>,
    /// All versions after the first.
    versions: Vec<Version>,
    /// Versions that a relay keeps; an agent further behind is sent a snapshot.
    kept_versions: usize,
    /// Length of the current snapshot, once it was asked for.
    snapshot_bytes: Option<u64>,
}

impl EndpointHistory {
    /// A list of servers that are all ready and warm.
    pub fn new(topology: Topology, servers: usize, kept_versions: usize) -> EndpointHistory {
        let record = |server| ServerRecord { server, state: EndpointState::Ready, started_at: 0 };
        let records = (0..servers).map(record).collect();
        EndpointHistory { topology, records, versions: Vec::new(), kept_versions, snapshot_bytes: None }
    }

    /// The newest version.
    pub fn version(&self) -> u64 {
        FIRST_VERSION + self.versions.len() as u64
    }

    /// Publishes changes as one new version.
    pub fn publish(&mut self, now: Micros, changes: &[ServerRecord]) -> u64 {
        for change in changes {
            self.records[change.server] = *change;
        }
        self.snapshot_bytes = None;
        let servers = changes.iter().map(|change| change.server).collect();
        self.versions.push(Version { published_at: now, servers });
        self.version()
    }

    /// What a gateway needs to get from one version to another; `None` if it has that already.
    pub fn update(&mut self, known: u64, version: u64) -> Option<EndpointUpdate> {
        if known >= version {
            return None;
        }
        let missed = &self.versions[(known - FIRST_VERSION) as usize..(version - FIRST_VERSION) as usize];
        let published_at = missed.iter().map(|missed| missed.published_at).collect();
        if missed.len() > self.kept_versions {
            return Some(EndpointUpdate { published_at, ..self.snapshot() });
        }
        let servers: BTreeSet<usize> =
            missed.iter().flat_map(|missed| missed.servers.iter().copied()).collect();
        let messages = servers.iter().map(|server| self.message(*server)).collect();
        let delta = EndpointListMessage { index: version, snapshot: false, endpoints: messages };
        let body_bytes = wire::json_length(&delta);
        let endpoints = servers.iter().map(|server| self.endpoint(*server)).collect();
        Some(EndpointUpdate { version, endpoints, is_snapshot: false, body_bytes, published_at })
    }

    /// The complete list.
    pub fn snapshot(&mut self) -> EndpointUpdate {
        let listed = self.records.iter().filter(|record| record.state != EndpointState::Removed);
        let listed: Vec<usize> = listed.map(|record| record.server).collect();
        let endpoints = listed.iter().map(|server| self.endpoint(*server)).collect();
        let version = self.version();
        let body_bytes = self.snapshot_bytes.unwrap_or_else(|| {
            let messages = listed.iter().map(|server| self.message(*server)).collect();
            wire::json_length(&EndpointListMessage { index: version, snapshot: true, endpoints: messages })
        });
        self.snapshot_bytes = Some(body_bytes);
        EndpointUpdate { version, endpoints, is_snapshot: true, body_bytes, published_at: Vec::new() }
    }

    /// A server's entry, as the decision core takes it.
    fn endpoint(&self, server: usize) -> Endpoint {
        let record = self.records[server];
        let zone = self.topology.zone_of_server(server) as u32;
        Endpoint {
            server: ServerId(server as u64),
            state: record.state,
            started_at: NonZeroMicros::new(record.started_at),
            relative_size: 1.0,
            zone,
            cell: zone,
        }
    }

    /// A server's entry on the wire.
    fn message(&self, server: usize) -> EndpointMessage {
        let record = self.records[server];
        let zone = self.topology.zone_of_server(server);
        EndpointMessage {
            name: wire::server_name(server),
            address: format!("10.{}.{}.{}:3000", server >> 16 & 0xff, server >> 8 & 0xff, server & 0xff),
            zone: zone_name(zone),
            machine_type: wire::MACHINE_TYPE,
            group: zone as u32,
            status: match record.state {
                EndpointState::Ready => "ready",
                EndpointState::Draining => "draining",
                EndpointState::Removed => "gone",
            },
            weight: 1.0,
            started_at_ms: record.started_at / 1_000,
        }
    }
}

/// Bytes of a watch: its call and a response with a list of this length.
pub fn watch_bytes(version: u64, body_bytes: u64) -> u64 {
    watch_call_bytes(version) + wire::response_head(body_bytes).len() as u64 + body_bytes
}

/// Bytes of a watch without a response.
pub fn watch_call_bytes(version: u64) -> u64 {
    wire::watch_call(AGENT_ADDRESS, version, WATCH_TIMEOUT / 1_000).len() as u64
}

/// Length of a list without changes.
pub fn empty_body_bytes(version: u64) -> u64 {
    wire::json_length(&EndpointListMessage { index: version, snapshot: false, endpoints: Vec::new() })
}
