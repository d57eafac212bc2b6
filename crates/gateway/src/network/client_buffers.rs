//! The system's buffers of the connections of clients, which they inherit from their listener.

use socket2::SockRef;
use std::io;
use std::os::fd::AsFd;

/// Size of the send buffer of a connection.
const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Size of the receive buffer of a connection. It holds several segments of the loopback interface, of 64 KiB each: with
/// room for only one or two, a client's system waits for seconds before it tries whether there is room again.
const RECEIVE_BUFFER_BYTES: usize = 256 << 10;

/// Sets the buffer sizes of the connections that a listener will accept. With a small send buffer, data that a slow
/// client has not read yet stays at the server, writes are frequent enough to show that the client makes progress, and
/// little of the system's memory is used.
pub fn set_buffer_sizes(listener: &impl AsFd) -> io::Result<()> {
    let listener = SockRef::from(listener);
    listener.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    listener.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
}
