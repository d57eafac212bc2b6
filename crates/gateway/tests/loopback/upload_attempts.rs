//! Attempts that end while the client is still sending a long body: whatever ends them, the body belongs to the
//! request, and the next attempt sends all of it or none.

use crate::rig::accept::accept;
use crate::rig::chunks::{encode_chunk, read_chunk};
use crate::rig::client::Client;
use crate::rig::deployment::Deployment;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::message::{pattern, read_head};
use crate::rig::request::{non_idempotent_request, with_framing};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Length of a body. It exceeds what the gateway buffers, and fits into the system's buffers.
const BODY_BYTES: usize = 160 << 10;
/// Length of a body of which the gateway keeps only the beginning.
const LONG_BODY_BYTES: usize = 1 << 20;
/// Time after the client's first byte within which a server has to reject a request for a test that depends on it.
const PROMPT_REJECTION: Duration = Duration::from_millis(10);
/// Number of requests among which one is expected to be rejected promptly.
const MAX_ROUNDS: usize = 50;
/// Length of the part that a client sends before the first attempt ends. The gateway buffers just this much.
const FIRST_PART_BYTES: usize = (64 << 10) + 1;
/// Time that is longer than the client timeout, and shorter than the time for a client that sends nothing.
const OVER_CLIENT_TIMEOUT: Duration = Duration::from_millis(2_100);
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

    /// Returns the header line that announces a body.
    fn header(self, body_length: usize) -> String {
        match self {
            Framing::ContentLength => format!("Content-Length: {body_length}"),
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

    /// Reads a body that announces this length, or less if it ends before.
    fn read_body(self, stream: &TcpStream, body_length: usize) -> Vec<u8> {
        let mut reader = BufReader::new(stream);
        let mut body = Vec::new();
        match self {
            Framing::ContentLength => {
                reader.take(body_length as u64).read_to_end(&mut body).unwrap();
            }
            Framing::Chunked => while read_chunk(&mut reader, &mut body) {},
        }
        body
    }
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
        let mut rig = UploadRig::connect(framing, BODY_BYTES);
        rig.send_head();
        rig.client.write_bytes(&framing.encode(&rig.body[..FIRST_PART_BYTES]));
        rig
    }

    /// Starts a gateway and connects a client.
    fn connect(framing: Framing, body_length: usize) -> UploadRig {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let gateway = Deployment::with_endpoint(listener.local_addr().unwrap()).start();
        let client = gateway.connect();
        UploadRig { listener, _gateway: gateway, client, framing, body: pattern(body_length) }
    }

    /// Sends the head of a request that must never run twice.
    fn send_head(&mut self) {
        let header = self.framing.header(self.body.len());
        self.client.write(&with_framing(&non_idempotent_request(""), &header));
    }

    /// Accepts the connection of the next attempt and reads its head.
    fn next_attempt(&self) -> TcpStream {
        let mut server = accept(&self.listener);
        read_head(&mut server);
        server
    }

    /// Sends the rest of the body.
    fn send_rest(&mut self) {
        self.client.write_bytes(&self.framing.encode(&self.body[FIRST_PART_BYTES..]));
        self.client.write_bytes(self.framing.end());
    }

    /// Asserts that the next attempt has the whole body, of which the client has sent the first part, and that
    /// its response reaches the client.
    fn assert_next_attempt_is_whole(mut self) {
        let server = self.next_attempt();
        self.send_rest();
        self.assert_is_whole(server);
    }

    /// Asserts that an attempt has the whole body, and that its response reaches the client.
    fn assert_is_whole(mut self, mut server: TcpStream) {
        let received = self.framing.read_body(&server, self.body.len());
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

/// Guards against a rejection of the client's request where another server could have run it: the part of the body
/// that the first server had taken was gone.
#[test]
fn long_body_rejected_after_its_end_reaches_the_next_server_whole() {
    for framing in Framing::ALL {
        let mut rig = UploadRig::start(framing);
        let mut rejecting = rig.next_attempt();
        rig.send_rest();
        assert!(framing.read_body(&rejecting, BODY_BYTES) == rig.body);
        rejecting.write_all(REJECTED.as_bytes()).unwrap();
        // The connection is reused, as it is the only one to the only server.
        read_head(&mut rejecting);
        rig.assert_is_whole(rejecting);
    }
}

/// As above, with a body that is too long to be kept: a server has the time to reject the request on its head
/// before it gets a part that could not be sent again.
#[test]
fn body_too_long_to_be_kept_reaches_the_next_server_after_a_prompt_rejection() {
    for framing in Framing::ALL {
        let is_prompt = (0..MAX_ROUNDS).any(|_| rejects_a_too_long_body_promptly(framing));
        assert!(is_prompt, "{framing:?}: no request was rejected within {PROMPT_REJECTION:?}");
    }
}

/// Sends a long body at once, rejects the first attempt on its head, and returns whether that was prompt. If so,
/// asserts that the next attempt has the whole body.
fn rejects_a_too_long_body_promptly(framing: Framing) -> bool {
    let mut rig = UploadRig::connect(framing, LONG_BODY_BYTES);
    let encoded_body = [&framing.encode(&rig.body), framing.end()].concat();
    let sent_at = Instant::now();
    rig.send_head();
    thread::scope(|scope| {
        let listener = &rig.listener;
        let rejection = scope.spawn(move || {
            let mut rejecting = accept(listener);
            read_head(&mut rejecting);
            rejecting.write_all(REJECTED.as_bytes()).unwrap();
            let is_prompt = sent_at.elapsed() <= PROMPT_REJECTION;
            // A server that has rejected a request discards its body.
            thread::spawn(move || while rejecting.read(&mut [0; 1 << 16]).is_ok_and(|read| read > 0) {});
            is_prompt.then(|| accept(listener))
        });
        // The gateway closes the connection of a request that it does not retry.
        let client = &mut rig.client;
        scope.spawn(|| client.try_write_bytes(&encoded_body));
        let Some(mut server) = rejection.join().unwrap() else { return false };
        read_head(&mut server);
        let received = framing.read_body(&server, LONG_BODY_BYTES);
        assert!(received == rig.body, "{framing:?}: the body differs; length: {}", received.len());
        server.write_all(DONE.as_bytes()).unwrap();
        true
    })
}

/// Guards against a rejection of a request whose client is still sending its body, and whose client timeout has not
/// begun.
#[test]
fn long_body_rejected_later_than_the_client_timeout_reaches_the_next_server_whole() {
    let rig = UploadRig::start(Framing::Chunked);
    let mut rejecting = rig.next_attempt();
    thread::sleep(OVER_CLIENT_TIMEOUT);
    rejecting.write_all(REJECTED.as_bytes()).unwrap();
    rig.assert_next_attempt_is_whole();
}
