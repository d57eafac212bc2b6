//! The shared counter: the calls it gets, and what follows from its replies.

use crate::rig::client::Client;
use crate::rig::deployment::Deployment;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::request::{for_customer, idempotent_request, with_client_timeout};
use crate::rig::server::{Reply, Server, ServerEvent};
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;

/// A total far above any customer's quota.
const EXHAUSTED_TOTAL: &str = "1000000000";
/// How long a request waits for the counter: as long as a test may take.
const REPLY_TIMEOUT_US: u64 = 15_000_000;

/// A request whose client waits as long as a test may take.
fn patient_request() -> String {
    with_client_timeout(&idempotent_request(), 90_000)
}

/// A gateway before one server that uses this counter.
fn deployment(server: &Server, counter: SocketAddr) -> Deployment {
    Deployment::with_server(server).unlimited_deadline().shared_counter(counter, REPLY_TIMEOUT_US)
}

/// What other gateways admitted for a customer counts against its quota here, too.
#[test]
fn request_is_rejected_when_the_shared_total_exceeds_the_quota() {
    let server = Server::healthy();
    let counter = Server::start(|n| Reply::ok(if n == 0 { "2" } else { EXHAUSTED_TOTAL }));
    let gateway = deployment(&server, counter.address).token_bucket(0.001, 1_000_000.0).start();
    let mut client = gateway.connect();
    assert_eq!(client.call(&patient_request()).status(), 200);
    assert_eq!(counter.next_request().start_line, "POST /v2/numbers/b4d65521?delta=2&life_ms=60000 HTTP/1.1");
    assert_eq!(client.call(&patient_request()).status(), 200, "the last known total is within the quota");
    counter.next_request();
    // The new total arrives while further requests are served; the bucket alone would admit far more of them.
    let mut responses = (0..100_000).map(|_| client.call(&patient_request()));
    let rejection = responses.find(|response| response.status() != 200);
    let rejection = rejection.expect("the customer was served beyond the quota");
    assert_eq!(rejection.status(), 429);
    assert!(rejection.header("retry-after").parse::<f64>().unwrap() > 0.0);
}

/// Requests are forwarded though the counter's reply is malformed or an error.
#[test]
fn malformed_counter_reply_does_not_block_requests() {
    let malformed_replies = [
        || Reply::ok("many"),
        || Reply::ok("NaN"),
        || Reply::Response { head: "500 Error", body: EXHAUSTED_TOTAL.into() },
        || Reply::RawThenClose(""),
        || Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n1000"),
        || Reply::Raw("\0\0\r\n\r\n".to_owned()),
    ];
    for reply in malformed_replies {
        let server = Server::healthy();
        let counter = Server::start(move |n| if n == 0 { reply() } else { Reply::Hang });
        let gateway = deployment(&server, counter.address).start();
        assert_eq!(gateway.connect().call(&patient_request()).status(), 200);
        counter.next_request();
    }
    let server = Server::healthy();
    let counter = Server::start(|_| Reply::Response { head: "503 Full", body: EXHAUSTED_TOTAL.into() });
    let gateway = deployment(&server, counter.address).start();
    assert_eq!(gateway.connect().call(&patient_request()).status(), 200);
}

/// Requests are forwarded though the counter refuses connections or does not reply.
#[test]
fn unreachable_or_silent_counter_does_not_block_requests() {
    let server = Server::healthy();
    let unreachable = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let gateway = deployment(&server, unreachable).start();
    assert_eq!(gateway.connect().call(&patient_request()).status(), 200);
    let silent = Server::unresponsive();
    let gateway = deployment(&server, silent.address).shared_counter(silent.address, 80_000).start();
    assert_eq!(gateway.connect().call(&patient_request()).status(), 200);
    silent.next_request();
    silent.expect_connection_closed();
}

/// After a reload calls go to the configured counter, and all connections to the previous one are closed.
#[test]
fn configuration_reload_moves_calls_to_the_new_counter() {
    let server = Server::healthy();
    let old = Server::start(|_| Reply::empty("503 Full"));
    let new = Server::start(|_| Reply::empty("503 Full"));
    let deployment = deployment(&server, old.address);
    let gateway = deployment.start();
    assert_eq!(gateway.connect().call(&patient_request()).status(), 200);
    old.next_request();
    gateway.reload_with(&deployment.shared_counter(new.address, REPLY_TIMEOUT_US).config_text());
    gateway.wait_for_log("counter_changed=true");
    while let ServerEvent::Request(_) = old.next_event() {}
    let other_customer = for_customer(&patient_request(), 7);
    assert_eq!(gateway.connect().call(&other_customer).status(), 200);
    while !new.next_request().start_line.contains("/numbers/7?") {}
    assert!(old.unread_events().is_empty(), "the old counter was called again");
}

/// The counter resets a gateway's connections beyond 32: requests of many customers that wait for a silent counter open
/// fewer, also when a reload moves the counter meanwhile.
#[test]
fn connections_to_a_silent_counter_stay_bounded() {
    let server = Server::healthy();
    let counter = Server::unresponsive();
    let moved = Server::unresponsive();
    let deployment = deployment(&server, counter.address);
    let gateway = deployment.start();
    let _waiting = send_for_customers(&gateway, 1..60);
    counter.next_request();
    gateway.reload_with(&deployment.shared_counter(moved.address, REPLY_TIMEOUT_US).config_text());
    gateway.wait_for_log("counter_changed=true");
    let _more = send_for_customers(&gateway, 60..120);
    let connections = [counter.connection_count(), moved.connection_count()];
    assert!(connections.iter().sum::<usize>() <= 32, "{connections:?}");
}

/// Sends a request of each customer on a connection of its own, and waits until the gateway has read them.
fn send_for_customers(gateway: &GatewayProcess, customers: Range<u64>) -> Vec<Client> {
    let sent = customers.map(|customer| {
        let mut client = gateway.connect();
        client.write(&for_customer(&patient_request(), customer));
        client
    });
    let clients = sent.collect();
    gateway.wait_until_input_read();
    clients
}
