//! Clients that disconnect before their request is forwarded: no part of the request may reach a server.
//!
//! Several tests pause the gateway while clients disconnect. When the gateway resumes, it finds the requests,
//! the FINs and all other events of the meantime at once, as does a gateway that is short of processor time.

use crate::rig::accept::accept;
use crate::rig::chunks::encode_chunk;
use crate::rig::client::Client;
use crate::rig::deployment::{Deployment, KEYED};
use crate::rig::endpoint::Endpoint;
use crate::rig::gate::Gate;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::message::{read_head, Message};
use crate::rig::request::{
    for_customer, idempotent_request, keyed_request, non_idempotent_request, with_client_timeout,
    with_framing, HEALTH_CHECK,
};
use crate::rig::server::{Reply, Server};
use crate::rig::unreachable::UnreachableListener;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Number of clients that disconnect in a test.
const DISCONNECTING_CLIENTS: usize = 40;
/// Number of repetitions of a test whose course depends on the order of two events.
const RACE_REPETITIONS: usize = 10;
/// Number of requests of a connected client, sent after the other clients have disconnected.
const LATER_REQUESTS: usize = 5;

/// A short deadline of all classes, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 100;
/// Number of clients that close behind many requests.
const CLOSING_CLIENTS: usize = 8;
/// Number of requests that a client sends at once before it closes: more than the system's buffers hold at first.
const UNREAD_REQUESTS: usize = 8_000;
/// Length of a body of which much is unread when its client closes.
const LONG_BODY_BYTES: usize = 1_500_000;

/// Returns a request for a path, with a client timeout longer than a test takes.
fn request_for(path: &str) -> String {
    with_client_timeout(&idempotent_request().replace("/api?claim=7", path), 20_000)
}

/// Starts a gateway in front of one server, with a deadline longer than any test for idempotent requests.
fn gateway_with_unlimited_deadline(server: &Server) -> GatewayProcess {
    Deployment::with_server(server).unlimited_deadline().start()
}

/// Asserts that a connected client is served, and that the server has received no other requests.
fn assert_only_connected_client_is_served(gateway: &GatewayProcess, server: &Server) {
    let mut client = gateway.connect();
    for _ in 0..LATER_REQUESTS {
        let response = client.call(&request_for("/connected"));
        assert_eq!(response.status(), 200, "{response:?}");
    }
    assert_eq!(unread_request_lines(server), vec!["GET /connected HTTP/1.1"; LATER_REQUESTS]);
}

/// Returns the request lines of the requests that a server has received and the test has not read yet.
fn unread_request_lines(server: &Server) -> Vec<String> {
    server.unread_requests().into_iter().map(|request| request.start_line).collect()
}

/// The request and the client's FIN arrive while the connection is still in the listener's backlog.
#[test]
fn request_of_a_client_that_disconnected_before_accept_is_not_forwarded() {
    let server = Server::healthy();
    let gateway = gateway_with_unlimited_deadline(&server);
    gateway.pause();
    let mut half_closed = Vec::new();
    for number in 0..DISCONNECTING_CLIENTS {
        let mut client = gateway.connect();
        client.write(&request_for("/disconnecting"));
        if number % 2 == 0 {
            client.shutdown_write();
            half_closed.push(client);
        }
    }
    gateway.wait_for_half_closed_connections(DISCONNECTING_CLIENTS);
    gateway.resume();
    assert_only_connected_client_is_served(&gateway, &server);
    // Clients that closed only the sending half of their connection learn that the request was not forwarded.
    for mut client in half_closed {
        assert_eq!(client.response().map_or(0, |response| response.status()), 429);
    }
}

/// The request and the client's FIN arrive together, on a connection that has been used before.
#[test]
fn request_of_a_client_that_disconnected_before_it_was_read_is_not_forwarded() {
    let server = Server::healthy();
    let gateway = gateway_with_unlimited_deadline(&server);
    let mut clients: Vec<Client> = (0..DISCONNECTING_CLIENTS).map(|_| gateway.connect()).collect();
    for client in &mut clients {
        assert_eq!(client.call(HEALTH_CHECK).status(), 200);
    }
    gateway.pause();
    for mut client in clients {
        client.write(&request_for("/disconnecting"));
    }
    gateway.wait_for_half_closed_connections(DISCONNECTING_CLIENTS);
    gateway.resume();
    assert_only_connected_client_is_served(&gateway, &server);
}

