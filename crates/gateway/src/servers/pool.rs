//! The servers of the list and the idle connections to them.

use crate::bodies::forwarding::RequestBody;
use crate::control::endpoint_list::ListedEndpoint;
use crate::network::system_error::is_local;
use crate::servers::connection::{OpenConnectionGuard, ServerConnection, ServerConnectionIo};
use grebehook_core::{AttemptStatus, EndpointState, Micros, ServerId};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Part of the servers' idle limit after which a connection is retired: one that a server closes just as a
/// request is written to it would end that request as a reset.
const IDLE_PART: f64 = 0.5;
/// How long a connection rests after an answer, so that what comes behind that is seen before the next request. A
/// second answer may come some milliseconds late, and could not be told from the next request's.
const REST: Duration = Duration::from_millis(20);
/// What the system holds of an answer that has not been passed on.
const RECEIVE_BUFFER: u32 = 128 << 10;
/// So often a connection is tried that fails for what this machine lacks, with a pause between.
const DIAL_TRIES: usize = 5;
const DIAL_PAUSE: Duration = Duration::from_millis(1);
/// hyper's read buffer for one connection, at most.
const BUFFER_MOST: usize = 32 << 10;

/// A connection to a server. No other request uses it meanwhile.
pub struct Connection {
    /// Sends requests over it.
    pub sender: SendRequest<RequestBody>,
    /// Its socket.
    pub link: Rc<ServerConnection>,
    address: SocketAddr,
    /// The start, as it was told, of the process that it was opened to.
    server_start: Option<Micros>,
    idle_since: Instant,
}

struct Server {
    address: SocketAddr,
    state: EndpointState,
    /// Its start as it was told: a name for its process. It is not compared to any clock.
    start: Option<Micros>,
    idle: Vec<Connection>,
}

impl Connection {
    /// How long it still has to rest after its last answer.
    pub fn rest_left(&self) -> Option<Duration> {
        REST.checked_sub(self.idle_since.elapsed())
    }
}

/// All servers and the idle connections to them.
pub struct Pool {
    servers: RefCell<HashMap<ServerId, Server>>,
    /// Connections that are open, idle or not.
    open: Rc<Cell<usize>>,
    max_open: usize,
    connect_timeout: Duration,
    max_idle: Duration,
}

impl Pool {
    /// No servers yet; `max_open` connections at once. Servers close those that stood idle for `server_idle`.
    pub fn new(max_open: usize, connect_timeout: Duration, server_idle: Duration) -> Pool {
        Pool {
            servers: RefCell::default(),
            open: Rc::default(),
            max_open,
            connect_timeout,
            max_idle: server_idle.mul_f64(IDLE_PART),
        }
    }

    /// Takes news of the list. Idle connections that no longer lead to the listed process are closed.
    pub fn update(&self, whole: bool, members: &[ListedEndpoint]) {
        let mut servers = self.servers.borrow_mut();
        if whole {
            servers.retain(|id, _| members.iter().any(|m| m.endpoint.server == *id));
        }
        for ListedEndpoint { address, endpoint: entry } in members {
            if entry.state == EndpointState::Gone {
                servers.remove(&entry.server);
                continue;
            }
            let fresh = || Server {
                address: *address,
                state: entry.state,
                start: entry.started_at,
                idle: Vec::new(),
            };
            let server = servers.entry(entry.server).or_insert_with(fresh);
            if server.address != *address {
                server.address = *address;
                server.idle.clear();
            }
            (server.state, server.start) = (entry.state, entry.started_at);
            // A machine that vanished never closed its connections; one that has started since lost them.
            server.idle.retain(|c| c.server_start == entry.started_at && entry.state == EndpointState::Ready);
        }
    }

    /// Whether something new may be sent to a server.
    pub fn is_ready(&self, server: ServerId) -> bool {
        self.servers.borrow().get(&server).is_some_and(|s| s.state == EndpointState::Ready)
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.servers.borrow_mut().values_mut().for_each(|server| server.idle.clear());
    }

