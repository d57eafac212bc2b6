//! Answers that break while they arrive. Their clients get another final answer, or the beginning of the broken one, but
//! never a connection that ends without a word.

use crate::rig::accept::accept;
use crate::rig::chunks::encode_chunk;
use crate::rig::deployment::Deployment;
use crate::rig::message::{pattern, read_head, Message};
use crate::rig::request::{idempotent_request, non_idempotent_request, with_client_timeout};
use socket2::SockRef;
use std::hint;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which clients wait for their answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time before the end of the client timeout at which an answer begins.
const TIME_LEFT: Duration = Duration::from_millis(25);
/// Number of answers that break.
const BROKEN_ANSWERS: u32 = 48;
/// Difference of the times from the head to the break between one answer and the next.
const BREAK_DELAY_STEP: Duration = Duration::from_micros(4);
/// Time after the client timeout until which a client needs its final answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Length of a long answer.
const LONG_ANSWER_BYTES: usize = 200 << 10;
/// Part of a long answer that is written before it breaks.
const WRITTEN_BYTES: usize = 100 << 10;

/// Head of a chunked answer.
const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A chunk whose length is not a number.
const MALFORMED_CHUNK: &[u8] = b"zz\r\n";

/// What a client got, and when.
struct Received {
    /// Status of the response; `None` for a connection that ended without one.
    status: Option<u16>,
    elapsed: Duration,
}

/// Sends a request whose server writes this answer and resets the connection. Returns what the client gets.
fn response_to_reset_answer(request: &str, answer: &[u8]) -> Option<Message> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let gateway = Deployment::with_endpoint(listener.local_addr().unwrap()).start();
    let mut client = gateway.connect();
    client.write(request);
    let mut server = accept(&listener);
    read_head(&mut server);
    server.write_all(answer).unwrap();
    SockRef::from(&server).set_linger(Some(Duration::ZERO)).unwrap();
    drop(server);
    client.response()
}

/// Lets the servers of clients, each at a gateway of its own, begin answers just before the client timeout and break each
/// a little later. Returns what the clients get.
fn responses_broken_behind_their_heads(request: fn() -> String) -> Vec<Received> {
    thread::scope(|scope| {
        let clients = (0..BROKEN_ANSWERS)
            .map(|number| scope.spawn(move || response_broken_behind_head(request, number)));
        let clients: Vec<_> = clients.collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    })
}

/// Lets the server of one client break its answer after a delay that grows with the number of the client.
fn response_broken_behind_head(request: fn() -> String, number: u32) -> Received {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let gateway = Deployment::with_endpoint(listener.local_addr().unwrap()).start();
    let mut client = gateway.connect();
    let sent_at = Instant::now();
    client.write(&with_client_timeout(&request(), CLIENT_TIMEOUT.as_millis() as u64));
    let server = accept(&listener);
    thread::spawn(move || break_behind_head(server, BREAK_DELAY_STEP * number));
    let status = client.response().map(|response| response.status());
    Received { status, elapsed: sent_at.elapsed() }
}

/// Reads a request, writes the head of an answer just before the client timeout, and breaks the answer after a delay.
fn break_behind_head(mut server: TcpStream, delay: Duration) {
    server.set_nodelay(true).unwrap();
    read_head(&mut server);
    thread::sleep(CLIENT_TIMEOUT - TIME_LEFT);
    server.write_all(CHUNKED_HEAD).unwrap();
    let written_at = Instant::now();
    while written_at.elapsed() < delay {
        hint::spin_loop();
    }
    let _ = server.write_all(MALFORMED_CHUNK);
    let _ = std::io::copy(&mut server, &mut std::io::sink());
}

/// Guards against a connection that ends without a byte when an answer breaks just after it has been passed on.
#[test]
fn client_of_an_answer_that_breaks_behind_its_head_gets_a_final_answer() {
    for (request, status) in [(idempotent_request as fn() -> String, 429), (unsafe_request, 502)] {
        let received = responses_broken_behind_their_heads(request);
        let statuses: Vec<Option<u16>> = received.iter().map(|received| received.status).collect();
        assert_eq!(statuses, vec![Some(status); received.len()]);
        let latest = received.iter().map(|received| received.elapsed).max();
        assert!(latest <= Some(CLIENT_TIMEOUT + ANSWER_GRACE), "{latest:?}");
    }
}

/// Returns a request that must not run twice.
fn unsafe_request() -> String {
    non_idempotent_request("x")
}

/// Guards against the same for a long answer, of which nothing may have been read when it breaks.
#[test]
fn client_of_a_long_answer_that_breaks_at_once_gets_its_beginning_or_a_final_answer() {
    let known_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_ANSWER_BYTES}\r\n\r\n").into_bytes();
    let malformed = [CHUNKED_HEAD, &encode_chunk(&pattern(WRITTEN_BYTES)), MALFORMED_CHUNK].concat();
    let broken_off = [&known_length[..], &pattern(WRITTEN_BYTES)].concat();
    for answer in [known_length, malformed, broken_off] {
        for request in [idempotent_request(), non_idempotent_request("x")] {
            let response = response_to_reset_answer(&request, &answer).expect("the client gets an answer");
            assert!(matches!(response.status(), 200 | 429 | 502), "{response:?}");
            assert!(
                response.status() != 200
                    || !response.complete
                    || response.header("content-length").is_empty()
            );
        }
    }
}
