//! Why a body could not be forwarded to its end.

use thiserror::Error;

/// Why a body could not be forwarded to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The sender broke it off, or sent what is no body.
    #[error("body could not be read")]
    Read(#[source] hyper::Error),
    /// Its sender sent nothing more for too long.
    #[error("body stalled")]
    Stalled,
    /// An earlier attempt has forwarded part of it, which is not kept.
    #[error("body was already forwarded to an earlier attempt")]
    AlreadyForwarded,
}
