//! Attempts that end while the client is still sending a long body: whatever ends them, the body belongs to the
//! request, and the next attempt sends all of it or none.

use crate::rig::chunks::{encode_chunk, read_chunk};
use crate::rig::client::Client;
use crate::rig::deployment::Deployment;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::message::read_head;
use crate::rig::request::{non_idempotent_request, with_framing};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

/// Length of a body. It exceeds what the gateway buffers, and fits into the system's buffers.
const BODY_BYTES: usize = 160 << 10;
/// Length of the part that a client sends before the first attempt ends. The gateway buffers just this much.
const FIRST_PART_BYTES: usize = (64 << 10) + 1;
/// Length of a chunk of a chunked body.
const CHUNK_BYTES: usize = 2 << 10;
/// Response of a server that has not run the request.
const REJECTED: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n";
/// Like [`REJECTED`], from a server that then closes its connection.
const REJECTED_WITH_CLOSE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Response of a server that has run the request.
const DONE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

/// How a message announces the length of its body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    ContentLength,
    Chunked,
}

impl Framing {
    /// Both framings.
    const ALL: [Framing; 2] = [Framing::ContentLength, Framing::Chunked];

    /// Returns the header line that announces a body of [`BODY_BYTES`].
    fn header(self) -> String {
        match self {
            Framing::ContentLength => format!("Content-Length: {BODY_BYTES}"),
            Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
        }
    }

    /// Returns a part of a body as it is sent.
    fn encode(self, part: &[u8]) -> Vec<u8> {
        match self {
            Framing::ContentLength => part.to_vec(),
            Framing::Chunked => part.chunks(CHUNK_BYTES).flat_map(encode_chunk).collect(),
        }
    }

    /// Returns what follows the last part of a body.
    fn end(self) -> &'static [u8] {
        match self {
            Framing::ContentLength => b"",
            Framing::Chunked => b"0\r\n\r\n",
        }
    }

    /// Reads a body of [`BODY_BYTES`], or less if it ends before.
    fn read_body(self, stream: TcpStream) -> Vec<u8> {
        let mut reader = BufReader::new(stream);
        let mut body = Vec::new();
        match self {
            Framing::ContentLength => {
                reader.take(BODY_BYTES as u64).read_to_end(&mut body).unwrap();
            }
            Framing::Chunked => while read_chunk(&mut reader, &mut body) {},
        }
        body
    }
}

/// Returns bytes that reveal a gap or a repetition.
fn pattern() -> Vec<u8> {
    (0..BODY_BYTES).map(|position| (position / 251 + position) as u8).collect()
}

/// A gateway with a client that sends a long body, and a listener on which the test acts as the server.
struct UploadRig {
    listener: TcpListener,
    _gateway: GatewayProcess,
    client: Client,
    framing: Framing,
    body: Vec<u8>,
}

impl UploadRig {
    /// Starts a gateway, and sends it the head and the first part of a request that must never run twice.
    fn start(framing: Framing) -> UploadRig {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let gateway = Deployment::with_endpoint(listener.local_addr().unwrap()).start();
        let mut client = gateway.connect();
        let body = pattern();
        client.write(&with_framing(&non_idempotent_request(""), &framing.header()));
        client.write_bytes(&framing.encode(&body[..FIRST_PART_BYTES]));
        UploadRig { listener, _gateway: gateway, client, framing, body }
    }

    /// Accepts the connection of the next attempt and reads its head.
    fn next_attempt(&self) -> TcpStream {
        let mut server = self.listener.accept().unwrap().0;
        read_head(&mut server);
        server
    }

    /// Sends the rest of the body.
    fn send_rest(&mut self) {
        self.client.write_bytes(&self.framing.encode(&self.body[FIRST_PART_BYTES..]));
        self.client.write_bytes(self.framing.end());
    }

    /// Asserts that the next attempt has the whole body, and that its response reaches the client.
    fn assert_next_attempt_is_whole(mut self) {
        let mut server = self.next_attempt();
        self.send_rest();
        let received = self.framing.read_body(server.try_clone().unwrap());
        let lengths = (received.len(), self.body.len());
        assert!(received == self.body, "{:?}: the body differs; lengths: {lengths:?}", self.framing);
        server.write_all(DONE.as_bytes()).unwrap();
        assert_eq!(self.client.expect_response().status(), 200, "{:?}", self.framing);
    }
}

/// Guards against a cut body: the attempt that was rejected kept the unread part, and the next one ended the body
/// after the buffered part, as a whole request that no client had sent.
#[test]
fn long_body_rejected_on_its_head_reaches_the_next_server_whole() {
    for framing in Framing::ALL {
        let rig = UploadRig::start(framing);
        let mut rejecting = rig.next_attempt();
        rejecting.write_all(REJECTED.as_bytes()).unwrap();
        rig.assert_next_attempt_is_whole();
        drop(rejecting);
    }
}

/// As above, with a server that closes its connection after the rejection or instead of it.
#[test]
fn long_body_whose_server_closes_early_reaches_the_next_server_whole() {
    for framing in Framing::ALL {
        for response in [REJECTED_WITH_CLOSE, ""] {
            let rig = UploadRig::start(framing);
            let mut closing = rig.next_attempt();
            closing.write_all(response.as_bytes()).unwrap();
            closing.shutdown(Shutdown::Both).unwrap();
            rig.assert_next_attempt_is_whole();
        }
    }
}