/// Sends the shared counter's reply, with a total that is within the quota.
fn reply_with_total(counter: &mut TcpStream) {
    counter.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2").unwrap();
}

/// The request waits for the shared counter, whose reply arrives together with the client's FIN.
#[test]
fn request_of_a_client_that_disconnected_while_awaiting_the_counter_is_not_forwarded() {
    let server = Server::healthy();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let counter_address = listener.local_addr().unwrap();
    let deployment = Deployment::with_server(&server).unlimited_deadline();
    let gateway = deployment.shared_counter(counter_address, 15_000_000).start();
    let mut client = gateway.connect();
    client.write(&request_for("/disconnecting"));
    let (mut counter, _) = listener.accept().unwrap();
    read_head(&mut counter);
    gateway.pause();
    reply_with_total(&mut counter);
    drop(client);
    gateway.wait_for_half_closed_connections(1);
    gateway.resume();
    let mut connected = gateway.connect();
    connected.write(&for_customer(&request_for("/connected"), 7));
    read_head(&mut counter);
    reply_with_total(&mut counter);
    assert_eq!(connected.expect_response().status(), 200);
    assert_eq!(unread_request_lines(&server), ["GET /connected HTTP/1.1"]);
}

/// The first attempt fails as the client disconnects. Which of the two the gateway sees first is a race.
#[test]
fn request_of_a_client_that_disconnected_between_attempts_is_not_retried() {
    for _ in 0..RACE_REPETITIONS {
        disconnect_between_two_attempts();
    }
}

/// Fails the first attempt of a request as its client disconnects, and asserts that no other attempt follows.
fn disconnect_between_two_attempts() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = Server::healthy();
    let endpoints = vec![
        Endpoint::ready("s-1", listener.local_addr().unwrap()),
        Endpoint::draining("s-2", server.address),
    ];
    let deployment = Deployment::new(endpoints).unlimited_deadline();
    let gateway = deployment.start();
    let mut client = gateway.connect();
    client.write(&request_for("/disconnecting"));
    let (mut attempt, _) = listener.accept().unwrap();
    read_head(&mut attempt);
    deployment.agent.publish(vec![Endpoint::ready("s-2", server.address)]);
    gateway.pause();
    attempt.write_all(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").unwrap();
    drop((attempt, client, listener));
    gateway.wait_for_half_closed_connections(1);
    gateway.resume();
    assert_only_connected_client_is_served(&gateway, &server);
}

/// The attempt is still connecting when the client disconnects. By then the client may also have sent part or
/// all of a next request.
#[test]
fn request_of_a_client_that_disconnected_while_connecting_is_not_forwarded() {
    let long_pipelined = format!("{}{}", keyed_request("next"), "x".repeat(40 << 10));
    for pipelined in ["", "POST /ap", &keyed_request("next"), &long_pipelined] {
        let listener = UnreachableListener::bind();
        let gateway = gateway_in_front_of_unreachable(&listener);
        let mut disconnecting = gateway.connect();
        disconnecting.write(&with_client_timeout(&keyed_request("disconnecting"), 20_000));
        gateway.wait_until_input_read();
        disconnecting.write(pipelined);
        drop(disconnecting);
        let (response, server) = serve_connected_client(&gateway, listener);
        assert_eq!(response.status(), 200);
        let bodies: Vec<Vec<u8>> = server.unread_requests().into_iter().map(|request| request.body).collect();
        assert_eq!(bodies, [b"connected".to_vec()], "behind {} bytes", pipelined.len());
    }
}

