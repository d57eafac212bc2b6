//! Long bodies that a server takes only in part or slowly, so that the gateway holds the rest of them back: the
//! request may have arrived completely, and gets its final answer in time.

use crate::rig::accept::accept;
use crate::rig::chunks::encode_chunk;
use crate::rig::client::{operator_get, Client};
use crate::rig::deployment::{Deployment, NON_IDEMPOTENT};
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::message::read_head;
use crate::rig::request::{non_idempotent_request, with_client_timeout, with_framing};
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which clients wait for their answer, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 1_000;
/// Time for which clients wait that outlast the gateway, in milliseconds.
const LONG_TIMEOUT_MS: u64 = 60_000;
/// Time from the end of the client timeout to the latest answer: half a second, and 50 ms as on all time limits.
const ANSWER_SLACK: Duration = Duration::from_millis(550);
/// Time from its connecting within which a client that sends no complete request gets an error.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Length of a chunk of a body.
const CHUNK_BYTES: usize = 256 << 10;
/// Maximum number of chunks of a body. Together they exceed the system's buffers on the way to a server.
const MAX_CHUNKS: usize = 100;
/// Maximum number of bytes that a slow server reads at a time.
const SLOW_READ_BYTES: usize = 4 << 10;
/// Maximum number of bytes that a server reads at a time which takes the body for longer than its client waits.
const STEADY_READ_BYTES: usize = 64 << 10;
/// Number of chunks of a body that is longer than the systems' buffers on the way, but for the end of it.
const SLOW_BODY_CHUNKS: usize = 48;
/// Interval between two looks at the gateway's statistics.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of clients that send long bodies at once.
const SENDING_CLIENTS: usize = 8;
/// Time from a client's end within which its request ends.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Length of a body that is far longer than what the systems of both sides keep.
const SLOW_UPLOAD_BYTES: usize = 20 << 20;
/// Part of it that its server takes at a time.
const SLOW_UPLOAD_LUMP_BYTES: usize = 2 << 20;
/// Pause of its server after each part.
const SLOW_UPLOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which its client waits, in milliseconds: less than the server needs, and more than it needs for what the
/// client's system keeps.
const SLOW_UPLOAD_TIMEOUT_MS: u64 = 3_000;
/// Size of the receive buffer of a slow server.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Time within which a request is answered whose server takes nothing of a body that is far from written.
const HANGING_UPLOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay of a slow server between two reads.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(20);

/// A gateway in front of a listener, and the client of a long request.
struct HeldBackRig {
    listener: TcpListener,
    gateway: GatewayProcess,
    client: Client,
}

impl HeldBackRig {
    /// Starts a gateway and sends it the head of a request with a chunked body.
    fn start(client_timeout_ms: u64) -> HeldBackRig {
        HeldBackRig::start_with_framing(client_timeout_ms, "Transfer-Encoding: chunked")
    }

    /// Starts a gateway and sends it the head of a request.
    fn start_with_framing(client_timeout_ms: u64, framing: &str) -> HeldBackRig {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let deployment = Deployment::with_endpoint(listener.local_addr().unwrap()).operator_interface();
        let gateway = deployment.deadline_us(NON_IDEMPOTENT, LONG_TIMEOUT_MS * 1_000).start();
        let mut client = gateway.connect();
        let request = with_client_timeout(&non_idempotent_request(""), client_timeout_ms);
        client.write(&with_framing(&request, framing));
        HeldBackRig { listener, gateway, client }
    }

    /// Sends chunks until the gateway holds them back. Returns the server's connection.
    fn send_until_held_back(&mut self) -> TcpStream {
        let chunk = encode_chunk(&vec![b'x'; CHUNK_BYTES]);
        self.client.write_bytes(&chunk);
        let mut server = accept(&self.listener);
        read_head(&mut server);
        for _ in 0..MAX_CHUNKS {
            if !self.gateway.reads_all_from(&self.client) {
                return server;
            }
            self.client.write_bytes(&chunk);
        }
        panic!("the gateway holds nothing back");
    }

