//! Division of the limits on file descriptors and memory among the parts of the gateway.

use crate::config::document::Config;
use crate::operations;

/// Descriptors reserved for everything but connections of clients and servers: standard streams, event
/// queues, discovery, the counter, gossip and operators.
const RESERVED_DESCRIPTORS: usize = 40 + operations::server::MAX_CONNECTIONS;
/// Divisor of the memory limit. The result is the memory for streamed responses.
const RESPONSE_MEMORY_DIVISOR: usize = 4;
/// Divisor of the memory limit. The result is the memory for request bodies.
const REQUEST_MEMORY_DIVISOR: usize = 8;

/// Limits on the resources of each part of the gateway.
pub struct ResourceBudget {
    /// Limit on connections of clients.
    pub client_connections: usize,
    /// Limit on connections to servers.
    pub server_connections: usize,
    /// Limit on the memory for streamed responses, in bytes.
    pub response_bytes: usize,
    /// Limit on the memory for request bodies, in bytes.
    pub request_bytes: usize,
}

impl ResourceBudget {
    /// Divides the limits of a configuration. Servers get at least as many connections as clients: a client
    /// connection has at most one attempt in flight, so an idle server connection can always be closed to
    /// make room for an attempt.
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
