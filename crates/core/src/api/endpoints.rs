//! The endpoint list as service discovery reports it.

use super::{NonZeroMicros, ServerId};

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The server accepts new requests.
    Ready,
    /// The server completes its requests in flight and accepts no new ones.
    Draining,
    /// The server is no longer in the list.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The server that the entry describes.
    pub server: ServerId,
    /// Whether the server is ready, draining or removed.
    pub state: EndpointState,
    /// Time of the server's last start, by the fleet's clock as service discovery states it; `None` if that
    /// was long ago, so that the server is warm.
    pub started_at: Option<NonZeroMicros>,
    /// Capacity relative to that of other servers; 1 where the list states none.
    pub relative_size: f64,
    /// Zone in which the server runs, comparable with [`Settings::zone`](super::Settings::zone).
    pub zone: u32,
    /// Cell of the server: the servers of a [`DeduplicationScope::Cell`](super::DeduplicationScope::Cell).
    pub cell: u32,
}

/// Numbers of servers in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Servers in the list, ready or draining.
    pub listed: usize,
    /// Ready servers that get no new requests because outlier detection has ejected them.
    pub ejected: usize,
}

/// The kind of update that the watch of the endpoint list delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The complete, current list.
    Snapshot,
    /// The complete list as last known, possibly outdated.
    CachedSnapshot,
    /// The changed entries only.
    Delta,
    /// A failed call; the known list stays valid.
    Failed,
}
