//! Endpoint list of discovery on simulated time: its versions, the updates from one version to another, and
//! the length of these messages on the wire.

use crate::settings::zone_name;
use crate::topology::Topology;
use crate::wire::{self, EndpointListMessage, EndpointMessage};
use grebehook_core::{Endpoint, EndpointState, Micros, NonZeroMicros, ServerId};
use std::collections::BTreeSet;

/// Address of an agent, which counts towards the length of its calls.
const AGENT_ADDRESS: &str = "127.0.0.1:8500";
/// Time after which a watch without changes ends, in microseconds.
pub const WATCH_TIMEOUT: Micros = 600_000;
/// Duration of a failing watch, in microseconds: its shorter timeout and the backoff after it.
pub const FAILING_WATCH_TIMEOUT: Micros = 400_000;
/// First version of the list.
const FIRST_VERSION: u64 = 1;

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerRecord {
    /// Index of the server.
    pub server: usize,
    /// State that discovery reports for the server.
    pub state: EndpointState,
    /// Time of the last start, in microseconds; 0 for a server that has long been warm.
    pub started_at: Micros,
}

/// A version of the list, as its difference from the one before.
struct Version {
    /// Time of publication, in microseconds.
    published_at: Micros,
    /// Servers whose entries changed.
    servers: Vec<usize>,
}

/// Message that an agent delivers to its gateway.
pub struct EndpointUpdate {
    /// Version of the list after the update.
    pub version: u64,
    /// Entries of the list or of the delta.
    pub endpoints: Vec<Endpoint>,
    /// Whether `endpoints` is the complete list.
    pub is_snapshot: bool,
    /// Length of the message as JSON, in bytes.
    pub body_bytes: u64,
    /// Publication times of the versions that the update contains, in microseconds.
    pub published_at: Vec<Micros>,
}

/// Endpoint list with its versions.
pub struct EndpointHistory {
    topology: Topology,
    /// Current record of each server.
    records: Vec<ServerRecord>,
    /// All versions after the first.
    versions: Vec<Version>,
    /// Number of versions that a relay retains; an agent that is further behind gets a snapshot.
    retained_versions: usize,
    /// Length of the current snapshot in bytes, computed on first use.
    snapshot_bytes: Option<u64>,
}

impl EndpointHistory {
    /// Returns a list of servers that are all ready and warm.
    pub fn new(topology: Topology, servers: usize, retained_versions: usize) -> EndpointHistory {
        let record = |server| ServerRecord { server, state: EndpointState::Ready, started_at: 0 };
        let records = (0..servers).map(record).collect();
        EndpointHistory { topology, records, versions: Vec::new(), retained_versions, snapshot_bytes: None }
    }

    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        FIRST_VERSION + self.versions.len() as u64
    }

    /// Publishes changes as one new version and returns it.
    pub fn publish(&mut self, now: Micros, changes: &[ServerRecord]) -> u64 {
        for change in changes {
            self.records[change.server] = *change;
        }
        self.snapshot_bytes = None;
        let servers = changes.iter().map(|change| change.server).collect();
        self.versions.push(Version { published_at: now, servers });
        self.version()
    }

    /// Returns the update from a known version to a later one, as a snapshot if the relay no longer retains
    /// all versions between; `None` if the version is already known.
    pub fn update(&mut self, known_version: u64, version: u64) -> Option<EndpointUpdate> {
        if known_version >= version {
            return None;
        }
        let missed =
            &self.versions[(known_version - FIRST_VERSION) as usize..(version - FIRST_VERSION) as usize];
        let published_at = missed.iter().map(|missed| missed.published_at).collect();
        if missed.len() > self.retained_versions {
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

    /// Returns the complete list at the newest version.
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

    /// Returns the entry of a server in the form that the decision core uses.
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

    /// Returns the entry of a server in its form on the wire.
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

/// Returns the length of a watch in bytes: its call and a response with a list of `body_bytes`.
pub fn watch_bytes(version: u64, body_bytes: u64) -> u64 {
    watch_call_bytes(version) + wire::response_head(body_bytes).len() as u64 + body_bytes
}

/// Returns the length of a watch call without a response, in bytes.
pub fn watch_call_bytes(version: u64) -> u64 {
    wire::watch_call(AGENT_ADDRESS, version, WATCH_TIMEOUT / 1_000).len() as u64
}

/// Returns the length of a list without changes, in bytes.
pub fn empty_body_bytes(version: u64) -> u64 {
    wire::json_length(&EndpointListMessage { index: version, snapshot: false, endpoints: Vec::new() })
}
