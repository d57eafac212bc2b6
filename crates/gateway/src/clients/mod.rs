//! Client side of the gateway: connections, requests and responses.

mod accept_error;
mod connection;
mod connection_table;
mod disconnect;
mod eviction;
mod head_scanner;
mod linger;
mod memory_wait;
mod request_error;
mod request_handler;
pub mod request_head;
mod response;
pub mod server;
mod stream;
