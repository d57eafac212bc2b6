//! Opens TCP connections to servers.

use crate::network::system_error::is_local_resource_error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// The system's receive buffer for a connection, which bounds what it keeps of a response that is not read.
const RECEIVE_BUFFER_BYTES: u32 = 128 << 10;
/// Attempts to open a connection while this machine lacks the resources for it.
const MAX_DIAL_ATTEMPTS: usize = 5;
/// The pause between these attempts.
const DIAL_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Opens a connection, and tries again where this machine lacks the resources for a moment.
pub async fn dial(address: SocketAddr) -> io::Result<TcpStream> {
    for _ in 1..MAX_DIAL_ATTEMPTS {
        match dial_once(address).await {
            Err(error) if is_local_resource_error(&error) => sleep(DIAL_RETRY_DELAY).await,
            result => return result,
        }
    }
    dial_once(address).await
}

/// Opens a connection with a small receive buffer.
async fn dial_once(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(address).await
}
