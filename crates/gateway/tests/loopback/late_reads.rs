//! Requests that the gateway reads some time after they arrived: that time counts against the client timeout.

use crate::rig::deployment::Deployment;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::message::read_head;
use crate::rig::request::{
    idempotent_request, non_idempotent_request, with_client_timeout, with_framing, HEALTH_CHECK,
};
use crate::rig::server::Server;
use std::io::Read;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Amount by which the timeout forwarded to a server may exceed the time left to the client.
const FORWARDED_TIMEOUT_SLACK: Duration = Duration::from_millis(150);
/// Delay after the client timeout within which the response may arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// Guards against a forwarded timeout that ignores how long a request waited before the gateway read it, on
/// an open connection or on one that was not accepted yet.
#[test]
fn time_before_a_request_is_read_counts_against_its_client_timeout() {
    // Longer than a response takes on a slow machine.
    let timeout = Duration::from_secs(60);
    let pause = Duration::from_millis(700);
    let server = Server::healthy();
    let gateway = Deployment::with_server(&server).unlimited_deadline().start();
    let mut accepted = gateway.connect();
    assert_eq!(accepted.call(HEALTH_CHECK).status(), 200);
    gateway.pause();
    let mut queued = gateway.connect();
    for client in [&mut accepted, &mut queued] {
        client.write(&with_client_timeout(&idempotent_request(), 60_000));
    }
    let written_at = Instant::now();
    std::thread::sleep(pause);
    let left = timeout - written_at.elapsed() + FORWARDED_TIMEOUT_SLACK;
    gateway.resume();
    for client in [&mut accepted, &mut queued] {
        let forwarded = server.next_request().client_timeout_ms().unwrap();
        assert!(Duration::from_millis(forwarded) <= left, "{forwarded} ms with {left:?} left");
        assert_eq!(client.expect_response().status(), 200);
    }
}

/// A request that is read only after its client timeout is answered, but not forwarded.
#[test]
fn request_read_after_its_client_timeout_is_rejected_without_an_attempt() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let mut client = gateway.connect();
    assert_eq!(client.call(HEALTH_CHECK).status(), 200);
    gateway.pause();
    client.write(&with_client_timeout(&non_idempotent_request("x"), 300));
    std::thread::sleep(Duration::from_millis(400));
    gateway.resume();
    assert_eq!(client.expect_response().status(), 429);
    assert!(server.unread_requests().is_empty());
}

/// Guards against a client timeout that ignores how long the last part of a long body waited to be read. The
/// server never responds, and the client gets its response in time.
#[test]
fn time_before_the_end_of_a_long_body_is_read_counts_against_its_client_timeout() {
    let timeout = Duration::from_millis(1_900);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let gateway = Deployment::with_endpoint(listener.local_addr().unwrap()).start();
    let body = vec![b'x'; 100 << 10];
    let (first, last) = body.split_at(90 << 10);
    let mut client = gateway.connect();
    client.write(&with_framing(&non_idempotent_request(""), &format!("Content-Length: {}", body.len())));
    client.write_bytes(first);
    let mut server = listener.accept().unwrap().0;
    read_head(&mut server);
    server.read_exact(&mut vec![0; first.len()]).unwrap();
    gateway.pause();
    client.write_bytes(last);
    let written_at = Instant::now();
    std::thread::sleep(Duration::from_millis(1_000));
    gateway.resume();
    server.read_exact(&mut vec![0; last.len()]).unwrap();
    assert_eq!(client.expect_response().status(), 502);
    let elapsed = written_at.elapsed();
    assert!(elapsed <= timeout + ANSWER_SLACK, "{elapsed:?}");
}
