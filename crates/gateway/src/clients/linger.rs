//! Closes a connection whose client may still be sending. Closing it with input unread would reset it, and the
//! client could lose the response.

use crate::network::socket::Socket;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest silence of the client before its connection is closed.
const MAX_SILENCE: Duration = Duration::from_secs(1);
/// Longest time for which input is read.
const MAX_LINGER: Duration = Duration::from_secs(6);
/// Most input that is read.
const MAX_LINGER_BYTES: usize = 64 << 20;
/// Bytes read at a time.
const READ_BYTES: usize = 4096;

/// Shuts down the sending side, discards what the client still sends for a while, and closes the connection.
pub async fn close_after_input(socket: Socket<TcpStream>) {
    // However that ends, the connection is closed now.
    let _ = timeout(MAX_LINGER, discard_input(socket)).await;
}

/// Shuts down the sending side and reads until the client has ended its own or is silent.
async fn discard_input(mut socket: Socket<TcpStream>) -> io::Result<()> {
    let mut data = [0; READ_BYTES];
    let mut remaining = MAX_LINGER_BYTES;
    socket.shutdown().await?;
    while remaining > 0 {
        match timeout(MAX_SILENCE, socket.read(&mut data)).await?? {
            0 => break,
            read => remaining = remaining.saturating_sub(read),
        }
    }
    Ok(())
}
