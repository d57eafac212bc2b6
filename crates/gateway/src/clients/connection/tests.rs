use super::ClientConnection;
use std::io::Write;
use tokio::net::TcpListener;

/// A request that comes between the decision to close its connection and the close is not cut off; one that was
/// given up half read is.
#[test]
fn a_request_that_crosses_the_close_of_its_connection_spares_it() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut far = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let client = ClientConnection::new(listener.accept().await.unwrap().0);
        client.has_sent_request.set(true);
        client.request_close();
        assert!(client.may_close() && client.may_drain());
        far.write_all(b"GET").unwrap();
        assert!(!client.may_close() && !client.may_drain());
        client.closing_mid_request.set(true);
        assert!(client.may_close());
    });
}
