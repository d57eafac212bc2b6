//! What a start needs from the system: the runtime, listeners and the configuration. Calls that fail for a reason
//! that may pass are retried, since a gateway that exits at its start serves nobody.

use crate::config::document::{Config, ConfigError};
use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::error::RunError;
use crate::lifecycle::takeover::{self, ControlConnection, Predecessor};
use crate::network::system_error::is_transient;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;

/// How long a call is retried. A gateway has 30 s to be ready, and 10 s at a planned restart.
const RETRY_TIME: Duration = Duration::from_secs(9);
/// The delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// The system's send buffer of a client connection.
const SEND_BUFFER_BYTES: u32 = 128 << 10;
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Where clients connect.
pub struct ClientListener {
    /// The listening socket.
    pub socket: TcpListener,
    /// The connection to the process that handed the listener over, which accepts again once this is closed. It closes
    /// with the listener.
    pub predecessor: Option<ControlConnection>,
}

impl ClientListener {
    /// Whether the process that handed the listener over still has it, and accepts again once this one closes it.
    pub fn is_shared(&self) -> bool {
        // Neither process sends anything after the state, so that only the end of the connection can be read.
        self.predecessor.as_ref().is_some_and(ControlConnection::has_no_unread_input)
    }
}

/// Reads the configuration.
pub fn load(path: &Path) -> Result<Config, ConfigError> {
    let is_readable_later =
        |error: &ConfigError| matches!(error, ConfigError::Unreadable { source, .. } if is_transient(source));
    retry_blocking(|| Config::load(path), is_readable_later)
}

/// Creates the runtime, including what it needs for signals.
pub fn runtime() -> Result<Runtime, RunError> {
    let build = || {
        // tokio panics if it cannot create the socket pair on which it is notified of signals.
        drop(UnixStream::pair()?);
        Builder::new_current_thread().enable_all().build()
    };
    retry_blocking(build, is_transient).map_err(RunError::Runtime)
}

/// Retries a call until it succeeds or fails for a reason that does not pass.
fn retry_blocking<T, E>(call: impl Fn() -> Result<T, E>, is_transient: impl Fn(&E) -> bool) -> Result<T, E> {
    let start = Instant::now();
    loop {
        match call() {
            Err(error) if is_transient(&error) && start.elapsed() < RETRY_TIME => {
                std::thread::sleep(RETRY_DELAY);
            }
            result => return result,
        }
    }
}

/// Binds a socket; retries until that succeeds or fails for a reason that does not pass.
pub async fn retry_bind<T, F: Future<Output = io::Result<T>>>(
    purpose: &'static str,
    bind: impl Fn() -> F,
) -> Result<T, RunError> {
    let start = Instant::now();
    loop {
        match bind().await {
            Err(error) if is_transient(&error) && start.elapsed() < RETRY_TIME => sleep(RETRY_DELAY).await,
            result => return result.map_err(|source| RunError::Bind { purpose, source }),
        }
    }
}

/// Takes the listener and the state over from the process that serves at this address, or else binds a new listener.
pub async fn client_listener(
    driver: &Rc<DecisionDriver>,
    address: SocketAddr,
) -> Result<ClientListener, RunError> {
    let predecessor = match takeover::control_socket_path(address) {
        Some(path) => takeover::take_over(&path).await,
        None => None,
    };
    if let Some(Predecessor { listener, state, control_connection }) = predecessor {
        driver.take_over(&state);
        return Ok(ClientListener { socket: listener, predecessor: Some(control_connection) });
    }
    let socket = retry_bind("clients", || async { listen(address) }).await?;
    Ok(ClientListener { socket, predecessor: None })
}

/// Binds a listener for clients. A process that replaces this one may listen beside it at the same address.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    // What a slow client has not read yet stays at its server. A small buffer is written to often enough to show
    // that the client makes progress, and takes little of the system's memory.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
