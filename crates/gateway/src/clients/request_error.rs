//! Why a client's request is not accepted.

use crate::network::headers::InvalidHeader;
use hyper::StatusCode;
use thiserror::Error;

/// Why a client's request is not accepted. Its message is the text of the response, which the protocol fixes.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// A header is missing, repeated or malformed, or its value is not in the settings.
    #[error(transparent)]
    Header(#[from] InvalidHeader),
    /// The method is not the one of the class.
    #[error("not this class's method")]
    Method,
    /// The body is longer than the protocol allows.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body broke off or took too long to arrive.
    #[error("the body did not arrive")]
    BodyIncomplete,
    /// The length of the body is defined twice, so that a server could use the other definition.
    #[error("the body's length is ambiguous")]
    AmbiguousBodyLength,
    /// A request with the same id is still open on this gateway.
    #[error("a request of this id is open")]
    DuplicateId,
    /// The client has disconnected, or ended its sending side.
    #[error("refused")]
    ClientDisconnected,
}

impl RequestError {
    /// The status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::Header(_) | RequestError::AmbiguousBodyLength => StatusCode::BAD_REQUEST,
            RequestError::Method => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            RequestError::DuplicateId => StatusCode::CONFLICT,
            RequestError::ClientDisconnected => StatusCode::TOO_MANY_REQUESTS,
        }
    }
}
