//! Opens TCP connections to servers.

use crate::network::system_error::is_local_resource_error;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// Size of the kernel's receive buffer of a connection, which limits how much of an unread response the
/// kernel holds.
const RECEIVE_BUFFER_BYTES: u32 = 128 << 10;
/// Maximum number of attempts to open a connection while this machine lacks the resources for it.
const MAX_DIAL_ATTEMPTS: usize = 5;
/// Delay between two attempts to open a connection.
const DIAL_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Opens a connection. Retries a few times while this machine lacks the resources for it.
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
