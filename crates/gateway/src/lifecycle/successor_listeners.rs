//! The sockets in `$TMPDIR` at which a successor process connects: for the hand-over itself, and for the exchanges of
//! request ids and of endpoint lists that go on beside it.

use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::endpoint_exchange::{self, EndpointExchange};
use crate::lifecycle::id_exchange;
use crate::lifecycle::takeover::{self, ControlConnection};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UnixListener;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tracing::{info, warn};

/// Delay before the sockets are looked at again once the process that listened there has ended.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Sockets for a successor process. Without one of them, a successor starts without what it would tell.
pub struct SuccessorListeners {
    listen: SocketAddr,
    driver: Rc<DecisionDriver>,
    endpoints: Rc<EndpointExchange>,
    control_socket: Option<UnixListener>,
    /// Tasks that accept the connections of the exchanges, which go on through a shutdown.
    exchanges: JoinSet<()>,
}

impl SuccessorListeners {
    /// Binds the sockets of the gateway that listens at an address.
    pub fn bind(
        listen: SocketAddr,
        driver: Rc<DecisionDriver>,
        endpoints: Rc<EndpointExchange>,
    ) -> SuccessorListeners {
        let mut listeners =
            SuccessorListeners { listen, driver, endpoints, control_socket: None, exchanges: JoinSet::new() };
        listeners.bind_all();
        listeners
    }

    /// Binds all sockets, in place of those of another process, which has ended or handed over.
    fn bind_all(&mut self) {
        self.exchanges.abort_all();
        if let Some(listener) = bind_logged(id_exchange::socket_path(self.listen)) {
            self.exchanges.spawn_local(id_exchange::accept_successors(self.driver.clone(), listener));
        }
        if let Some(listener) = bind_logged(endpoint_exchange::socket_path(self.listen)) {
            self.exchanges.spawn_local(self.endpoints.clone().accept_successors(listener));
        }
        self.control_socket = bind_logged(takeover::control_socket_path(self.listen));
    }

    /// Takes the sockets back after the successor, whose process id is `ended`, no longer serves. While a further process
    /// serves, to which the successor has handed over in turn, waits for its end and uses the lists that it tells.
    pub async fn reclaim(&mut self, ended: Option<u32>) {
        let mut followed = None;
        while let Some(stream) = endpoint_exchange::connect(self.listen).await {
            let process = takeover::peer_process(&stream);
            if process == Some(std::process::id()) {
                return;
            }
            if process.is_none() || process == ended {
                break;
            }
            if followed != process {
                info!(process, "the successor has been replaced in turn; not accepting clients");
                followed = process;
            }
            self.endpoints.follow(stream).await;
            sleep(RECONNECT_DELAY).await;
        }
        self.bind_all();
    }

    /// Waits for a successor to connect for a hand-over; never completes without a control socket.
    pub async fn accept_successor(&self) -> ControlConnection {
        let Some(control_socket) = &self.control_socket else { return std::future::pending().await };
        ControlConnection::new(takeover::accept(control_socket).await)
    }

    /// Closes the control socket, since a successor that connected during a shutdown would wait for a hand-over that
    /// never takes place.
    pub fn refuse_handovers(&mut self) {
        self.control_socket = None;
    }
}

/// Binds a socket, and logs a failure.
fn bind_logged(path: Option<PathBuf>) -> Option<UnixListener> {
    let path = path?;
    match bind(&path) {
        Ok(listener) => Some(listener),
        Err(error) => {
            let socket = path.display();
            warn!(%socket, %error, "socket for a successor cannot be bound; a successor starts without this state");
            None
        }
    }
}

/// Binds a socket, replacing that of another process.
fn bind(path: &Path) -> io::Result<UnixListener> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => UnixListener::bind(path),
    }
}
