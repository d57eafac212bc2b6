//! Tests of when a client connection may be closed.

use super::ClientConnection;
use std::io::Write;
use tokio::net::TcpListener;

/// Guards against closing a connection whose request arrived after the decision to close it. Only a request
/// that was already incomplete at that time may be interrupted.
#[test]
fn connection_stays_open_when_a_request_arrives_after_the_decision_to_close_it() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client_end = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let connection = ClientConnection::new(0, listener.accept().await.unwrap().0);
        connection.has_sent_request.set(true);
        connection.signal_close();
        assert!(connection.may_close() && connection.may_drain());
        client_end.write_all(b"GET").unwrap();
        assert!(!connection.may_close() && !connection.may_drain());
        connection.closing_mid_request.set(true);
        assert!(connection.may_close());
    });
}
