//! Clients that disconnect before their request is forwarded: no part of it may reach a server.
//!
//! In several tests the gateway is paused while its clients disconnect, so that it finds their requests, the ends of their
//! connections and whatever else has happened meanwhile all at once, as a gateway short of processor time does.

use crate::rig::client::Client;
use crate::rig::deployment::{Deployment, KEYED};
use crate::rig::endpoint::Endpoint;
use crate::rig::gate::Gate;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::message::{read_head, Message};
use crate::rig::request::{
    for_customer, idempotent_request, keyed_request, non_idempotent_request, with_client_timeout,
    HEALTH_CHECK,
};
use crate::rig::server::{Reply, Server};
use crate::rig::unreachable::UnreachableListener;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Clients that disconnect in a test.
const DEPARTURES: usize = 40;
/// How often a test runs whose outcome depends on the order of two events.
const REPETITIONS: usize = 10;
/// Requests of a client that stays, sent after those of the clients that disconnected.
const LATER_REQUESTS: usize = 5;

/// A request for a path whose client waits longer than a test takes.
fn request_for(path: &str) -> String {
    with_client_timeout(&idempotent_request().replace("/api?claim=7", path), 20_000)
}

/// A gateway before one server whose idempotent requests may take as long as a test does.
fn patient_gateway(server: &Server) -> GatewayProcess {
    Deployment::with_server(server).unlimited_deadline().start()
}

/// Asserts that a client that stays is served, and that the server has received its requests alone.
fn assert_only_staying_client_is_served(gateway: &GatewayProcess, server: &Server) {
    let mut client = gateway.connect();
    for _ in 0..LATER_REQUESTS {
        let response = client.call(&request_for("/stays"));
        assert_eq!(response.status(), 200, "{response:?}");
    }
    assert_eq!(unread_request_lines(server), vec!["GET /stays HTTP/1.1"; LATER_REQUESTS]);
}

/// The request lines of the requests that a server has received and no test has read yet.
fn unread_request_lines(server: &Server) -> Vec<String> {
    server.unread_requests().into_iter().map(|request| request.start_line).collect()
}

/// The connection waited in the listen queue with the request and the client's end.
#[test]
fn request_of_a_client_that_disconnected_before_accept_is_not_forwarded() {
    let server = Server::healthy();
    let gateway = patient_gateway(&server);
    gateway.pause();
    let mut half_closed = Vec::new();
    for departure in 0..DEPARTURES {
        let mut client = gateway.connect();
        client.write(&request_for("/leaves"));
        if departure % 2 == 0 {
            client.shutdown_write();
            half_closed.push(client);
        }
    }
    gateway.wait_for_half_closed_connections(DEPARTURES);
    gateway.resume();
    assert_only_staying_client_is_served(&gateway, &server);
    // Clients that closed only their sending half learn that the request was not forwarded.
    for mut client in half_closed {
        assert_eq!(client.response().map_or(0, |response| response.status()), 429);
    }
}

/// On a connection that was used before, the request and the client's end arrive together.
#[test]
fn request_of_a_client_that_disconnected_before_it_was_read_is_not_forwarded() {
    let server = Server::healthy();
    let gateway = patient_gateway(&server);
    let mut clients: Vec<Client> = (0..DEPARTURES).map(|_| gateway.connect()).collect();
    for client in &mut clients {
        assert_eq!(client.call(HEALTH_CHECK).status(), 200);
    }
    gateway.pause();
    for mut client in clients {
        client.write(&request_for("/leaves"));
    }
    gateway.wait_for_half_closed_connections(DEPARTURES);
    gateway.resume();
    assert_only_staying_client_is_served(&gateway, &server);
}

/// Replies as the shared counter with a total within the quota.
fn reply_with_total(counter: &mut TcpStream) {
    counter.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2").unwrap();
}

/// The request waits for the shared counter, whose reply arrives together with the client's end.
#[test]
fn request_of_a_client_that_disconnected_while_awaiting_the_counter_is_not_forwarded() {
    let server = Server::healthy();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let counter_address = listener.local_addr().unwrap();
    let deployment = Deployment::with_server(&server).unlimited_deadline();
    let gateway = deployment.shared_counter(counter_address, 15_000_000).start();
    let mut client = gateway.connect();
    client.write(&request_for("/leaves"));
    let (mut counter, _) = listener.accept().unwrap();
    read_head(&mut counter);
    gateway.pause();
    reply_with_total(&mut counter);
    drop(client);
    gateway.wait_for_half_closed_connections(1);
    gateway.resume();
    let mut stays = gateway.connect();
    stays.write(&for_customer(&request_for("/stays"), 7));
    read_head(&mut counter);
    reply_with_total(&mut counter);
    assert_eq!(stays.expect_response().status(), 200);
    assert_eq!(unread_request_lines(&server), ["GET /stays HTTP/1.1"]);
}

