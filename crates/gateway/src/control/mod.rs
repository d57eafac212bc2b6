//! The control plane: service discovery, the shared counter and gossip with the other gateways.

pub mod counter;
pub mod discovery;
pub mod endpoint_list;
pub mod peers;
