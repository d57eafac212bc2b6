//! Errors that end the forwarding of a body.

use thiserror::Error;

/// The reason why a body could not be forwarded completely.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The sender ended the body early, or sent a malformed one.
    #[error("body could not be read")]
    Read(#[source] hyper::Error),
    /// The sender sent no data within the stall timeout.
    #[error("body stalled: no data from its sender within the stall timeout")]
    Stalled,
    /// The client sent so slowly that it kept memory from others that waited for it.
    #[error("body was sent too slowly while others waited for its memory")]
    TooSlow,
    /// The client's time was over, and the sender did not go on with a long answer.
    #[error("answer was not whole when the client's time was over")]
    Late,
    /// The client disconnected before the last part of its body was forwarded.
    #[error("client disconnected before its body was forwarded")]
    ClientDisconnected,
    /// An earlier attempt has forwarded part of the body, which is not retained.
    #[error("body has already been forwarded by an earlier attempt")]
    AlreadyForwarded,
    /// The attempt that sends the body has ended.
    #[error("attempt that sends the body has ended")]
    AttemptEnded,
}
