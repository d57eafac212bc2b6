//! Clients: their connections, requests and responses.

pub mod connection;
pub mod eviction;
pub mod request_error;
pub mod request_head;
pub mod response;
pub mod server;
pub mod stream;