    /// Closes the client's connection and asserts that its request, the only one, ends in time.
    fn assert_request_ends_with_its_client(self) {
        let operators = self.gateway.operator_address();
        let active = |count: usize| format!("gateway_active {count}\n");
        let stats = || String::from_utf8(operator_get(operators, "/admin/stats").body).unwrap();
        assert!(stats().contains(&active(1)), "{}", stats());
        drop(self.client);
        let deadline = Instant::now() + DISCONNECT_TIMEOUT;
        while !stats().contains(&active(0)) {
            assert!(Instant::now() < deadline, "the request is still active 5 s after its client has gone");
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Ends the body, waits for the answer, and asserts that it arrives in time and that the client may retry.
    fn assert_rejected_in_time(&mut self) {
        self.client.write("0\r\n\r\n");
        let ended_at = Instant::now();
        assert_eq!(self.client.expect_response().status(), 429);
        let elapsed = ended_at.elapsed();
        let latest = Duration::from_millis(CLIENT_TIMEOUT_MS) + ANSWER_SLACK;
        assert!(elapsed <= latest, "{elapsed:?}");
    }
}

/// Guards against a request without a deadline: it began only once a server had taken the whole body, which a
/// server that hangs in the middle of it never does.
#[test]
fn request_whose_server_hangs_in_its_body_is_answered_in_time() {
    let mut rig = HeldBackRig::start(CLIENT_TIMEOUT_MS);
    let _hanging = rig.send_until_held_back();
    rig.assert_rejected_in_time();
    rig.gateway.wait_for_log("not taken by a server in time");
}

/// As above, with a server that goes on to take a little of the body at a time.
#[test]
fn request_whose_server_takes_its_body_too_slowly_is_answered_in_time() {
    let mut rig = HeldBackRig::start(CLIENT_TIMEOUT_MS);
    let mut slow = rig.send_until_held_back();
    thread::spawn(move || {
        while slow.read(&mut [0; SLOW_READ_BYTES]).is_ok_and(|read| read > 0) {
            thread::sleep(SLOW_READ_INTERVAL);
        }
    });
    rig.assert_rejected_in_time();
}

/// Guards against an answer that is late by the time for which a slow server holds the end of a body back: the client
/// has written all of it, but the gateway's machine takes it only as the server goes on.
#[test]
fn large_request_that_a_server_reads_slowly_is_answered_in_time() {
    for (framing, end) in [("Transfer-Encoding: chunked".to_owned(), "0\r\n\r\n"), (length_of_chunks(), "")] {
        let mut rig = HeldBackRig::start_with_framing(CLIENT_TIMEOUT_MS, &framing);
        let listener = rig.listener.try_clone().unwrap();
        thread::spawn(move || {
            let mut slow = accept(&listener);
            let mut data = vec![0; STEADY_READ_BYTES];
            while slow.read(&mut data).is_ok_and(|read| read > 0) {
                thread::sleep(SLOW_READ_INTERVAL);
            }
        });
        let chunk = encode_chunk(&vec![b'x'; CHUNK_BYTES]);
        // The gateway may give the body up before it has taken all of it.
        let is_written = (0..SLOW_BODY_CHUNKS).all(|_| rig.client.try_write_bytes(&chunk));
        if is_written {
            rig.client.try_write_bytes(end.as_bytes());
        }
        let ended_at = Instant::now();
        let status = rig.client.expect_response().status();
        let elapsed = ended_at.elapsed();
        let latest = Duration::from_millis(CLIENT_TIMEOUT_MS) + ANSWER_SLACK;
        assert!(status == 429 || status == 502, "{status}");
        assert!(elapsed <= latest, "{framing}: {elapsed:?}, all written: {is_written}");
    }
}

/// Returns the header with the length of [`SLOW_BODY_CHUNKS`] encoded chunks.
fn length_of_chunks() -> String {
    format!("Content-Length: {}", SLOW_BODY_CHUNKS * encode_chunk(&vec![b'x'; CHUNK_BYTES]).len())
}

/// Guards against a body that is given up for slow while its client is still writing it.
#[test]
fn long_body_that_its_server_takes_slowly_is_not_given_up_before_its_client_can_have_written_it() {
    let framing = format!("Content-Length: {SLOW_UPLOAD_BYTES}");
    let HeldBackRig { listener, mut client, gateway: _gateway } =
        HeldBackRig::start_with_framing(SLOW_UPLOAD_TIMEOUT_MS, &framing);
    // The server reads from its system's buffer for less than its client waits.
    SockRef::from(&listener).set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES).unwrap();
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut server = accept(&listener);
            read_head(&mut server);
            let mut lump = vec![0; SLOW_UPLOAD_LUMP_BYTES];
            for _ in 0..SLOW_UPLOAD_BYTES / SLOW_UPLOAD_LUMP_BYTES {
                if server.read_exact(&mut lump).is_err() {
                    return;
                }
                thread::sleep(SLOW_UPLOAD_INTERVAL);
            }
            server.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").unwrap();
            let _ = std::io::copy(&mut server, &mut std::io::sink());
        });
        assert!(client.try_write_bytes(&vec![b'x'; SLOW_UPLOAD_BYTES]), "the gateway gave the body up");
        let written_at = Instant::now();
        assert_eq!(client.expect_response().status(), 200);
        let latest = Duration::from_millis(SLOW_UPLOAD_TIMEOUT_MS) + ANSWER_SLACK;
        assert!(written_at.elapsed() <= latest, "{:?}", written_at.elapsed());
        drop(client);
        drop(_gateway);
    });
}

