//! A listener whose connections stay in progress until a test makes it reachable.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The duration of a connection attempt after which the backlog counts as full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// A listener whose backlog is full, so that connections to it stay in progress.
pub struct UnreachableListener {
    listener: TcpListener,
    /// The connections that fill the backlog.
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

    /// Returns the address on which the listener is bound.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Closes the connections that fill the backlog, so that connections in progress can be established, and
    /// returns the listener.
    pub fn make_reachable(self) -> TcpListener {
        drop(self.backlog);
        self.listener
    }
}