/// The first attempt fails together with the client's end; which of the two the gateway sees first is up to the system.
#[test]
fn request_of_a_client_that_disconnected_between_attempts_is_not_retried() {
    for _ in 0..REPETITIONS {
        disconnect_between_two_attempts();
    }
}

/// Fails the first attempt of a request at the moment its client disconnects.
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
    client.write(&request_for("/leaves"));
    let (mut first, _) = listener.accept().unwrap();
    read_head(&mut first);
    deployment.agent.publish(vec![Endpoint::ready("s-2", server.address)]);
    gateway.pause();
    first.write_all(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").unwrap();
    drop((first, client, listener));
    gateway.wait_for_half_closed_connections(1);
    gateway.resume();
    assert_only_staying_client_is_served(&gateway, &server);
}

/// The attempt waits for its connection when the client disconnects, whatever else the client had sent by then.
#[test]
fn request_of_a_client_that_disconnected_while_connecting_is_not_forwarded() {
    let long_pipelined = format!("{}{}", keyed_request("next"), "x".repeat(40 << 10));
    for pipelined in ["", "POST /ap", &keyed_request("next"), &long_pipelined] {
        let listener = UnreachableListener::bind();
        let gateway = gateway_that_waits_for(&listener);
        let mut leaves = gateway.connect();
        leaves.write(&with_client_timeout(&keyed_request("left"), 20_000));
        gateway.wait_until_input_read();
        leaves.write(pipelined);
        drop(leaves);
        let (response, server) = serve_staying_client(&gateway, listener);
        assert_eq!(response.status(), 200);
        let bodies: Vec<Vec<u8>> = server.unread_requests().into_iter().map(|request| request.body).collect();
        assert_eq!(bodies, [b"stays".to_vec()], "behind {} bytes", pipelined.len());
    }
}

/// The body is too long to be read before it is forwarded: the client's end arrives behind the unread rest.
#[test]
fn long_body_of_a_client_that_disconnected_while_connecting_is_not_forwarded() {
    let listener = UnreachableListener::bind();
    let gateway = gateway_that_waits_for(&listener);
    let mut leaves = gateway.connect();
    let long_body = "x".repeat(150 << 10);
    leaves.write(&with_client_timeout(&keyed_request(&long_body), 20_000));
    let disconnected_at = Instant::now();
    leaves.shutdown_write();
    // A rejection or the end of the connection shows that the request is over before any server is reachable.
    assert!(leaves.response().is_none_or(|response| response.status() == 429));
    let noticed_after = disconnected_at.elapsed();
    assert!(noticed_after < Duration::from_secs(10), "noticed after {noticed_after:?}");
    let (response, server) = serve_staying_client(&gateway, listener);
    assert_eq!(response.status(), 200);
    assert!(server.next_request_on_any_connection().body == b"stays", "the long body was forwarded");
    assert_eq!(server.unread_requests().len(), 0);
}

/// A gateway before one endpoint that is unreachable for now; a keyed request waits for it.
fn gateway_that_waits_for(listener: &UnreachableListener) -> GatewayProcess {
    let deployment = Deployment::with_endpoint(listener.address()).unlimited_connect_timeout();
    deployment.set(&format!("/settings/classes/{KEYED}/deadlineUs"), 20_000_000).start()
}

/// Sends a keyed request, lets the endpoint become reachable, and returns the response with the endpoint's server.
fn serve_staying_client(gateway: &GatewayProcess, listener: UnreachableListener) -> (Message, Server) {
    let mut stays = gateway.connect();
    stays.write(&with_client_timeout(&keyed_request("stays"), 20_000));
    gateway.wait_until_input_read();
    let server = Server::start_on(listener.make_reachable(), |_| Reply::ok("done"));
    (stays.expect_response(), server)
}

/// The attempt fails, in either way that allows a retry, after its client has disconnected.
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
        let mut leaves = gateway.connect();
        leaves.write(&idempotent_request());
        server.next_request();
        leaves.shutdown_write();
        assert!(leaves.response().is_some_and(|response| response.status() >= 400));
        gate.release_one();
        // The server's next requests are those of a client that comes later.
        let mut stays = gateway.connect();
        for _ in 0..3 {
            assert_eq!(stays.call(&non_idempotent_request("stays")).status(), 200);
            assert_eq!(server.next_request_on_any_connection().body, b"stays");
        }
    }
}

/// A client that closes its sending half counts as disconnected, but may still read.
#[test]
fn half_closed_client_receives_the_outcome_of_its_request() {
    let listener = UnreachableListener::bind();
    let silent = Server::unresponsive();
    for (address, status) in [(listener.address(), 429), (silent.address, 502)] {
        let gateway = Deployment::with_endpoint(address).unlimited_connect_timeout().start();
        let mut client = gateway.connect();
        client.write(&non_idempotent_request("x"));
        if status == 502 {
            silent.next_request();
        }
        client.shutdown_write();
        assert_eq!(client.expect_response().status(), status);
        assert!(client.response().is_none());
    }
}