/// Guards against a client that waits for as long as a server hangs, since its body is far from written.
#[test]
fn request_whose_server_hangs_at_the_beginning_of_a_very_long_body_is_answered() {
    let framing = format!("Content-Length: {SLOW_UPLOAD_BYTES}");
    let mut rig = HeldBackRig::start_with_framing(CLIENT_TIMEOUT_MS, &framing);
    let sent_at = Instant::now();
    rig.client.try_write_bytes(&vec![b'x'; SLOW_UPLOAD_BYTES]);
    assert_eq!(rig.client.expect_response().status(), 429);
    assert!(sent_at.elapsed() <= HANGING_UPLOAD_TIMEOUT, "{:?}", sent_at.elapsed());
}

/// The client of a request that a server holds back would wait for longer than the process runs.
#[test]
fn request_whose_server_hangs_in_its_body_is_answered_at_shutdown() {
    let mut rig = HeldBackRig::start(LONG_TIMEOUT_MS);
    let _hanging = rig.send_until_held_back();
    rig.client.write("0\r\n\r\n");
    rig.gateway.terminate();
    assert_eq!(rig.client.expect_response().status(), 429);
    drop(rig.client);
    assert!(rig.gateway.wait().success());
}

/// A request that is still being sent when the process ends, though its server takes all of it.
#[test]
fn request_with_an_unfinished_body_is_answered_at_shutdown() {
    let mut rig = HeldBackRig::start(LONG_TIMEOUT_MS);
    rig.client.write_bytes(&encode_chunk(&vec![b'x'; CHUNK_BYTES]));
    let mut server = accept(&rig.listener);
    read_head(&mut server);
    rig.gateway.terminate();
    thread::spawn(move || server.read_to_end(&mut Vec::new()));
    assert_eq!(rig.client.expect_response().status(), 429);
    drop(rig.client);
    assert!(rig.gateway.wait().success());
}

/// The gateway reads nothing more from the client, but learns from the system that it has closed.
#[test]
fn attempt_ends_when_the_client_of_a_held_back_body_disconnects() {
    assert_end_of_held_back_client_is_seen();
}

/// Sends a body until it is held back, closes the connection, and asserts that the request ends in time.
fn assert_end_of_held_back_client_is_seen() {
    let mut rig = HeldBackRig::start(LONG_TIMEOUT_MS);
    let _hanging = rig.send_until_held_back();
    rig.assert_request_ends_with_its_client();
}

/// Guards against cutting off clients whose machine waits for room at the gateway's, as if they sent nothing.
#[test]
fn clients_whose_machine_waits_for_room_are_not_cut_off() {
    thread::scope(|scope| {
        for _ in 0..SENDING_CLIENTS {
            scope.spawn(assert_end_of_held_back_client_is_seen);
        }
    });
}

/// Guards against a client that stops in the middle of a long body and keeps its connection: nobody answered it for
/// 15 s, while one that stops in a short body is answered within 3 s of its connecting.
#[test]
fn client_that_stops_in_its_long_body_is_answered_within_the_time_for_bad_clients() {
    let mut rig = HeldBackRig::start(LONG_TIMEOUT_MS);
    let began_at = Instant::now();
    rig.client.write_bytes(&encode_chunk(&vec![b'x'; CHUNK_BYTES]));
    let mut server = accept(&rig.listener);
    read_head(&mut server);
    thread::spawn(move || server.read_to_end(&mut Vec::new()));
    let status = rig.client.expect_response().status();
    assert!((400..600).contains(&status), "{status}");
    let elapsed = began_at.elapsed();
    assert!(elapsed <= BAD_CLIENT_TIMEOUT, "{elapsed:?}");
}
