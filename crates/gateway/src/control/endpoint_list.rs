//! The endpoint list in the form in which discovery sends it and the configuration holds it. The protocol's field
//! names are mapped to the decision core's terms here and nowhere else.

use crate::config::names::WireNames;
use grebehook_core::{Endpoint, EndpointState, Micros, NonZeroMicros, ServerId};
use grebehook_simulator_adapter::fields;
use serde::Deserialize;
use std::net::SocketAddr;

/// The protocol gives times in milliseconds.
const MICROS_PER_MILLISECOND: f64 = 1_000.0;
/// The offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// One server of the list.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its entry for the decision core.
    pub endpoint: Endpoint,
}

/// One response of discovery.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The version of the list.
    pub index: u64,
    /// The list is complete; otherwise it has the changed entries only.
    pub is_snapshot: bool,
    /// The entries.
    pub endpoints: Vec<ListedEndpoint>,
}

/// The list as JSON. It is a delta unless it says that it is a snapshot.
#[derive(Debug, Deserialize)]
pub struct EndpointListMessage {
    /// The version of the list.
    index: u64,
    /// Whether the list is complete.
    #[serde(rename = "snapshot", default, deserialize_with = "fields::lenient")]
    is_snapshot: bool,
    /// The entries.
    endpoints: Vec<EndpointMessage>,
}

/// One entry of the list as JSON.
#[derive(Debug, Deserialize)]
struct EndpointMessage {
    /// The server's name.
    name: String,
    /// Where it listens.
    address: SocketAddr,
    /// Its state.
    #[serde(rename = "status")]
    state: EndpointStateMessage,
    /// The name of its zone.
    #[serde(default, deserialize_with = "fields::lenient")]
    zone: String,
    /// When it last started, in Unix time.
    #[serde(rename = "since_ms", default, deserialize_with = "fields::lenient")]
    started_at_ms: Option<f64>,
    /// Its capacity relative to other servers'.
    #[serde(rename = "weight", default, deserialize_with = "fields::lenient")]
    relative_size: Option<f64>,
    /// The number of its cell.
    #[serde(rename = "group", default, deserialize_with = "fields::lenient")]
    cell: Option<f64>,
}

/// The state of a server as JSON.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EndpointStateMessage {
    /// Takes new requests.
    Ready,
    /// Completes its requests in flight and takes no new ones.
    Draining,
    /// Removed.
    Gone,
}

impl EndpointListMessage {
    /// The list in the decision core's terms.
    pub fn into_list(self, names: &WireNames) -> EndpointList {
        EndpointList {
            index: self.index,
            is_snapshot: self.is_snapshot,
            endpoints: self.endpoints.iter().map(|endpoint| endpoint.to_listed(names)).collect(),
        }
    }
}

impl EndpointMessage {
    /// The entry in the decision core's terms.
    fn to_listed(&self, names: &WireNames) -> ListedEndpoint {
        let endpoint = Endpoint {
            server: server_id(&self.name),
            state: self.state.into(),
            started_at: self.started_at(),
            relative_size: usable(self.relative_size).unwrap_or(1.0),
            zone: zone_number(&self.zone, names),
            cell: usable(self.cell).unwrap_or(0.0) as u32,
        };
        ListedEndpoint { address: self.address, endpoint }
    }

    /// When the server last started; a time of 0 means that it is unknown.
    fn started_at(&self) -> Option<NonZeroMicros> {
        let started_at = usable(self.started_at_ms).map(|ms| (ms * MICROS_PER_MILLISECOND) as Micros);
        started_at.and_then(NonZeroMicros::new)
    }
}

impl From<EndpointStateMessage> for EndpointState {
    fn from(state: EndpointStateMessage) -> EndpointState {
        match state {
            EndpointStateMessage::Ready => EndpointState::Ready,
            EndpointStateMessage::Draining => EndpointState::Draining,
            EndpointStateMessage::Gone => EndpointState::Removed,
        }
    }
}

/// The index of a zone in the settings; all zones that these do not name share the next number.
fn zone_number(zone: &str, names: &WireNames) -> u32 {
    let index = names.zones.iter().position(|name| name == zone);
    index.unwrap_or(names.zones.len()) as u32
}

/// A number unless it is negative or not finite.
fn usable(number: Option<f64>) -> Option<f64> {
    number.filter(|number| number.is_finite() && *number >= 0.0)
}

/// A server's number: the FNV-1a hash of its name, the same at every gateway.
fn server_id(name: &str) -> ServerId {
    let add_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    ServerId(name.bytes().fold(FNV_OFFSET_BASIS, add_byte))
}