/// The body is too long to be read before it is forwarded, so the client's FIN arrives behind unread bytes.
#[test]
fn long_body_of_a_client_that_disconnected_while_connecting_is_not_forwarded() {
    let listener = UnreachableListener::bind();
    let gateway = gateway_in_front_of_unreachable(&listener);
    let mut disconnecting = gateway.connect();
    let long_body = "x".repeat(150 << 10);
    disconnecting.write(&with_client_timeout(&keyed_request(&long_body), 20_000));
    let disconnected_at = Instant::now();
    disconnecting.shutdown_write();
    // A rejection or a closed connection shows that the request has ended before any server is reachable.
    assert!(disconnecting.response().is_none_or(|response| response.status() == 429));
    let detection_time = disconnected_at.elapsed();
    assert!(detection_time < Duration::from_secs(10), "disconnect detected after {detection_time:?}");
    let (response, server) = serve_connected_client(&gateway, listener);
    assert_eq!(response.status(), 200);
    assert!(server.next_request_on_any_connection().body == b"connected", "the long body was forwarded");
    assert_eq!(server.unread_requests().len(), 0);
}

/// Starts a gateway in front of one unreachable endpoint, for which a keyed request waits up to 20 s.
fn gateway_in_front_of_unreachable(listener: &UnreachableListener) -> GatewayProcess {
    let deployment = Deployment::with_endpoint(listener.address()).unlimited_connect_timeout();
    deployment.set(&format!("/settings/classes/{KEYED}/deadlineUs"), 20_000_000).start()
}

/// Sends a keyed request, makes the endpoint reachable, and returns the response and the endpoint's server.
fn serve_connected_client(gateway: &GatewayProcess, listener: UnreachableListener) -> (Message, Server) {
    let mut connected = gateway.connect();
    connected.write(&with_client_timeout(&keyed_request("connected"), 20_000));
    gateway.wait_until_input_read();
    let server = Server::start_on(listener.make_reachable(), |_| Reply::ok("done"));
    (connected.expect_response(), server)
}

/// After the client has disconnected, the attempt fails in one of the two ways that allow a retry.
#[test]
fn failed_attempt_is_not_retried_after_the_client_disconnected() {
    for failure in ["503 Full\r\nX-Rejected: 1", "500 Error"] {
        let (gate, waiter) = Gate::new();
        let server = Server::start(move |n| {
            if n > 0 {
                return Reply::ok("done");
            }
            waiter.wait();
            Reply::empty(failure)
        });
        let endpoints = ["s-1", "s-2"].map(|name| Endpoint::ready(name, server.address));
        let gateway = Deployment::new(endpoints.to_vec()).start();
        let mut disconnecting = gateway.connect();
        disconnecting.write(&idempotent_request());
        server.next_request();
        disconnecting.shutdown_write();
        assert!(disconnecting.response().is_some_and(|response| response.status() >= 400));
        gate.release_one();
        // The next requests at the server are those of a client that connects later.
        let mut connected = gateway.connect();
        for _ in 0..3 {
            assert_eq!(connected.call(&non_idempotent_request("connected")).status(), 200);
            assert_eq!(server.next_request_on_any_connection().body, b"connected");
        }
    }
}

/// A client that closes the sending half of its connection counts as disconnected, but still gets a response.
#[test]
fn half_closed_client_receives_the_outcome_of_its_request() {
    let listener = UnreachableListener::bind();
    let unresponsive = Server::unresponsive();
    for (address, status) in [(listener.address(), 429), (unresponsive.address, 502)] {
        let gateway = Deployment::with_endpoint(address).unlimited_connect_timeout().start();
        let mut client = gateway.connect();
        client.write(&non_idempotent_request("x"));
        if status == 502 {
            unresponsive.next_request();
        }
        client.shutdown_write();
        assert_eq!(client.expect_response().status(), status);
        assert!(client.response().is_none());
    }
}

/// The requests fill the system's buffers at both ends, and the client's end is behind all of them.
#[test]
fn requests_of_a_client_that_closed_with_much_still_unread_are_not_forwarded() {
    let server = Server::healthy();
    let gateway = gateway_with_unlimited_deadline(&server);
    gateway.pause();
    let closing: Vec<thread::JoinHandle<()>> = (0..CLOSING_CLIENTS)
        .map(|_| {
            let mut client = gateway.connect();
            let requests: String = (0..UNREAD_REQUESTS).map(|_| request_for("/disconnecting")).collect();
            thread::spawn(move || {
                client.try_write_bytes(requests.as_bytes());
            })
        })
        .collect();
    closing.into_iter().for_each(|client| client.join().unwrap());
    gateway.resume();
    assert_only_connected_client_is_served(&gateway, &server);
}

