//! Table of the open client connections, which selects the connections to close.

use crate::clients::connection::ClientConnection;
use crate::clients::eviction::{self, Candidate};
use crate::network::line_limiter::LineLimiter;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;
use tracing::info;

/// Maximum number of open sockets beyond the limit, all of which are closing.
const MAX_EXCESS_SOCKETS: usize = 16;
/// Maximum number of connections beyond the limit, all of which are closing.
const MAX_EXCESS_CONNECTIONS: usize = 64;

/// Why the gateway closes a client's connection.
#[derive(Clone, Copy, Debug)]
enum CloseReason {
    /// Another connection needs its place.
    Evicted,
    /// It was idle, its request did not arrive, or its client has stopped reading, for too long.
    Expired,
    /// The process ends, and the connection is idle.
    Shutdown,
    /// The time for answers is over, and no response is being delivered.
    ExitDeadline,
}

/// The open client connections.
pub struct ConnectionTable {
    /// Connections by key.
    connections: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    next_key: Cell<u64>,
    /// Number of connections that may be open.
    max_connections: Cell<usize>,
    last_accepted_at: Cell<Instant>,
    /// Notified when a connection has been closed.
    connection_closed: Notify,
    log_limiter: LineLimiter,
}

impl ConnectionTable {
    /// Creates an empty table for at most `max_connections` connections.
    pub fn new(max_connections: usize) -> ConnectionTable {
        ConnectionTable {
            connections: RefCell::default(),
            next_key: Cell::new(0),
            max_connections: Cell::new(max_connections),
            last_accepted_at: Cell::new(Instant::now()),
            connection_closed: Notify::new(),
            log_limiter: LineLimiter::default(),
        }
    }

    /// Changes the number of connections that may be open.
    pub fn set_limit(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Adds a newly accepted connection.
    pub fn insert(&self, stream: TcpStream) -> Rc<ClientConnection> {
        self.last_accepted_at.set(Instant::now());
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        let connection = ClientConnection::new(key, stream);
        self.connections.borrow_mut().insert(key, connection.clone());
        connection
    }

    /// Removes a closed connection.
    pub fn remove(&self, connection: &ClientConnection) {
        self.connections.borrow_mut().remove(&connection.key);
        self.connection_closed.notify_one();
    }

    /// Returns the time at which the last connection was accepted.
    pub fn last_accepted_at(&self) -> Instant {
        self.last_accepted_at.get()
    }

    /// Evicts connections beyond the allowed number. Returns whether another one may be accepted before they have ended.
    pub fn evict_excess(&self) -> bool {
        let excess = self.connections.borrow().len().saturating_sub(self.max_connections.get());
        if excess == 0 {
            return true;
        }
        let mut closing = self.count(ClientConnection::is_closing);
        while closing < excess && self.evict_one() {
            closing += 1;
        }
        let open = self.count(|connection| connection.stream.is_open());
        let excess_sockets = open.saturating_sub(self.max_connections.get());
        closing >= excess && excess <= MAX_EXCESS_CONNECTIONS && excess_sockets <= MAX_EXCESS_SOCKETS
    }

    /// Returns the number of connections that satisfy a condition.
    fn count(&self, condition: impl Fn(&ClientConnection) -> bool) -> usize {
        self.connections.borrow().values().filter(|connection| condition(connection)).count()
    }

    /// Waits until a connection closes; returns at once if one has closed since the last wait.
    pub fn connection_closed(&self) -> Notified<'_> {
        self.connection_closed.notified()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// Waits until no connection is open.
    pub async fn wait_until_empty(&self) {
        while !self.is_empty() {
            self.connection_closed().await;
        }
    }

    /// Closes the idle connection that [`eviction`] selects. Returns false if there is none. Its descriptor is free at once,
    /// unless part of a request has been read, and the connection leaves the table when its task gets its turn.
    pub fn evict_one(&self) -> bool {
        let connections = self.connections.borrow();
        let idle = connections.values().filter(|connection| connection.is_idle() && !connection.is_closing());
        let candidates: Vec<Candidate> = idle.map(|connection| connection.eviction_candidate()).collect();
        let has_unread_input = |key| {
            let connection = connections.get(&key);
            connection.is_some_and(|connection| connection.stream.has_unread_input())
        };
        let limit = self.max_connections.get();
        let selected = eviction::select(&candidates, Instant::now(), limit, has_unread_input);
        let Some(connection) = selected.and_then(|key| connections.get(&key)) else { return false };
        self.log_close(connection, CloseReason::Evicted);
        connection.signal_close();
        // The rest of a request may have been read that the connection's task has not seen yet.
        if connection.stream.request_began_at().is_none() {
            connection.stream.close();
        }
        true
    }

    /// Closes connections whose idle timeout, or timeout for an incomplete request, has expired. A connection
    /// on which a request is just beginning to arrive is kept, however long it was idle before.
    pub fn close_expired(&self) {
        let now = Instant::now();
        for connection in self.connections.borrow().values().filter(|connection| connection.is_expired(now)) {
            let stream = &connection.stream;
            if stream.request_began_at().is_some() || !stream.has_unread_input() {
                self.log_close(connection, CloseReason::Expired);
                connection.signal_close();
            }
        }
    }

    /// Closes connections that have no request in progress and none arriving.
    pub fn close_idle(&self) {
        for connection in self.connections.borrow().values() {
            if connection.is_idle() && !connection.has_incoming_request() {
                self.log_close(connection, CloseReason::Shutdown);
                connection.signal_close();
            }
        }
    }

    /// Closes all connections on which no response is being delivered, even in the middle of a request.
    pub fn abort_undelivering(&self) {
        for connection in self.connections.borrow().values() {
            if !connection.is_delivering() {
                self.log_close(connection, CloseReason::ExitDeadline);
                connection.signal_abort();
            }
        }
    }

    /// Logs why a connection is closed, with what was under way on it.
    fn log_close(&self, connection: &ClientConnection, reason: CloseReason) {
        let Some(suppressed) = self.log_limiter.admit(Instant::now()) else { return };
        info!(
            client = %connection.stream.peer_text(),
            ?reason,
            mid_request = connection.stream.request_began_at().is_some(),
            awaits_answer = connection.awaits_answer(),
            responding = connection.stream.is_responding(),
            suppressed,
            "a client's connection is closed"
        );
    }

    /// Closes all connections after their current request, and idle ones at once.
    pub fn drain(&self) {
        for connection in self.connections.borrow().values() {
            connection.signal_drain();
        }
    }
}
