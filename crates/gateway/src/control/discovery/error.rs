//! Errors of discovery calls.

use grebehook_simulator_adapter::fields::FieldError;
use std::error::Error;
use std::io;

/// Error of a discovery call.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The response is not JSON.
    #[error("the discovery response is not valid JSON")]
    NotJson(#[source] serde_json::Error),
    /// A field of the response is missing or malformed.
    #[error("the discovery response is malformed")]
    Malformed(#[source] FieldError),
    /// The body of the response is truncated or exceeds the size limit.
    #[error("the body of the discovery response cannot be read")]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// The connection to discovery cannot be established.
    #[error("cannot connect to discovery")]
    Connect(#[source] io::Error),
    /// The HTTP handshake, the request or the response failed.
    #[error("the HTTP exchange with discovery failed")]
    Http(#[source] hyper::Error),
    /// The HTTP request cannot be built.
    #[error("the discovery request cannot be built")]
    Request(#[source] hyper::http::Error),
    /// The response has a status other than 200.
    #[error("the discovery response has status {0}")]
    Status(u16),
    /// No response was received within the timeout.
    #[error("discovery did not respond within the timeout")]
    TimedOut,
    /// The response has an older version than the known endpoint list.
    #[error("the discovery response is older than the known endpoint list")]
    Stale,
}

impl WatchError {
    /// Returns whether the version sent with the call may have caused the failure, so that the next call has
    /// to request a snapshot.
    pub fn invalidates_version(&self) -> bool {
        match self {
            WatchError::NotJson(_) | WatchError::Malformed(_) | WatchError::Body(_) => true,
            WatchError::Request(_) | WatchError::Stale | WatchError::Status(400..=499) => true,
            WatchError::Connect(_) | WatchError::Http(_) | WatchError::Status(_) | WatchError::TimedOut => {
                false
            }
        }
    }
}
