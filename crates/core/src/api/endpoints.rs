//! The endpoint list as service discovery tells it.

use super::{NonZeroMicros, ServerId};

/// What the endpoint list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new requests.
    Ready,
    /// Completes its requests in flight and takes no new ones.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Which server.
    pub server: ServerId,
    /// Its state.
    pub state: EndpointState,
    /// When it last started; `None` if that was long ago.
    pub started_at: Option<NonZeroMicros>,
    /// Its capacity relative to other servers'.
    pub relative_size: f64,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
}

/// How many servers the endpoint list has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Servers that are listed.
    pub listed: usize,
    /// Those of them that are ejected.
    pub ejected: usize,
}

/// What kind of answer the watch of the endpoint list gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The complete list.
    Snapshot,
    /// The complete list as last known, perhaps outdated.
    CachedSnapshot,
    /// Changed entries only.
    Delta,
    /// A call failed; the known list stays valid.
    Failed,
}
