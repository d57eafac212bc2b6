//! Control-plane clients: service discovery, the shared counter, and gossip with peers.

pub mod counter;
pub mod current_list;
pub mod discovery;
pub mod endpoint_list;
pub mod list_transfer;
pub mod peers;
