//! Pool of connections to the servers of the endpoint list.

use crate::bodies::request_body::RequestBody;
use crate::bodies::size::SERVER_BUFFER_BYTES;
use crate::control::endpoint_list::ListedEndpoint;
use crate::servers::connection::{OpenConnectionGuard, ServerConnection, ServerConnectionIo};
use crate::servers::dial::dial;
use grebehook_core::{AttemptStatus, EndpointState, NonZeroMicros, ServerId};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Fraction of the servers' idle timeout after which a connection is no longer used. A server that closes an
/// idle connection while a request is being written would reset that request.
const MAX_IDLE_FRACTION: f64 = 0.5;
/// Minimum time between a response and the next request on the same connection. A surplus response may arrive
/// some milliseconds late, and could not be distinguished from the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(20);

/// Identity of a server process in the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ServerProcess {
    address: SocketAddr,
    /// Start time that the list reports. It only identifies the process, and is never compared with a clock.
    started_at: Option<NonZeroMicros>,
}

impl ServerProcess {
    fn from_listed(listed: &ListedEndpoint) -> ServerProcess {
        ServerProcess { address: listed.address, started_at: listed.endpoint.started_at }
    }
}

/// A connection to a server that carries one request at a time.
pub struct PooledConnection {
    /// Sends requests over the connection.
    pub sender: SendRequest<RequestBody>,
    /// Connection whose byte stream hyper reads and writes.
    pub connection: Rc<ServerConnection>,
    /// Server process that the connection was opened to.
    process: ServerProcess,
    /// Time at which the last response ended, or the connection was opened.
    idle_since: Instant,
}

impl PooledConnection {
    /// Returns the rest of [`REUSE_DELAY`], or `None` once it has elapsed.
    pub fn remaining_reuse_delay(&self) -> Option<Duration> {
        REUSE_DELAY.checked_sub(self.idle_since.elapsed())
    }
}

/// A server of the endpoint list and the idle connections to it.
struct PooledServer {
    process: ServerProcess,
    state: EndpointState,
    /// Idle connections, the most recently used last.
    idle: Vec<PooledConnection>,
}

impl PooledServer {
    fn new(listed: &ListedEndpoint) -> PooledServer {
        PooledServer {
            process: ServerProcess::from_listed(listed),
            state: listed.endpoint.state,
            idle: Vec::new(),
        }
    }

    /// Applies the server's entry in the list, and closes idle connections that were not opened to the listed
    /// process, or all of them if the server is not ready.
    fn update(&mut self, listed: &ListedEndpoint) {
        self.process = ServerProcess::from_listed(listed);
        self.state = listed.endpoint.state;
        // A failed machine does not close its connections, and a restarted one no longer knows them.
        let process = self.process;
        let is_ready = self.is_ready();
        self.idle.retain(|idle| is_ready && idle.process == process);
    }

    fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }
}

/// The servers of the endpoint list and the idle connections to them.
pub struct ConnectionPool {
    servers: RefCell<HashMap<ServerId, PooledServer>>,
    /// Number of open connections, idle or in use.
    open_connections: Rc<Cell<usize>>,
    /// Maximum number of open connections, idle or in use.
    max_connections: Cell<usize>,
    connect_timeout: Duration,
    /// Idle time after which a connection is closed.
    max_idle: Duration,
}

impl ConnectionPool {
    /// Creates a pool without servers, of at most `max_connections` open connections. `server_idle_timeout`
    /// is the time for which servers keep an idle connection open.
    pub fn new(
        max_connections: usize,
        connect_timeout: Duration,
        server_idle_timeout: Duration,
    ) -> ConnectionPool {
        ConnectionPool {
            servers: RefCell::default(),
            open_connections: Rc::default(),
            max_connections: Cell::new(max_connections),
            connect_timeout,
            max_idle: server_idle_timeout.mul_f64(MAX_IDLE_FRACTION),
        }
    }

    /// Changes the maximum number of open connections. Connections in use stay open.
    pub fn set_limit(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Applies a delta of the endpoint list, or a complete list. Closes idle connections that were not opened
    /// to a listed process or whose server is not ready.
    pub fn update(&self, is_complete: bool, endpoints: &[ListedEndpoint]) {
        let mut servers = self.servers.borrow_mut();
        if is_complete {
            let listed: HashSet<ServerId> = endpoints.iter().map(|listed| listed.endpoint.server).collect();
            servers.retain(|id, _| listed.contains(id));
        }
        for listed in endpoints {
            let id = listed.endpoint.server;
            if listed.endpoint.state == EndpointState::Removed {
                servers.remove(&id);
                continue;
            }
            servers.entry(id).or_insert_with(|| PooledServer::new(listed)).update(listed);
        }
    }

    /// Returns whether new requests may be sent to a server.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.servers.borrow().get(&server).is_some_and(PooledServer::is_ready)
    }

