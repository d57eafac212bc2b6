//! Tests of the check for unread input before a request is written.

use super::{OpenConnectionGuard, ServerConnection, ServerConnectionIo};
use std::io::{self, Write};
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Returns the gateway's end and the server's end of a new connection.
async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let gateway_end = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (gateway_end, listener.accept().await.unwrap().0)
}

/// Begins and writes a request without a body.
async fn write_request(io: &mut ServerConnectionIo) -> io::Result<usize> {
    io.0.begin_request(Some(0));
    io.write(b"GET / HTTP/1.1\r\n\r\n").await
}

/// Guards against sending a request on a connection with unsolicited input, which would be taken for the
/// response.
/// The check before the write must find the input even if the runtime has not yet polled the readiness event
/// for it.
#[test]
fn request_is_not_written_to_a_reused_connection_with_unread_input() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap();
    runtime.block_on(async {
        let (gateway_end, server_end) = connected_pair().await;
        let open_guard = OpenConnectionGuard::new(&Rc::default());
        let mut io = ServerConnectionIo(ServerConnection::new(gateway_end, open_guard));
        assert!(write_request(&mut io).await.is_ok());
        assert!(write_request(&mut io).await.is_ok());
        // The runtime is not polled between this write and the check.
        server_end.into_std().unwrap().write_all(b"noise").unwrap();
        assert!(write_request(&mut io).await.is_err());
        assert!(!io.0.has_begun_writing(), "part of the request was written");
    });
}
