//! Errors that end the gateway.

use crate::config::document::RejectedSettings;
use std::io;
use tokio::task::JoinError;

/// Error that keeps the gateway from serving clients.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The async runtime cannot be created.
    #[error("the async runtime cannot be created")]
    Runtime(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("a signal handler cannot be installed")]
    Signal(#[source] io::Error),
    /// The decision core rejects the settings.
    #[error(transparent)]
    Settings(#[from] RejectedSettings),
    /// A socket cannot be bound.
    #[error("the socket for {purpose} cannot be bound")]
    Bind {
        /// Use of the socket: clients, operators or gossip.
        purpose: &'static str,
        source: io::Error,
    },
    /// The local address of a listener cannot be read.
    #[error("the local address of a listener cannot be read")]
    LocalAddress(#[source] io::Error),
    /// A task of the gateway panicked or was cancelled.
    #[error("a task of the gateway ended unexpectedly")]
    Task(#[from] JoinError),
}
