//! Discovery on simulated time: versions of the list of servers, relays that pass them to the gateways' agents, and
//! the watches of the gateways. Lengths are those of the messages as they stand on the wire.

use crate::settings::zone_name;
use crate::topology::Topology;
use crate::wire::{self, EndpointMessage, Listing};
use grebehook_core::{Endpoint, EndpointState, Micros, ServerId};
use std::collections::BTreeSet;

/// An agent's address in calls, for their length.
const AGENT: &str = "127.0.0.1:8500";
/// How long a gateway lets a watch wait.
pub const WATCH: Micros = 600_000;
/// How long a failing watch takes: its shorter wait and the silence after it.
pub const FAILING_WATCH: Micros = 400_000;
/// Version of the list at the start.
const FIRST_VERSION: u64 = 1;

/// What became of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Its number.
    pub server: usize,
    /// Its state.
    pub state: EndpointState,
    /// When it last started.
    pub ready_at: Micros,
}

struct Version {
    at: Micros,
    servers: Vec<usize>,
}

/// What an agent hands to its gateway.
pub struct Update {
    /// The version that the gateway has then.
    pub version: u64,
    /// The entries.
    pub entries: Vec<Endpoint>,
    /// The whole list.
    pub whole: bool,
    /// Length of the list as JSON.
    pub body_bytes: u64,
    /// When each change in it was made.
    pub made_at: Vec<Micros>,
}

/// The list of servers and its versions.
pub struct Relay {
    topology: Topology,
    members: Vec<Member>,
    versions: Vec<Version>,
    history: usize,
    whole_bytes: Option<u64>,
}

impl Relay {
    /// All servers ready, long since.
    pub fn new(topology: Topology, servers: usize, history: usize) -> Relay {
        let member = |server| Member { server, state: EndpointState::Ready, ready_at: 0 };
        let members = (0..servers).map(member).collect();
        Relay { topology, members, versions: Vec::new(), history, whole_bytes: None }
    }

    /// The newest version.
    pub fn version(&self) -> u64 {
        FIRST_VERSION + self.versions.len() as u64
    }

    /// Takes in changes as one new version.
    pub fn change(&mut self, now: Micros, changes: &[Member]) -> u64 {
        for change in changes {
            self.members[change.server] = *change;
        }
        self.whole_bytes = None;
        self.versions.push(Version { at: now, servers: changes.iter().map(|c| c.server).collect() });
        self.version()
    }

    /// What a gateway is handed that holds one version and is to hold another; none where it has that already.
    pub fn update(&mut self, held: u64, version: u64) -> Option<Update> {
        if held >= version {
            return None;
        }
        let news = &self.versions[(held - FIRST_VERSION) as usize..(version - FIRST_VERSION) as usize];
        let made_at = news.iter().map(|v| v.at).collect();
        if news.len() > self.history {
            return Some(Update { made_at, ..self.whole() });
        }
        let servers: BTreeSet<usize> = news.iter().flat_map(|v| v.servers.iter().copied()).collect();
        let endpoints = servers.iter().map(|s| self.endpoint(*s)).collect();
        let body_bytes = wire::json_length(&Listing { index: version, snapshot: false, endpoints });
        let entries = servers.iter().map(|s| self.entry(*s)).collect();
        Some(Update { version, entries, whole: false, body_bytes, made_at })
    }

    /// The whole list.
    pub fn whole(&mut self) -> Update {
        let listed: Vec<usize> =
            self.members.iter().filter(|m| m.state != EndpointState::Gone).map(|m| m.server).collect();
        let entries = listed.iter().map(|s| self.entry(*s)).collect();
        let version = self.version();
        let body_bytes = self.whole_bytes.unwrap_or_else(|| {
            let endpoints = listed.iter().map(|s| self.endpoint(*s)).collect();
            wire::json_length(&Listing { index: version, snapshot: true, endpoints })
        });
        self.whole_bytes = Some(body_bytes);
        Update { version, entries, whole: true, body_bytes, made_at: Vec::new() }
    }

    fn entry(&self, server: usize) -> Endpoint {
        let member = self.members[server];
        let zone = self.topology.zone_of_server(server) as u32;
        Endpoint {
            server: ServerId(server as u64),
            state: member.state,
            started_at: Some(member.ready_at).filter(|at| *at > 0),
            relative_size: 1.0,
            zone,
            cell: zone,
        }
    }

    fn endpoint(&self, server: usize) -> EndpointMessage {
        let member = self.members[server];
        EndpointMessage {
            name: format!("s-{server:08x}"),
            address: format!("10.{}.{}.{}:3000", server >> 16 & 0xff, server >> 8 & 0xff, server & 0xff),
            zone: zone_name(self.topology.zone_of_server(server)),
            machine: "std",
            group: self.topology.zone_of_server(server) as u32,
            status: match member.state {
                EndpointState::Ready => "ready",
                EndpointState::Draining => "draining",
                EndpointState::Gone => "gone",
            },
            weight: 1.0,
            since_ms: member.ready_at / 1_000,
        }
    }
}

/// Bytes of a watch: its call and an answer with a list of this length.
pub fn watch_bytes(version: u64, body_bytes: u64) -> u64 {
    watch_call_bytes(version) + (wire::answer_head(body_bytes).len() as u64) + body_bytes
}

/// Bytes of a watch that nobody answers.
pub fn watch_call_bytes(version: u64) -> u64 {
    wire::watch_call(AGENT, version, WATCH / 1_000).len() as u64
}

/// Length of an answer without changes.
pub fn empty_body_bytes(version: u64) -> u64 {
    wire::json_length(&Listing { index: version, snapshot: false, endpoints: Vec::new() })
}
