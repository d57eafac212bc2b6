//! Requests that the gateway reads some time after they arrived: that time is the client's.

use crate::rig::gateway_process::GatewayProcess;
use crate::rig::request::{idempotent_request, non_idempotent_request, with_client_timeout, HEALTH_CHECK};
use crate::rig::server::Server;
use std::time::{Duration, Instant};

/// By how much the time forwarded to a server may exceed what is left to the client.
const FORWARDED_TIMEOUT_SLACK: Duration = Duration::from_millis(150);

/// Guards against time that a request waits before the gateway reads it: on a connection that is not accepted yet, and on one
/// that is open.
#[test]
fn time_before_a_request_is_read_counts_against_its_client_timeout() {
    let timeout = Duration::from_millis(1_900);
    let pause = Duration::from_millis(700);
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let mut open = gateway.connect();
    assert_eq!(open.call(HEALTH_CHECK).status(), 200);
    gateway.pause();
    let mut queued = gateway.connect();
    for client in [&mut open, &mut queued] {
        client.write(&idempotent_request());
    }
    let written_at = Instant::now();
    std::thread::sleep(pause);
    let left = timeout - written_at.elapsed() + FORWARDED_TIMEOUT_SLACK;
    gateway.resume();
    for client in [&mut open, &mut queued] {
        let forwarded = server.next_request().client_timeout_ms().unwrap();
        assert!(Duration::from_millis(forwarded) <= left, "{forwarded} ms with {left:?} left");
        assert_eq!(client.expect_response().status(), 200);
    }
}

/// A request whose client stopped waiting before it was read is answered, and goes to no server.
#[test]
fn request_read_after_its_client_timeout_is_rejected_unsent() {
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
