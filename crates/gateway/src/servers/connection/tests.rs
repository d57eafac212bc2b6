use super::{OpenConnectionGuard, ServerConnection, ServerConnectionIo};
use std::io::{self, Write};
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Both ends of a connection: the gateway's and the server's.
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

/// Unread input on a reused connection is found at the very write, though the runtime has polled no event of it.
#[test]
fn request_is_not_written_to_a_reused_connection_with_unread_input() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap();
    runtime.block_on(async {
        let (gateway_end, server_end) = connected_pair().await;
        let open_guard = OpenConnectionGuard::new(&Rc::default());
        let mut io = ServerConnectionIo(ServerConnection::new(gateway_end, open_guard));
        assert!(write_request(&mut io).await.is_ok());
        assert!(write_request(&mut io).await.is_ok());
        // Written and looked for without a poll of the runtime between.
        server_end.into_std().unwrap().write_all(b"noise").unwrap();
        assert!(write_request(&mut io).await.is_err());
        assert!(!io.0.has_begun_writing(), "something was written");
    });
}
