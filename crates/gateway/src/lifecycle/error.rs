//! Why the gateway cannot serve.

use crate::config::document::RejectedSettings;
use std::io;
use tokio::task::JoinError;

/// Why the gateway cannot serve.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The runtime cannot be started.
    #[error("the runtime cannot be started")]
    Runtime(#[source] io::Error),
    /// A signal cannot be handled.
    #[error("a signal handler cannot be installed")]
    Signal(#[source] io::Error),
    /// The decision core rejects the settings.
    #[error(transparent)]
    Settings(#[from] RejectedSettings),
    /// A socket cannot be bound.
    #[error("the socket for {purpose} cannot be bound")]
    Bind {
        /// Whom the socket is for.
        purpose: &'static str,
        /// Why not.
        source: io::Error,
    },
    /// The address of a listener is unknown.
    #[error("the address of a listener cannot be read")]
    LocalAddress(#[source] io::Error),
    /// A task of the gateway panicked.
    #[error("a task of the gateway ended")]
    Task(#[from] JoinError),
}
