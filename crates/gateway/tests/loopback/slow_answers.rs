//! Long answers of unknown length that a server is still writing when the client's time is over. A client waits no
//! longer than that for the first bytes of a long answer, and then for as long as its server goes on.

use crate::rig::accept::accept;
use crate::rig::chunks::{encode_chunk, read_chunk};
use crate::rig::deployment::Deployment;
use crate::rig::framing::Framing;
use crate::rig::message::{pattern, read_head};
use crate::rig::request::{idempotent_request, non_idempotent_request, with_client_timeout};
use crate::rig::server::{Reply, Server};
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// Time for which clients wait for their answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time from the end of the client timeout to the latest end of an answer that does not go on.
const ANSWER_SLACK: Duration = Duration::from_millis(550);
/// Length of a long answer.
const LONG_ANSWER_BYTES: usize = 160 << 10;
/// Number of requests of which some reach a server that hangs.
const REPLACED_ANSWERS: usize = 6;
/// Interval between the pieces of an answer.
const PIECE_INTERVAL: Duration = Duration::from_millis(10);
/// Length of a short answer that takes far longer than its client waits.
const LONG_TRICKLE_BYTES: usize = 60_000;
/// Interval between the lumps of an answer.
const LUMP_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes a second that a slow server writes.
const SLOW_SERVER_RATE: usize = 100_000;

/// A client whose request has been sent, and the server's connection with its answer's head written.
struct SlowAnswer {
    server: TcpStream,
    client: BufReader<TcpStream>,
    sent_at: Instant,
    _gateway: crate::rig::gateway_process::GatewayProcess,
}

impl SlowAnswer {
    /// Sends a request and lets its server write the head of an answer.
    fn begin(request: &str, framing: Framing) -> SlowAnswer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let gateway = Deployment::with_endpoint(listener.local_addr().unwrap()).start();
        let mut client = TcpStream::connect(gateway.address).unwrap();
        let timeout_ms = CLIENT_TIMEOUT.as_millis() as u64;
        client.write_all(with_client_timeout(request, timeout_ms).as_bytes()).unwrap();
        let sent_at = Instant::now();
        let mut server = accept(&listener);
        read_head(&mut server);
        server.set_nodelay(true).unwrap();
        server.write_all(framing.head().as_bytes()).unwrap();
        client.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        SlowAnswer { server, client: BufReader::new(client), sent_at, _gateway: gateway }
    }

    /// Returns the client's status line and the time after which it came.
    fn read_status(&mut self) -> (String, Duration) {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            let mut byte = [0];
            self.client.read_exact(&mut byte).unwrap();
            line.push(byte[0]);
        }
        (String::from_utf8(line).unwrap(), self.sent_at.elapsed())
    }

    /// Reads the rest of the head and a chunked body. Panics if the body is not whole.
    fn read_body(&mut self) -> Vec<u8> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.client.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        let mut body = Vec::new();
        while read_chunk(&mut self.client, &mut body) {}
        body
    }
}

/// Lets a server write a long answer in pieces, and asserts that its client gets the first bytes in time and all of
/// them in the end.
fn assert_long_answer_is_whole(request: &str, framing: Framing, interval: Duration) {
    let mut answer = SlowAnswer::begin(request, framing);
    let body = pattern(LONG_ANSWER_BYTES);
    let piece_bytes = SLOW_SERVER_RATE * interval.as_millis() as usize / 1_000;
    let pieces: Vec<Vec<u8>> = body.chunks(piece_bytes).map(|piece| framing.encode(piece)).collect();
    let mut server = answer.server.try_clone().unwrap();
    let writer = thread::spawn(move || {
        for piece in pieces {
            server.write_all(&piece)?;
            thread::sleep(interval);
        }
        if framing == Framing::Chunked {
            framing.end(&mut server)?;
        }
        server.shutdown(std::net::Shutdown::Write)
    });
    let (status, elapsed) = answer.read_status();
    assert!(status.starts_with("HTTP/1.1 200"), "{status}");
    assert!(elapsed <= CLIENT_TIMEOUT, "{elapsed:?}");
    assert!(answer.read_body() == body, "the answer differs from the one that the server wrote");
    writer.join().unwrap().unwrap();
}

#[test]
fn long_answer_of_unknown_length_that_outlasts_the_client_timeout_is_not_cut_off() {
    for framing in [Framing::Chunked, Framing::Close] {
        for interval in [PIECE_INTERVAL, LUMP_INTERVAL] {
            assert_long_answer_is_whole(&non_idempotent_request("x"), framing, interval);
            assert_long_answer_is_whole(&idempotent_request(), framing, interval);
        }
    }
}

/// A server that hangs in an answer loses its request to another one, for as long as there is time.
#[test]
fn answer_whose_server_stops_is_replaced_by_that_of_another_server() {
    let beginning = format!("{}4\r\nhalf\r\n", Framing::Chunked.head());
    let hanging = Server::start(move |_| Reply::Raw(beginning.clone()));
    let healthy = Server::healthy();
    let gateway = Deployment::with_two_zones(hanging.address, healthy.address).start();
    for _ in 0..REPLACED_ANSWERS {
        let response = gateway.connect().call(&idempotent_request());
        assert_eq!((response.status(), response.body.as_slice()), (200, b"done".as_slice()));
    }
    assert!(!hanging.unread_requests().is_empty(), "no request reached the server that hangs");
}

/// A server that trickles in an answer which is known to be short loses its request just as well.
#[test]
fn short_answer_that_trickles_in_is_replaced_by_that_of_another_server() {
    let trickling = TcpListener::bind("127.0.0.1:0").unwrap();
    let healthy = Server::healthy();
    let gateway = Deployment::with_two_zones(trickling.local_addr().unwrap(), healthy.address).start();
    let (reports, served) = channel();
    thread::spawn(move || {
        for stream in trickling.incoming() {
            let reports = reports.clone();
            thread::spawn(move || trickle(stream.unwrap(), &reports));
        }
    });
    for _ in 0..REPLACED_ANSWERS {
        let response = gateway.connect().call(&idempotent_request());
        assert_eq!((response.status(), response.body.as_slice()), (200, b"done".as_slice()));
    }
    assert!(served.try_recv().is_ok(), "no request reached the server that trickles");
}

/// Writes an answer of known length a byte at a time, until the gateway closes the connection.
fn trickle(mut server: TcpStream, reports: &Sender<()>) {
    read_head(&mut server);
    reports.send(()).unwrap();
    let _ = write!(server, "HTTP/1.1 200 OK\r\nContent-Length: {LONG_TRICKLE_BYTES}\r\n\r\n");
    while server.write_all(b"x").is_ok() {
        thread::sleep(PIECE_INTERVAL);
    }
}

/// A server that hangs in a short answer: what its client gets shows that the answer is not whole.
#[test]
fn answer_whose_server_stops_is_ended_soon_after_the_client_timeout() {
    let mut answer = SlowAnswer::begin(&non_idempotent_request("x"), Framing::Chunked);
    answer.server.write_all(&encode_chunk(b"half")).unwrap();
    let (status, _) = answer.read_status();
    if status.starts_with("HTTP/1.1 200") {
        let mut text = Vec::new();
        let _ = answer.client.read_to_end(&mut text);
        assert!(!text.ends_with(b"0\r\n\r\n"), "the client takes the answer for whole");
    } else {
        assert!(status.starts_with("HTTP/1.1 502"), "{status}");
    }
    let elapsed = answer.sent_at.elapsed();
    assert!(elapsed <= CLIENT_TIMEOUT + ANSWER_SLACK, "{elapsed:?}");
}