    /// Closes connections that have been idle too long.
    pub fn close_expired(&self) {
        for server in self.servers.borrow_mut().values_mut() {
            server.idle.retain(|c| !c.sender.is_closed() && c.idle_since.elapsed() < self.max_idle);
        }
    }

    /// The connection used last of those that have rested, or else of all, as long as it is known to be open.
    pub fn take_idle(&self, server: ServerId) -> Option<Connection> {
        let mut servers = self.servers.borrow_mut();
        let idle = &mut servers.get_mut(&server)?.idle;
        while let Some(last) = idle.len().checked_sub(1) {
            let rested = idle.iter().rposition(|c| c.idle_since.elapsed() >= REST);
            let connection = idle.remove(rested.unwrap_or(last));
            if connection.sender.is_ready() && connection.idle_since.elapsed() < self.max_idle {
                return Some(connection);
            }
        }
        None
    }

    /// Takes a connection back whose answer was read whole, unless it leads to a process no longer listed.
    pub fn keep_idle(&self, server: ServerId, mut connection: Connection) {
        connection.idle_since = Instant::now();
        self.restore(server, connection);
    }

    /// Takes a connection back over which nothing was sent: for its server it is idle since its last answer.
    pub fn restore(&self, server: ServerId, connection: Connection) {
        if let Some(server) = self.servers.borrow_mut().get_mut(&server) {
            let current = server.address == connection.address && connection.server_start == server.start;
            if current && server.state == EndpointState::Ready && !connection.sender.is_closed() {
                server.idle.push(connection);
            }
        }
    }

    /// Makes room for one more connection by closing the one that has been idle longest.
    fn close_oldest_idle(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let oldest = servers.values_mut().filter(|s| !s.idle.is_empty()).min_by_key(|s| s.idle[0].idle_since);
        oldest.map(|s| s.idle.remove(0).link.close()).is_some()
    }

    /// A new connection, or why there is none: what the gateway itself lacks says nothing of the server.
    pub async fn connect(&self, server: ServerId) -> Result<Connection, AttemptStatus> {
        let ready = |s: &&Server| s.state == EndpointState::Ready;
        let listed = self.servers.borrow().get(&server).filter(ready).map(|s| (s.address, s.start));
        let (address, server_start) = listed.ok_or(AttemptStatus::ConnectFailed)?;
        if self.open.get() >= self.max_open && !self.close_oldest_idle() {
            return Err(AttemptStatus::NotSent);
        }
        let counter = OpenConnectionGuard::new(&self.open);
        let connected = timeout(self.connect_timeout, dial(address)).await;
        let stream = connected.map_err(|_| AttemptStatus::ConnectFailed)?.map_err(|e| match e.kind() {
            io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::TimedOut => AttemptStatus::ConnectFailed,
            // Out of descriptors, ports or memory.
            _ => AttemptStatus::NotSent,
        })?;
        stream.set_nodelay(true).map_err(|_| AttemptStatus::ConnectFailed)?;
        let link = ServerConnection::new(stream, counter);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_MOST)
            .writev(false)
            .handshake(TokioIo::new(ServerConnectionIo(link.clone())))
            .await
            .map_err(|_| AttemptStatus::ConnectFailed)?;
        tokio::task::spawn_local(connection);
        Ok(Connection { sender, link, address, server_start, idle_since: Instant::now() })
    }
}

/// Opens a connection, once more where this machine lacked something for a moment.
async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    for _ in 1..DIAL_TRIES {
        match dial_once(address).await {
            Err(e) if is_local(&e) => sleep(DIAL_PAUSE).await,
            done => return done,
        }
    }
    dial_once(address).await
}

/// Opens a connection of which the system holds little that has not been passed on.
async fn dial_once(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.connect(address).await
}
