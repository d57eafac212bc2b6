//! A listener that accepts no connection until a test lets it.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How long a connection attempt may take before the backlog counts as full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A listener whose backlog is full: connections to it stay in progress.
pub struct UnreachableListener {
    /// The listener.
    listener: TcpListener,
    /// The connections that fill its backlog.
    backlog: Vec<TcpStream>,
}

impl UnreachableListener {
    /// Binds a listener and fills its backlog.
    pub fn bind() -> UnreachableListener {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connect = || TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok();
        let backlog = std::iter::from_fn(connect).collect();
        UnreachableListener { listener, backlog }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Closes the connections that fill the backlog, so that others come up.
    pub fn make_reachable(self) -> TcpListener {
        drop(self.backlog);
        self.listener
    }
}
