//! Entries of the endpoint list as discovery and the configuration write them.

use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// The zone of the gateway under test.
pub const LOCAL_ZONE: &str = "room-a";
/// The other zone of the deployment.
pub const REMOTE_ZONE: &str = "room-b";

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointStatus {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has left.
    Gone,
}

/// An endpoint in the form of the wire.
#[derive(Clone, Debug, Serialize)]
pub struct Endpoint {
    /// Its name, by which a change finds the previous entry.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it is in.
    pub zone: &'static str,
    /// The kind of endpoint.
    #[serde(rename = "type")]
    kind: &'static str,
    /// The service it belongs to.
    group: u32,
    /// Whether it takes requests.
    pub status: EndpointStatus,
    /// Its share of the load relative to others.
    weight: f64,
    /// When its process started, in milliseconds since the epoch.
    #[serde(rename = "since_ms")]
    started_at_ms: u64,
}

impl Endpoint {
    /// An endpoint in the gateway's own zone that takes requests.
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

    /// An endpoint in the gateway's own zone that is shutting down.
    pub fn draining(name: impl Into<String>, address: SocketAddr) -> Endpoint {
        Endpoint::ready(name, address).with_status(EndpointStatus::Draining)
    }

    /// The same endpoint with another status.
    pub fn with_status(self, status: EndpointStatus) -> Endpoint {
        Endpoint { status, ..self }
    }

    /// The same endpoint in another zone.
    pub fn in_zone(self, zone: &'static str) -> Endpoint {
        Endpoint { zone, ..self }
    }

    /// The same endpoint, started at a time since the epoch.
    pub fn started_at(self, since_epoch: Duration) -> Endpoint {
        Endpoint { started_at_ms: since_epoch.as_millis() as u64, ..self }
    }
}
