//! Tests of the detection of a client's end.

use super::*;
use std::io::Write;
use tokio::net::TcpListener;

/// Length of input that the system holds for the gateway.
const WAITING_BYTES: usize = 60 << 10;

/// Connects a client, and returns both ends.
async fn connect() -> (std::net::TcpStream, Rc<ClientStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client_end = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client_end, ClientStream::new(listener.accept().await.unwrap().0))
}

/// Guards against a client that sends at full speed and so keeps the whole process reading.
#[test]
fn search_for_the_end_of_a_client_reads_a_bounded_amount() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap();
    runtime.block_on(async {
        let (mut client_end, stream) = connect().await;
        client_end.write_all(&[b'x'; WAITING_BYTES]).unwrap();
        while stream.unread_bytes() < WAITING_BYTES as u64 {
            tokio::task::yield_now().await;
        }
        assert!(stream.has_disconnected(), "a client with so much input may have closed unseen");
        let read = WAITING_BYTES - stream.unread_bytes() as usize;
        assert!(read <= MAX_READ_AHEAD_BYTES + READ_AHEAD_CHUNK_BYTES, "{read} bytes were read");
    });
}

/// Guards against more descriptors than are reserved: a connection that discards input still has one.
#[test]
fn connection_that_discards_input_counts_as_open() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let (_client_end, stream) = connect().await;
        let mut closing = pin!(stream.lingering_close());
        assert!(poll_fn(|cx| Poll::Ready(closing.as_mut().poll(cx))).await.is_pending());
        assert!(stream.is_open());
    });
}
