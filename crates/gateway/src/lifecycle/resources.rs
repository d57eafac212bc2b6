//! Division of the limits on file descriptors and memory among the parts of the gateway.

use crate::config::document::Config;
use crate::operations;
use tracing::info;

/// Descriptors reserved for everything but connections of clients and servers: standard streams, event
/// queues, discovery, the counter, gossip and operators.
const RESERVED_DESCRIPTORS: usize = 40 + operations::server::MAX_CONNECTIONS;
/// Memory of the process without its connections and bodies.
const PROCESS_BYTES: usize = 7_000_000;
/// A process keeps at least 1 / `LEAST_SHARE_DIVISOR` of the memory beyond [`PROCESS_BYTES`].
const LEAST_SHARE_DIVISOR: usize = 5;
/// Memory of a client's connection: its task and the buffers that hyper keeps for it.
const CLIENT_CONNECTION_BYTES: usize = 18 << 10;
/// Memory of a connection to a server that carries a request: its task, that of the attempt, and the buffers that hyper
/// keeps for it.
const SERVER_CONNECTION_BYTES: usize = 32 << 10;
/// Memory of the record of a customer, with its places in indexes and queues.
const CUSTOMER_BYTES: usize = 640;
/// Maximum number of customers, whatever the memory: the records of more than these do not fit into a hand-over.
const MAX_CUSTOMERS: usize = 24_000;
/// Share of the memory beyond [`PROCESS_BYTES`] for the connections of clients. What the shares leave is for the records
/// of servers and for what no share is exact about.
const CLIENT_CONNECTION_PERCENT: usize = 23;
/// Share of the memory for connections to servers.
const SERVER_CONNECTION_PERCENT: usize = 37;
/// Share of the memory for buffered responses.
const RESPONSE_PERCENT: usize = 5;
/// Share of the memory for request bodies.
const REQUEST_PERCENT: usize = 9;
/// Share of the memory for the records of customers.
const CUSTOMER_PERCENT: usize = 10;

/// Limits on the resources of the process.
#[derive(Clone, Copy)]
pub struct ResourceLimits {
    /// Limit on memory, in bytes.
    pub memory_bytes: usize,
    /// Limit on file descriptors.
    pub descriptors: usize,
}

impl ResourceLimits {
    /// Returns the limits of a configuration.
    pub fn new(config: &Config) -> ResourceLimits {
        ResourceLimits { memory_bytes: config.max_memory_bytes, descriptors: config.max_descriptors }
    }

    /// Returns the memory that a process needs to serve beside another one.
    pub fn least_memory_bytes(self) -> usize {
        PROCESS_BYTES + (self.memory_bytes - PROCESS_BYTES) / LEAST_SHARE_DIVISOR
    }
}

/// Limits on the resources of each part of the gateway.
pub struct ResourceBudget {
    /// Limit on connections of clients.
    pub client_connections: usize,
    /// Limit on connections to servers.
    pub server_connections: usize,
    /// Limit on the memory for buffered responses, in bytes.
    pub response_bytes: usize,
    /// Limit on the memory for request bodies, in bytes.
    pub request_bytes: usize,
    /// Limit on the customers that the decision core keeps a record of.
    pub customers: usize,
}

impl ResourceBudget {
    /// Divides the limits of the process. As far as memory allows, servers get at least as many connections as
    /// clients: a client connection has at most one attempt in flight, so an idle server connection can always be
    /// closed to make room for an attempt.
    pub fn new(limits: ResourceLimits) -> ResourceBudget {
        let reserved = RESERVED_DESCRIPTORS.min(limits.descriptors / 2);
        let connections = limits.descriptors - reserved;
        let client_connections = connections / 2;
        let memory = limits.memory_bytes - PROCESS_BYTES;
        let share = |percent: usize| memory / 100 * percent;
        ResourceBudget {
            client_connections: client_connections
                .min(share(CLIENT_CONNECTION_PERCENT) / CLIENT_CONNECTION_BYTES),
            server_connections: (connections - client_connections)
                .min(share(SERVER_CONNECTION_PERCENT) / SERVER_CONNECTION_BYTES),
            response_bytes: share(RESPONSE_PERCENT),
            request_bytes: share(REQUEST_PERCENT),
            customers: (share(CUSTOMER_PERCENT) / CUSTOMER_BYTES).min(MAX_CUSTOMERS),
        }
    }

    /// Logs the limits.
    pub fn log(&self) {
        info!(
            client_connections = self.client_connections,
            server_connections = self.server_connections,
            request_body_bytes = self.request_bytes,
            response_body_bytes = self.response_bytes,
            customers = self.customers,
            "limits of this process"
        );
    }
}
