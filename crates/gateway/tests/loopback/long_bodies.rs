//! Bodies of more than 64 KiB, in both directions: they are streamed, with backpressure from the receiver.

use crate::rig::client::Client;
use crate::rig::deployment::Deployment;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::message::{pattern, read_head};
use crate::rig::request::{idempotent_request, non_idempotent_request, with_client_timeout, with_framing};
use crate::rig::server::Server;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Number of bytes in a mebibyte.
const MIB: usize = 1 << 20;
/// Short successful response. Its lines end in a bare line feed, which the gateway accepts from servers.
const DONE: &[u8] = b"HTTP/1.1 200 OK\nContent-Length: 4\n\ndone";

/// A gateway with one client, and a listener on which the test itself acts as the server.
struct StreamRig {
    /// Accepts the gateway's connections.
    listener: TcpListener,
    gateway: GatewayProcess,
    /// Client connection to the gateway.
    client: Client,
}

impl StreamRig {
    /// Starts a gateway in front of a listener, and connects a client.
    fn start() -> StreamRig {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let gateway = Deployment::with_endpoint(listener.local_addr().unwrap()).start();
        let client = gateway.connect();
        StreamRig { listener, gateway, client }
    }

    /// Accepts a connection of the gateway.
    fn accept(&self) -> TcpStream {
        self.listener.accept().unwrap().0
    }

    /// Sends an idempotent request and returns the server connection, from which its head has been read.
    fn forward_request(&mut self) -> TcpStream {
        self.client.write(&idempotent_request());
        let mut server = self.accept();
        read_head(&mut server);
        server
    }

    /// Sends the head of a non-idempotent request that announces a body of `body_length` bytes.
    fn write_head(&mut self, body_length: usize) {
        let framing = format!("Content-Length: {body_length}");
        self.client.write(&with_framing(&non_idempotent_request(""), &framing));
    }
}

/// The client sends the rest of the body only after the server has received the first part.
#[test]
fn long_request_body_is_streamed_to_its_server() {
    let mut rig = StreamRig::start();
    let body = pattern(3 * MIB);
    let (first, rest) = body.split_at(MIB);
    rig.write_head(body.len());
    rig.client.write_bytes(first);
    let mut server = rig.accept();
    assert!(read_head(&mut server).to_lowercase().contains("content-length: 3145728"));
    let mut received = vec![0; first.len()];
    server.read_exact(&mut received).unwrap();
    let rest = rest.to_vec();
    let mut client = rig.client;
    let sender = thread::spawn(move || {
        client.write_bytes(&rest);
        client
    });
    received.resize(body.len(), 0);
    server.read_exact(&mut received[MIB..]).unwrap();
    assert!(received == body, "the request body differs from the one sent");
    server.write_all(DONE).unwrap();
    let response = sender.join().unwrap().response().unwrap();
    assert_eq!((response.status(), response.header("connection")), (200, ""));
}

/// A short request that is sent later reaches its client timeout before the long body is complete.
#[test]
fn client_timeout_of_a_long_body_starts_with_its_last_byte() {
    let mut rig = StreamRig::start();
    let with_short_timeout = |request: String| with_client_timeout(&request, 60);
    let long = with_framing(&non_idempotent_request(""), "Content-Length: 1048576");
    rig.client.write(&with_short_timeout(long));
    rig.client.write_bytes(&pattern(MIB / 2));
    let mut server = rig.accept();
    read_head(&mut server);
    server.read_exact(&mut vec![0; MIB / 2]).unwrap();
    let short = rig.gateway.connect().call(&with_short_timeout(non_idempotent_request("x")));
    assert_eq!(short.status(), 502, "no server reads the short request");
    rig.client.write_bytes(&pattern(MIB / 2));
    server.read_exact(&mut vec![0; MIB / 2]).unwrap();
    server.write_all(DONE).unwrap();
    assert_eq!(rig.client.response().unwrap().status(), 200);
}

/// The length of the body is not known in advance.
#[test]
fn long_chunked_body_is_forwarded_in_chunks_to_its_end() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let mut client = gateway.connect();
    client.write(&with_framing(&non_idempotent_request(""), "Transfer-Encoding: chunked"));
    for _ in 0..16 {
        client.write(&format!("4000\r\n{}\r\n", "x".repeat(16 << 10)));
    }
    client.write("0\r\n\r\n");
    assert_eq!(client.response().unwrap().status(), 200);
    assert_eq!(server.next_request().header("transfer-encoding"), "chunked");
}

/// The server sends the rest of the body only after the client has received the first part.
#[test]
fn long_response_is_streamed_to_its_client() {
    let mut rig = StreamRig::start();
    let body = pattern(2 * MIB);
    let (first, rest) = body.split_at(100 << 10);
    let mut server = rig.forward_request();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    server.write_all(head.as_bytes()).unwrap();
    server.write_all(first).unwrap();
    let mut received = rig.client.read_body_start(first.len());
    let rest_to_send = rest.to_vec();
    let sender = thread::spawn(move || {
        server.write_all(&rest_to_send).unwrap();
        server
    });
    received.extend(rig.client.read_bytes(rest.len()));
    assert!(received == body, "the response body differs from the one sent");
    // Both connections are reused.
    let mut server = sender.join().unwrap();
    rig.client.write(&idempotent_request());
    read_head(&mut server);
    server.write_all(DONE).unwrap();
    assert_eq!(rig.client.response().unwrap().body, b"done");
}

/// The server cannot send a response of 32 MiB, since the buffers on the way hold far less.
#[test]
fn client_that_reads_nothing_applies_backpressure_to_its_server() {
    let mut rig = StreamRig::start();
    let mut server = rig.forward_request();
    server.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n").unwrap();
    server.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
    let blocked = server.write_all(&vec![0; 32 * MIB]).unwrap_err();
    assert_eq!(blocked.kind(), ErrorKind::WouldBlock, "{blocked}");
}

/// The response is truncated after part of it has been forwarded, so no retry is possible.
#[test]
fn truncated_long_response_reaches_its_client_as_truncated() {
    let mut rig = StreamRig::start();
    let mut server = rig.forward_request();
    server.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
    let chunk = format!("20000\r\n{}\r\n", "x".repeat(128 << 10));
    server.write_all(chunk.as_bytes()).unwrap();
    drop(server);
    let text = rig.client.read_until_closed();
    assert!(text.starts_with("HTTP/1.1 200") && !text.ends_with("0\r\n\r\n"));
}

/// Forwarded bytes are not buffered for a retry. As the server did not run the request, the client may send
/// it again.
#[test]
fn partly_forwarded_long_body_is_not_retried() {
    let mut rig = StreamRig::start();
    rig.write_head(8 * MIB);
    rig.client.write_bytes(&pattern(MIB));
    let mut server = rig.accept();
    server.read_exact(&mut vec![0; 512 << 10]).unwrap();
    drop(server);
    let response = rig.client.expect_response();
    assert_eq!((response.status(), response.header("connection")), (429, "close"));
    rig.listener.set_nonblocking(true).unwrap();
    let second_attempt = rig.listener.accept().map(drop);
    assert_eq!(second_attempt.unwrap_err().kind(), ErrorKind::WouldBlock, "the request was retried");
}
