//! Entries of the endpoint list in the JSON form of discovery and the configuration.

use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The zone of the gateway under test.
pub const LOCAL_ZONE: &str = "room-a";
/// The other zone of the deployment.
pub const REMOTE_ZONE: &str = "room-b";

/// The availability of an endpoint.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointStatus {
    /// The endpoint takes requests.
    Ready,
    /// The endpoint finishes the requests it has and takes no new ones.
    Draining,
    /// The endpoint has been removed from the list.
    #[serde(rename = "gone")]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    /// The unique name by which a change replaces the previous entry.
    pub name: String,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The zone in which the endpoint runs.
    pub zone: &'static str,
    #[serde(rename = "type")]
    kind: &'static str,
    /// The service to which the endpoint belongs.
    group: u32,
    /// The availability for new requests.
    pub status: EndpointStatus,
    /// The share of the load relative to other endpoints.
    weight: f64,
    /// The start time of the endpoint's process, in milliseconds since the epoch.
    #[serde(rename = "since_ms")]
    started_at_ms: u64,
}

impl Endpoint {
    /// Creates an endpoint in the gateway's own zone that takes requests.
    pub fn ready(name: impl Into<String>, address: SocketAddr) -> Endpoint {
        Endpoint {
            name: name.into(),
            address,
            zone: LOCAL_ZONE,
            kind: "std",
            group: 0,
            status: EndpointStatus::Ready,
            weight: 1.0,
            started_at_ms: 0,
        }
    }

    /// Creates an endpoint in the gateway's own zone that takes no new requests.
    pub fn draining(name: impl Into<String>, address: SocketAddr) -> Endpoint {
        Endpoint::ready(name, address).with_status(EndpointStatus::Draining)
    }

    /// Returns the endpoint with another status.
    pub fn with_status(self, status: EndpointStatus) -> Endpoint {
        Endpoint { status, ..self }
    }

    /// Returns the endpoint in another zone.
    pub fn in_zone(self, zone: &'static str) -> Endpoint {
        Endpoint { zone, ..self }
    }

    /// Returns the endpoint with this start time of its process.
    pub fn started_at(self, since_epoch: Duration) -> Endpoint {
        Endpoint { started_at_ms: since_epoch.as_millis() as u64, ..self }
    }
}
