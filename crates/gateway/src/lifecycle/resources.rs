//! How the limits on descriptors and memory are divided.

use crate::config::document::Config;
use crate::operations;

/// Descriptors that are neither clients' nor servers': standard streams, event queues, discovery, the counter,
/// gossip, operators.
const RESERVED_DESCRIPTORS: usize = 40 + operations::server::MAX_CONNECTIONS;
/// The share of the memory for long responses that are forwarded as they arrive is one part in this many.
const RESPONSE_MEMORY_DIVISOR: usize = 4;
/// The share of the memory for request bodies is one part in this many.
const REQUEST_MEMORY_DIVISOR: usize = 8;

/// What each part of the gateway may use.
pub struct ResourceBudget {
    /// Most connections of clients.
    pub client_connections: usize,
    /// Most connections to servers.
    pub server_connections: usize,
    /// Most memory for responses that are forwarded as they arrive.
    pub response_bytes: usize,
    /// Most memory for request bodies.
    pub request_bytes: usize,
}

impl ResourceBudget {
    /// Divides the limits of a configuration. A client connection has one attempt in flight at most, so with no fewer
    /// connections to servers one that is idle can always be closed for an attempt.
    pub fn new(config: &Config) -> ResourceBudget {
        let reserved = RESERVED_DESCRIPTORS.min(config.max_descriptors / 2);
        let connections = config.max_descriptors - reserved;
        let client_connections = connections / 2;
        ResourceBudget {
            client_connections,
            server_connections: connections - client_connections,
            response_bytes: config.max_memory_bytes / RESPONSE_MEMORY_DIVISOR,
            request_bytes: config.max_memory_bytes / REQUEST_MEMORY_DIVISOR,
        }
    }
}