/// The client's end is behind the rest of its body, which the gateway reads only as a server takes it.
#[test]
fn long_body_of_a_client_that_closed_with_much_still_unread_does_not_come_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let gateway = Deployment::with_endpoint(listener.local_addr().unwrap()).start();
    for framing in [format!("Content-Length: {LONG_BODY_BYTES}"), "Transfer-Encoding: chunked".to_owned()] {
        gateway.pause();
        let mut client = gateway.connect();
        let request = with_client_timeout(&non_idempotent_request(""), 1_900);
        client.write(&with_framing(&request, &framing));
        let body = vec![b'x'; LONG_BODY_BYTES];
        let is_chunked = framing.ends_with("chunked");
        client.write_bytes(&if is_chunked {
            [encode_chunk(&body), b"0\r\n\r\n".to_vec()].concat()
        } else {
            body
        });
        drop(client);
        gateway.resume();
        let mut server = accept(&listener);
        read_head(&mut server);
        let mut received = Vec::new();
        let _ = server.read_to_end(&mut received);
        let is_whole =
            if is_chunked { received.ends_with(b"0\r\n\r\n") } else { received.len() == LONG_BODY_BYTES };
        assert!(!is_whole, "{framing}: the body came whole to a server after its client had closed");
    }
}

/// The server answers only after the client has left, and the client comes again with the id of its request.
#[test]
fn id_that_may_have_run_is_not_forwarded_again_when_its_client_returns() {
    let (gate, waiter) = Gate::new();
    let server = Server::start(move |_| {
        waiter.wait();
        Reply::ok("done")
    });
    let gateway = GatewayProcess::in_front_of(&server);
    for request in [non_idempotent_request("x"), keyed_request("x")] {
        let mut leaving = gateway.connect();
        leaving.write(&request);
        server.next_request();
        drop(leaving);
        gateway.wait_until_input_read();
        assert_eq!(gateway.connect().call(&request).status(), 409, "the attempt is in flight");
        gate.release_one();
        let (other, mut waiting) = (non_idempotent_request("x"), gateway.connect());
        waiting.write(&other);
        server.next_request_on_any_connection();
        gate.release_one();
        assert_eq!(waiting.expect_response().status(), 200);
        assert_eq!(gateway.connect().call(&request).status(), 409, "the attempt has ended");
        assert_eq!(unread_request_lines(&server), Vec::<String>::new());
    }
}

/// The client has left after its answer was written, and has not read it.
#[test]
fn id_that_was_served_is_not_forwarded_again() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let request = non_idempotent_request("x");
    assert_eq!(gateway.connect().call(&request).status(), 200);
    assert_eq!(gateway.connect().call(&request).status(), 409);
    assert_eq!(server.unread_requests().len(), 1);
}

/// The client comes again after its time, as does one whose request waited before it was read.
#[test]
fn id_that_was_served_is_not_forwarded_again_after_its_time() {
    let server = Server::healthy();
    let deployment = Deployment::with_server(&server).all_deadlines_us(SHORT_DEADLINE_MS * 1_000);
    let gateway = deployment.start();
    let short = |request: String| with_client_timeout(&request, SHORT_DEADLINE_MS);
    let request = short(non_idempotent_request("x"));
    assert_eq!(gateway.connect().call(&request).status(), 200);
    let served_at = Instant::now();
    while served_at.elapsed() < 3 * Duration::from_millis(SHORT_DEADLINE_MS) {
        gateway.connect().call(&short(idempotent_request()));
    }
    assert_eq!(gateway.connect().call(&request).status(), 409);
}

/// A request that a server has proved not to have run may come again.
#[test]
fn id_that_has_not_run_is_accepted_again() {
    let server = Server::start(|number| match number {
        0 => Reply::empty("503 Full\r\nX-Rejected: 1"),
        _ => Reply::ok("done"),
    });
    let deployment = Deployment::with_server(&server).set("/settings/limits/attemptsCap", 1);
    let gateway = deployment.start();
    let request = non_idempotent_request("x");
    assert_eq!(gateway.connect().call(&request).status(), 429);
    assert_eq!(gateway.connect().call(&request).status(), 200);
}
