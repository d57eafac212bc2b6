//! The list of servers in the form in which discovery gives it, also in a gateway's configuration.

use crate::config::names::WireNames;
use grebehook_core::{Endpoint, EndpointState, ServerId};
use grebehook_simulator_adapter::fields;
use serde::Deserialize;
use std::net::SocketAddr;

/// One server as discovery names it.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// What the module is told.
    pub endpoint: Endpoint,
}

/// One answer of discovery.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Its version.
    pub index: u64,
    /// The whole list, not changes alone.
    pub is_snapshot: bool,
    /// The entries.
    pub endpoints: Vec<ListedEndpoint>,
}

/// The list as it is written in JSON; it counts as one of changes where it does not say that it is whole.
#[derive(Debug, Deserialize)]
pub struct EndpointListMessage {
    index: u64,
    #[serde(default, deserialize_with = "fields::lenient")]
    snapshot: bool,
    endpoints: Vec<EndpointMessage>,
}

#[derive(Debug, Deserialize)]
struct EndpointMessage {
    name: String,
    address: SocketAddr,
    status: EndpointStatus,
    #[serde(default, deserialize_with = "fields::lenient")]
    zone: String,
    #[serde(default, deserialize_with = "fields::lenient")]
    since_ms: Option<f64>,
    #[serde(default, deserialize_with = "fields::lenient")]
    weight: Option<f64>,
    #[serde(default, deserialize_with = "fields::lenient")]
    group: Option<f64>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum EndpointStatus {
    Ready,
    Draining,
    Gone,
}

impl EndpointListMessage {
    /// The list in the decision core's terms. A zone that has no name there gets a number of its own.
    pub fn into_list(self, names: &WireNames) -> EndpointList {
        EndpointList {
            index: self.index,
            is_snapshot: self.snapshot,
            endpoints: self.endpoints.iter().map(|member| member.to_endpoint(names)).collect(),
        }
    }
}

impl EndpointMessage {
    fn to_endpoint(&self, names: &WireNames) -> ListedEndpoint {
        let zone = names.zones.iter().position(|zone| *zone == self.zone).unwrap_or(names.zones.len());
        ListedEndpoint {
            address: self.address,
            endpoint: Endpoint {
                server: server_id(&self.name),
                state: match self.status {
                    EndpointStatus::Ready => EndpointState::Ready,
                    EndpointStatus::Draining => EndpointState::Draining,
                    EndpointStatus::Gone => EndpointState::Gone,
                },
                started_at: usable(self.since_ms).map(|ms| (ms * 1_000.0) as u64).filter(|at| *at > 0),
                relative_size: usable(self.weight).unwrap_or(1.0),
                zone: zone as u32,
                cell: usable(self.group).unwrap_or(0.0) as u32,
            },
        }
    }
}

fn usable(number: Option<f64>) -> Option<f64> {
    number.filter(|n| n.is_finite() && *n >= 0.0)
}

/// A server's number: a hash of its name (FNV-1a), the same at every gateway.
fn server_id(name: &str) -> ServerId {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    ServerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}
