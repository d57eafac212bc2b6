//! What a start needs of the system: the runtime, listeners and the configuration. A call that fails for a reason that
//! may pass is made again, since a gateway that ends at its start serves nobody.

use crate::config::document::{Config, ConfigError};
use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::takeover::{self, ControlConnection, Predecessor};
use crate::network::system_error::may_pass;
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

/// For so long calls of a start are made again. A gateway has 30 s to be ready, and 10 s at a planned restart.
const START_PATIENCE: Duration = Duration::from_secs(9);
/// The pause before a call is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// What the system holds of an answer that a client has not taken.
const SEND_BUFFER: u32 = 128 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Reads the configuration.
pub fn load(path: &Path) -> Result<Config, ConfigError> {
    let readable_later =
        |error: &ConfigError| matches!(error, ConfigError::Unreadable { source, .. } if may_pass(source));
    retry_blocking(|| Config::load(path), readable_later)
}

/// The runtime, with all that it needs for signals.
pub fn runtime() -> io::Result<Runtime> {
    retry_blocking(
        || {
            // tokio panics where it cannot have the pair of sockets by which it hears of signals.
            drop(UnixStream::pair()?);
            Builder::new_current_thread().enable_all().build()
        },
        may_pass,
    )
}

fn retry_blocking<T, E>(
    call: impl Fn() -> Result<T, E>,
    is_worth_a_retry: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let start = Instant::now();
    loop {
        match call() {
            Err(e) if is_worth_a_retry(&e) && start.elapsed() < START_PATIENCE => {
                std::thread::sleep(RETRY_PAUSE);
            }
            done => return done,
        }
    }
}

/// Makes a call until it succeeds or fails for a reason that does not pass. The error names `what` the call was for.
pub async fn retry<T, F: Future<Output = io::Result<T>>>(what: &str, call: impl Fn() -> F) -> io::Result<T> {
    let start = Instant::now();
    loop {
        match call().await {
            Err(e) if may_pass(&e) && start.elapsed() < START_PATIENCE => sleep(RETRY_PAUSE).await,
            done => return done.map_err(|e| io::Error::new(e.kind(), format!("{what}: {e}"))),
        }
    }
}

/// A listener for clients: that of the process which serves, with what it knows, where there is one. The connection to
/// that process is to be held for as long as this one lives.
pub async fn client_listener(
    core: &Rc<DecisionDriver>,
    at: SocketAddr,
) -> io::Result<(TcpListener, Option<ControlConnection>)> {
    let predecessor = match takeover::control_socket_path(at) {
        Some(path) => takeover::take_over(&path).await,
        None => None,
    };
    match predecessor {
        Some(Predecessor { listener, state, control_connection: held }) => {
            core.take_over(&state);
            Ok((listener, Some(held)))
        }
        None => Ok((retry("listen", || async { listen(at) }).await?, None)),
    }
}

/// A listener for clients. A process that is to replace this one listens beside it, at the same address.
fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    // What a slow client has not taken yet stays with its server: its connection can be written to often
    // enough to see that it goes on, and the system holds little of it.
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}
