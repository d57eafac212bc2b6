//! Startup of the process: configuration, async runtime and listeners. Calls that fail with a transient error
//! are retried, since a gateway that exits at startup serves no clients.

use crate::config::document::{Config, ConfigError};
use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::endpoint_exchange::EndpointExchange;
use crate::lifecycle::error::RunError;
use crate::lifecycle::id_exchange;
use crate::lifecycle::takeover::{self, ControlConnection, Predecessor};
use crate::network::client_buffers::set_buffer_sizes;
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

/// Time for which a call is retried. A gateway has 30 s to become ready, and 10 s at a planned restart.
const RETRY_PERIOD: Duration = Duration::from_secs(9);
/// Delay before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Listener for clients, bound by this process or handed over by its predecessor.
pub struct ClientListener {
    /// Listening socket.
    pub socket: TcpListener,
    /// Connection to the predecessor that handed the listener over, which resumes accepting clients once this
    /// is closed. It is dropped together with the listener.
    pub predecessor: Option<ControlConnection>,
    /// Id of the process that handed the listener over, or that is shutting down at the same address; `None` if there is
    /// none, or if it is not visible from here.
    pub predecessor_process: Option<u32>,
}

impl ClientListener {
    /// Returns whether the predecessor still holds the listener and resumes accepting once this process
    /// closes it.
    pub fn is_shared(&self) -> bool {
        // Neither process sends anything after the state, so unread input can only be the end of the
        // connection.
        self.predecessor.as_ref().is_some_and(ControlConnection::has_no_unread_input)
    }
}

/// Reads the configuration file; retries transient errors.
pub fn load_config(path: &Path) -> Result<Config, ConfigError> {
    let is_transient_error =
        |error: &ConfigError| matches!(error, ConfigError::Unreadable { source, .. } if is_transient(source));
    retry_blocking(|| Config::load(path), is_transient_error)
}

/// Creates the single-threaded async runtime; retries transient errors.
pub fn create_runtime() -> Result<Runtime, RunError> {
    let build = || {
        // tokio panics if it cannot create the socket pair for signal notifications. Creating one here first
        // turns that failure into an error.
        drop(UnixStream::pair()?);
        Builder::new_current_thread().enable_all().build()
    };
    retry_blocking(build, is_transient).map_err(RunError::Runtime)
}

/// Calls a function until it succeeds or fails with a permanent error, for at most [`RETRY_PERIOD`]. Blocks
/// the thread between calls.
fn retry_blocking<T, E>(call: impl Fn() -> Result<T, E>, is_transient: impl Fn(&E) -> bool) -> Result<T, E> {
    let start = Instant::now();
    loop {
        match call() {
            Err(error) if is_transient(&error) && start.elapsed() < RETRY_PERIOD => {
                std::thread::sleep(RETRY_DELAY);
            }
            result => return result,
        }
    }
}

/// Binds a socket; retries transient errors for at most [`RETRY_PERIOD`].
pub async fn retry_bind<T, F: Future<Output = io::Result<T>>>(
    purpose: &'static str,
    bind: impl Fn() -> F,
) -> Result<T, RunError> {
    let start = Instant::now();
    loop {
        match bind().await {
            Err(error) if is_transient(&error) && start.elapsed() < RETRY_PERIOD => sleep(RETRY_DELAY).await,
            result => return result.map_err(|source| RunError::Bind { purpose, source }),
        }
    }
}

/// Takes over the listener and the state of the process that serves at the address, or binds a new listener
/// if there is none.
pub async fn open_client_listener(
    driver: &Rc<DecisionDriver>,
    endpoints: &Rc<EndpointExchange>,
    address: SocketAddr,
) -> Result<ClientListener, RunError> {
    let joined_ids = id_exchange::join_predecessor(driver, address);
    // The state of servers that the predecessor knows is restored only for those in the list.
    let (earlier_process, ()) = tokio::join!(joined_ids, endpoints.join_predecessor(address));
    let predecessor = match takeover::control_socket_path(address) {
        Some(path) => takeover::take_over(&path).await,
        None => None,
    };
    if let Some(Predecessor { listener, state, control_connection }) = predecessor {
        driver.restore_handover_state(&state);
        let predecessor_process = takeover::peer_process(control_connection.get_ref());
        let predecessor = Some(control_connection);
        return Ok(ClientListener { socket: listener, predecessor, predecessor_process });
    }
    let socket = retry_bind("clients", || async { bind_client_listener(address) }).await?;
    Ok(ClientListener { socket, predecessor: None, predecessor_process: earlier_process })
}

/// Binds a listener for clients. `SO_REUSEPORT` lets a successor process listen at the same address.
fn bind_client_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    set_buffer_sizes(&socket)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
