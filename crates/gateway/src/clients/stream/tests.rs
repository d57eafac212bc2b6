//! Tests of the detection of a client's end.

use super::*;
use std::io::Write;
use tokio::net::TcpListener;

/// Length of input that the system holds for the gateway.
const WAITING_BYTES: usize = 60 << 10;

/// Guards against a client that sends at full speed and so keeps the whole process reading.
#[test]
fn search_for_the_end_of_a_client_reads_a_bounded_amount() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client_end = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let stream = ClientStream::new(listener.accept().await.unwrap().0);
        client_end.write_all(&[b'x'; WAITING_BYTES]).unwrap();
        while stream.unread_bytes() < WAITING_BYTES as u64 {
            tokio::task::yield_now().await;
        }
        assert!(stream.has_disconnected(), "a client with so much input may have closed unseen");
        let read = WAITING_BYTES - stream.unread_bytes() as usize;
        assert!(read <= MAX_READ_AHEAD_BYTES + READ_AHEAD_CHUNK_BYTES, "{read} bytes were read");
    });
}