    /// Returns the address of a listed server.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.servers.borrow().get(&server).map(|pooled| pooled.process.address)
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        for server in self.servers.borrow_mut().values_mut() {
            server.idle.clear();
        }
    }

    /// Closes connections whose idle time has reached its limit.
    pub fn close_expired(&self) {
        for server in self.servers.borrow_mut().values_mut() {
            server.idle.retain(|idle| !idle.sender.is_closed() && idle.idle_since.elapsed() < self.max_idle);
        }
    }

    /// Removes and returns the most recently used idle connection past [`REUSE_DELAY`], or else the most
    /// recently used one of all. Discards connections that are closed or have been idle for too long.
    pub fn take_idle(&self, server: ServerId) -> Option<PooledConnection> {
        let mut servers = self.servers.borrow_mut();
        let idle = &mut servers.get_mut(&server)?.idle;
        while let Some(last) = idle.len().checked_sub(1) {
            let reusable = idle.iter().rposition(|idle| idle.idle_since.elapsed() >= REUSE_DELAY);
            let connection = idle.remove(reusable.unwrap_or(last));
            if connection.sender.is_ready() && connection.idle_since.elapsed() < self.max_idle {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response has been read completely. Its idle time starts
    /// now.
    pub fn release(&self, server: ServerId, mut connection: PooledConnection) {
        connection.idle_since = Instant::now();
        self.release_unused(server, connection);
    }

    /// Returns an unused connection to the pool. Its idle time continues, because its server has seen it idle
    /// since the last response. Closes a connection that was not opened to a listed process or whose server
    /// is not ready.
    pub fn release_unused(&self, server: ServerId, connection: PooledConnection) {
        if let Some(server) = self.servers.borrow_mut().get_mut(&server) {
            if server.process == connection.process && server.is_ready() && !connection.sender.is_closed() {
                server.idle.push(connection);
            }
        }
    }

    /// Opens a new connection, or returns the status of an attempt that cannot have one.
    pub async fn connect(&self, server: ServerId) -> Result<PooledConnection, AttemptStatus> {
        let process = self.ready_process(server).ok_or(AttemptStatus::ConnectFailed)?;
        if self.open_connections.get() >= self.max_connections.get() && !self.close_oldest_idle() {
            return Err(AttemptStatus::NotSent);
        }
        let open_guard = OpenConnectionGuard::new(&self.open_connections);
        let stream = self.open_stream(process.address).await?;
        let connection = ServerConnection::new(stream, open_guard);
        let (sender, connection_task) = http1::Builder::new()
            .max_buf_size(SERVER_BUFFER_BYTES)
            .writev(false)
            .handshake(TokioIo::new(ServerConnectionIo(connection.clone())))
            .await
            .map_err(|_| AttemptStatus::ConnectFailed)?;
        tokio::task::spawn_local(connection_task);
        Ok(PooledConnection { sender, connection, process, idle_since: Instant::now() })
    }

    /// Returns the process of a server that new requests may be sent to.
    fn ready_process(&self, server: ServerId) -> Option<ServerProcess> {
        let servers = self.servers.borrow();
        servers.get(&server).filter(|server| server.is_ready()).map(|server| server.process)
    }

    /// Opens a stream to a server within the connect timeout.
    async fn open_stream(&self, address: SocketAddr) -> Result<TcpStream, AttemptStatus> {
        let dialed = timeout(self.connect_timeout, dial(address)).await;
        let stream = dialed
            .map_err(|_| AttemptStatus::ConnectFailed)?
            .map_err(|error| connect_error_status(&error))?;
        stream.set_nodelay(true).map_err(|_| AttemptStatus::ConnectFailed)?;
        Ok(stream)
    }

    /// Closes the connection that has been idle longest, so that a new one can be opened. Returns false if
    /// none is idle.
    fn close_oldest_idle(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let with_idle = servers.values_mut().filter(|server| !server.idle.is_empty());
        let Some(server) = with_idle.min_by_key(|server| server.idle[0].idle_since) else { return false };
        server.idle.remove(0).connection.close();
        true
    }
}

/// Returns the status of an attempt whose connection failed. A lack of descriptors, ports or memory on this
/// machine does not count against the server.
fn connect_error_status(error: &io::Error) -> AttemptStatus {
    match error.kind() {
        io::ErrorKind::ConnectionRefused
        | io::ErrorKind::ConnectionReset
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable
        | io::ErrorKind::TimedOut => AttemptStatus::ConnectFailed,
        _ => AttemptStatus::NotSent,
    }
}
