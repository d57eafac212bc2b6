//! Why a call of discovery failed.

use grebehook_simulator_adapter::fields::FieldError;
use std::error::Error;
use std::io;

/// Why a call of discovery failed.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The response is not JSON.
    #[error("the response is not JSON")]
    NotJson(#[source] serde_json::Error),
    /// A field of the response is missing or malformed.
    #[error("the response is malformed")]
    Malformed(#[source] FieldError),
    /// The body of the response broke off or is too long.
    #[error("the body of the response cannot be read")]
    Body(#[source] Box<dyn Error + Send + Sync>),
    /// The connection cannot be established.
    #[error("no connection")]
    Connect(#[source] io::Error),
    /// The HTTP exchange failed.
    #[error("the HTTP exchange failed")]
    Http(#[source] hyper::Error),
    /// The call cannot be written as a request.
    #[error("the request cannot be written")]
    Request(#[source] hyper::http::Error),
    /// The response has a status other than 200.
    #[error("the response has status {0}")]
    Status(u16),
    /// There was no response in time.
    #[error("no response in time")]
    TimedOut,
    /// The response has an older version than the list that is known.
    #[error("the response is older than the known endpoint list")]
    Stale,
}

impl WatchError {
    /// Whether the failure may be due to the version that was asked about. A complete list is asked for then.
    pub fn discredits_version(&self) -> bool {
        match self {
            WatchError::NotJson(_) | WatchError::Malformed(_) | WatchError::Body(_) => true,
            WatchError::Request(_) | WatchError::Stale | WatchError::Status(400..=499) => true,
            WatchError::Connect(_) | WatchError::Http(_) | WatchError::Status(_) | WatchError::TimedOut => {
                false
            }
        }
    }
}
