//! The servers of the endpoint list and the connections to them.

use crate::bodies::upload::RequestBody;
use crate::control::endpoint_list::ListedEndpoint;
use crate::servers::connection::{OpenConnectionGuard, ServerConnection, ServerConnectionIo};
use crate::servers::dial::dial;
use grebehook_core::{AttemptStatus, EndpointState, NonZeroMicros, ServerId};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Part of the servers' idle limit after which a connection is no longer used: a server that closes it just as a
/// request is written would end that request with a reset.
const MAX_IDLE_FRACTION: f64 = 0.5;
/// The time between a response and the next request on a connection. A surplus response may arrive some
/// milliseconds late, and could not be distinguished from that to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(20);
/// Largest read buffer that hyper keeps for a connection.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;

/// The process of a listed server, as the list identifies it.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ServerProcess {
    /// Where it listens.
    address: SocketAddr,
    /// Its reported start, an identifier only: it is never compared to a clock.
    started_at: Option<NonZeroMicros>,
}

impl ServerProcess {
    /// The process of an entry of the list.
    fn of(listed: &ListedEndpoint) -> ServerProcess {
        ServerProcess { address: listed.address, started_at: listed.endpoint.started_at }
    }
}

/// A connection to a server, for one request at a time.
pub struct PooledConnection {
    /// Sends requests over it.
    pub sender: SendRequest<RequestBody>,
    /// The connection under hyper.
    pub connection: Rc<ServerConnection>,
    /// The process to which it was opened.
    process: ServerProcess,
    /// When its last response ended, or it was opened.
    idle_since: Instant,
}

impl PooledConnection {
    /// How long it is still too early for the next request.
    pub fn remaining_reuse_delay(&self) -> Option<Duration> {
        REUSE_DELAY.checked_sub(self.idle_since.elapsed())
    }
}

/// A server of the list and its idle connections.
struct PooledServer {
    /// Its current process.
    process: ServerProcess,
    /// Its state in the list.
    state: EndpointState,
    /// Its idle connections, those used last at the end.
    idle: Vec<PooledConnection>,
}

impl PooledServer {
    /// A server without connections.
    fn new(listed: &ListedEndpoint) -> PooledServer {
        PooledServer { process: ServerProcess::of(listed), state: listed.endpoint.state, idle: Vec::new() }
    }

    /// Takes over the list's entry, and closes connections that no longer lead to the listed process.
    fn update(&mut self, listed: &ListedEndpoint) {
        self.process = ServerProcess::of(listed);
        self.state = listed.endpoint.state;
        // A machine that vanished never closed its connections; one that has started since lost them.
        let process = self.process;
        let is_ready = self.is_ready();
        self.idle.retain(|idle| is_ready && idle.process == process);
    }

    /// Whether it may get new requests.
    fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }
}

/// All servers of the list and the idle connections to them.
pub struct Pool {
    /// The servers of the list.
    servers: RefCell<HashMap<ServerId, PooledServer>>,
    /// Number of open connections, idle or in use.
    open: Rc<Cell<usize>>,
    /// Most connections open at once.
    max_open: usize,
    /// Longest time to establish a connection.
    connect_timeout: Duration,
    /// How long a connection may be idle before it is closed.
    max_idle: Duration,
}

impl Pool {
    /// A pool without servers, of at most `max_open` connections. `server_idle_timeout` is how long servers keep an
    /// idle connection open.
    pub fn new(max_open: usize, connect_timeout: Duration, server_idle_timeout: Duration) -> Pool {
        Pool {
            servers: RefCell::default(),
            open: Rc::default(),
            max_open,
            connect_timeout,
            max_idle: server_idle_timeout.mul_f64(MAX_IDLE_FRACTION),
        }
    }

    /// Applies a change of the endpoint list, or a complete list. Idle connections that no longer lead to a listed
    /// process are closed.
    pub fn update(&self, is_complete: bool, endpoints: &[ListedEndpoint]) {
        let mut servers = self.servers.borrow_mut();
        if is_complete {
            servers.retain(|id, _| endpoints.iter().any(|listed| listed.endpoint.server == *id));
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

    /// Whether a server may get new requests.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.servers.borrow().get(&server).is_some_and(PooledServer::is_ready)
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        for server in self.servers.borrow_mut().values_mut() {
            server.idle.clear();
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
        for server in self.servers.borrow_mut().values_mut() {
            server.idle.retain(|idle| !idle.sender.is_closed() && idle.idle_since.elapsed() < self.max_idle);
        }
    }

    /// The connection used last among those past [`REUSE_DELAY`], or else among all, that is known to be open.
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

    /// Returns a connection whose response has been read completely.
    pub fn keep_idle(&self, server: ServerId, mut connection: PooledConnection) {
        connection.idle_since = Instant::now();
        self.restore(server, connection);
    }

    /// Returns a connection over which nothing was sent: for its server it is idle since its last response. One
    /// that leads to no listed process is closed.
    pub fn restore(&self, server: ServerId, connection: PooledConnection) {
        if let Some(server) = self.servers.borrow_mut().get_mut(&server) {
            if server.process == connection.process && server.is_ready() && !connection.sender.is_closed() {
                server.idle.push(connection);
            }
        }
    }

    /// A new connection, or why there is none.
    pub async fn connect(&self, server: ServerId) -> Result<PooledConnection, AttemptStatus> {
        let process = self.ready_process(server).ok_or(AttemptStatus::ConnectFailed)?;
        if self.open.get() >= self.max_open && !self.close_oldest_idle() {
            return Err(AttemptStatus::NotSent);
        }
        let open_guard = OpenConnectionGuard::new(&self.open);
        let stream = self.open_stream(process.address).await?;
        let connection = ServerConnection::new(stream, open_guard);
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .writev(false)
            .handshake(TokioIo::new(ServerConnectionIo(connection.clone())))
            .await
            .map_err(|_| AttemptStatus::ConnectFailed)?;
        tokio::task::spawn_local(driver);
        Ok(PooledConnection { sender, connection, process, idle_since: Instant::now() })
    }

    /// The process of a server, if that may get new requests.
    fn ready_process(&self, server: ServerId) -> Option<ServerProcess> {
        let servers = self.servers.borrow();
        servers.get(&server).filter(|server| server.is_ready()).map(|server| server.process)
    }

    /// Opens a stream to a server within the time allowed.
    async fn open_stream(&self, address: SocketAddr) -> Result<TcpStream, AttemptStatus> {
        let dialed = timeout(self.connect_timeout, dial(address)).await;
        let stream = dialed
            .map_err(|_| AttemptStatus::ConnectFailed)?
            .map_err(|error| status_of_connect_error(&error))?;
        stream.set_nodelay(true).map_err(|_| AttemptStatus::ConnectFailed)?;
        Ok(stream)
    }

    /// Closes the connection that has been idle longest, to allow for a new one. False if none is idle.
    fn close_oldest_idle(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let with_idle = servers.values_mut().filter(|server| !server.idle.is_empty());
        let Some(server) = with_idle.min_by_key(|server| server.idle[0].idle_since) else { return false };
        server.idle.remove(0).connection.close();
        true
    }
}

/// What a failure to connect says: a lack of descriptors, ports or memory here says nothing of the server.
fn status_of_connect_error(error: &io::Error) -> AttemptStatus {
    match error.kind() {
        io::ErrorKind::ConnectionRefused
        | io::ErrorKind::ConnectionReset
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable
        | io::ErrorKind::TimedOut => AttemptStatus::ConnectFailed,
        _ => AttemptStatus::NotSent,
    }
}
