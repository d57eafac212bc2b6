//! Reasons for not accepting a client's request.

use crate::network::headers::InvalidHeader;
use hyper::StatusCode;
use thiserror::Error;

/// The reason for not accepting a client's request. Its message is the text of the response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// A header is missing, repeated or malformed, or its value is not configured.
    #[error(transparent)]
    Header(#[from] InvalidHeader),
    /// The method does not match the class of the request.
    #[error("not this class's method")]
    WrongMethod,
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body ended early or took too long to arrive.
    #[error("the body did not arrive")]
    BodyIncomplete,
    /// Other requests kept all memory for bodies until the deadline for receiving the request.
    #[error("refused: no memory for the body")]
    NoMemoryForBody,
    /// Two headers define the length of the body, so that a server could apply a different one than the
    /// gateway.
    #[error("the body's length is ambiguous")]
    AmbiguousBodyLength,
    /// A request with the same ID is still in progress on this gateway, or may have run and must not run again.
    #[error("a request of this id is open or may have run")]
    DuplicateId,
    /// The client has disconnected or closed its sending side.
    #[error("refused")]
    ClientDisconnected,
}

impl RequestError {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::Header(_) | RequestError::AmbiguousBodyLength => StatusCode::BAD_REQUEST,
            RequestError::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            RequestError::NoMemoryForBody => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::DuplicateId => StatusCode::CONFLICT,
            RequestError::ClientDisconnected => StatusCode::TOO_MANY_REQUESTS,
        }
    }
}
