//! Lingering close of a connection whose client may still be sending. Closing the socket with unread input
//! would reset the connection, and the client could lose the response.

use crate::network::socket::Socket;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum time without further input before the connection is closed.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for which input is discarded.
const LINGER_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum amount of input that is discarded.
const MAX_DISCARDED_BYTES: usize = 64 << 20;
/// Number of bytes read per call.
const READ_CHUNK_BYTES: usize = 4096;

/// Shuts down the sending side, discards further input for a limited time and closes the connection.
pub async fn lingering_close(socket: Socket<TcpStream>) {
    // The connection is closed whether or not the client ended it.
    let _ = timeout(LINGER_TIMEOUT, discard_input(socket)).await;
}

/// Shuts down the sending side and discards input until the client closes its own sending side or a limit is
/// reached.
async fn discard_input(mut socket: Socket<TcpStream>) -> io::Result<()> {
    // On the heap, since the task of each connection has room for this future.
    let mut data = vec![0; READ_CHUNK_BYTES];
    let mut remaining = MAX_DISCARDED_BYTES;
    socket.shutdown().await?;
    while remaining > 0 {
        match timeout(READ_TIMEOUT, socket.read(&mut data)).await?? {
            0 => break,
            read => remaining = remaining.saturating_sub(read),
        }
    }
    Ok(())
}
