//! JSON form of the endpoint list, as discovery sends it and the configuration contains it. Only this module
//! maps the protocol's field names to the decision core's terms.

use crate::config::names::WireNames;
use grebehook_core::{Endpoint, EndpointState, Micros, NonZeroMicros, ServerId};
use grebehook_simulator_adapter::fields;
use serde::Deserialize;
use std::net::SocketAddr;

/// Conversion factor for times, which the protocol gives in milliseconds.
const MICROS_PER_MILLISECOND: f64 = 1_000.0;
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Lowest number of a zone that the settings do not list.
const FIRST_UNLISTED_ZONE: u32 = 1 << 31;

/// Server of the endpoint list, with its network address.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Entry of the server in the decision core's terms.
    pub endpoint: Endpoint,
}

/// Endpoint list in the decision core's terms.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Version of the list; a higher one is newer.
    pub version: u64,
    /// Whether the list is complete; a delta contains only the changed entries.
    pub is_snapshot: bool,
    /// Entries of the list.
    pub endpoints: Vec<ListedEndpoint>,
}

/// JSON form of an endpoint list, which is a delta unless it is marked as a snapshot.
#[derive(Debug, Deserialize)]
pub struct EndpointListMessage {
    #[serde(rename = "index")]
    version: u64,
    #[serde(rename = "snapshot", default, deserialize_with = "fields::value_or_default")]
    is_snapshot: bool,
    endpoints: Vec<EndpointMessage>,
}

/// JSON form of one entry of the list.
#[derive(Debug, Deserialize)]
struct EndpointMessage {
    name: String,
    address: SocketAddr,
    #[serde(rename = "status")]
    state: EndpointStateMessage,
    /// Name of the server's zone.
    #[serde(default, deserialize_with = "fields::value_or_default")]
    zone: String,
    /// Time of the server's last start, in milliseconds of Unix time.
    #[serde(rename = "since_ms", default, deserialize_with = "fields::value_or_default")]
    started_at_ms: Option<f64>,
    /// Capacity of the server relative to the others.
    #[serde(rename = "weight", default, deserialize_with = "fields::value_or_default")]
    relative_size: Option<f64>,
    /// Number of the cell that the server belongs to.
    #[serde(rename = "group", default, deserialize_with = "fields::value_or_default")]
    cell: Option<f64>,
}

/// JSON form of the state of a server.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EndpointStateMessage {
    /// The server accepts new requests.
    Ready,
    /// The server completes its requests in flight and accepts no new ones.
    Draining,
    /// The server has been removed from the list.
    #[serde(rename = "gone")]
    Removed,
}

impl EndpointListMessage {
    /// Converts the list to the decision core's terms.
    pub fn into_list(self, names: &WireNames) -> EndpointList {
        EndpointList {
            version: self.version,
            is_snapshot: self.is_snapshot,
            endpoints: self.endpoints.iter().map(|endpoint| endpoint.to_listed(names)).collect(),
        }
    }
}

impl EndpointMessage {
    /// Converts the entry to the decision core's terms.
    fn to_listed(&self, names: &WireNames) -> ListedEndpoint {
        let endpoint = Endpoint {
            server: server_id(&self.name),
            state: self.state.into(),
            started_at: self.started_at(),
            relative_size: non_negative(self.relative_size).unwrap_or(1.0),
            zone: zone_number(&self.zone, names),
            cell: non_negative(self.cell).unwrap_or(0.0) as u32,
        };
        ListedEndpoint { address: self.address, endpoint }
    }

    /// Returns the time of the server's last start, or `None` if it is unknown, which a time of 0 also means.
    fn started_at(&self) -> Option<NonZeroMicros> {
        let started_at = non_negative(self.started_at_ms).map(|ms| (ms * MICROS_PER_MILLISECOND) as Micros);
        started_at.and_then(NonZeroMicros::new)
    }
}

impl From<EndpointStateMessage> for EndpointState {
    fn from(state: EndpointStateMessage) -> EndpointState {
        match state {
            EndpointStateMessage::Ready => EndpointState::Ready,
            EndpointStateMessage::Draining => EndpointState::Draining,
            EndpointStateMessage::Removed => EndpointState::Removed,
        }
    }
}

/// Returns the number of a zone: its index in the settings, or else a number that is different for each name.
/// Servers without a zone share the index after the last.
fn zone_number(zone: &str, names: &WireNames) -> u32 {
    match names.zones.iter().position(|name| name == zone) {
        Some(index) => index as u32,
        None if zone.is_empty() => names.zones.len() as u32,
        None => unlisted_zone(zone),
    }
}

/// Returns a key of a zone that is the same for all settings; `None` for servers without a zone.
pub fn zone_key(zone: u32, names: &WireNames) -> Option<u32> {
    match names.zones.get(zone as usize) {
        Some(name) => Some(unlisted_zone(name)),
        None => Some(zone).filter(|zone| *zone != names.zones.len() as u32),
    }
}

/// Returns the number of the zone with a key.
pub fn zone_from_key(key: Option<u32>, names: &WireNames) -> u32 {
    let Some(key) = key else { return names.zones.len() as u32 };
    let index = names.zones.iter().position(|name| unlisted_zone(name) == key);
    index.map_or(key, |index| index as u32)
}

/// Returns the number of a zone that the settings do not list.
fn unlisted_zone(name: &str) -> u32 {
    FIRST_UNLISTED_ZONE | fnv_1a(name) as u32
}

/// Returns the number if it is finite and not negative.
fn non_negative(number: Option<f64>) -> Option<f64> {
    number.filter(|number| number.is_finite() && *number >= 0.0)
}

/// Returns the FNV-1a hash of a server's name, which identifies the server at every gateway.
fn server_id(name: &str) -> ServerId {
    ServerId(fnv_1a(name))
}

/// Returns the 64-bit FNV-1a hash of a text.
fn fnv_1a(text: &str) -> u64 {
    let add_byte = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    text.bytes().fold(FNV_OFFSET_BASIS, add_byte)
}
