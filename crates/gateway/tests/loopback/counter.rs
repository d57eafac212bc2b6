//! The shared counter: the calls that the gateway makes to it, and the effect of its replies on requests.

use crate::rig::client::Client;
use crate::rig::deployment::Deployment;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::request::{for_customer, idempotent_request, with_client_timeout};
use crate::rig::server::{Reply, Server, ServerEvent};
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;

/// Total far above any customer's quota.
const EXHAUSTED_TOTAL: &str = "1000000000";
/// Time that a request waits for the counter's reply: as long as a test may take.
const REPLY_TIMEOUT_US: u64 = 15_000_000;

/// Returns a request whose client timeout is as long as a test may take.
fn request_with_long_timeout() -> String {
    with_client_timeout(&idempotent_request(), 90_000)
}

/// Returns a gateway in front of one server that uses a shared counter.
fn deployment(server: &Server, counter: SocketAddr) -> Deployment {
    Deployment::with_server(server).unlimited_deadline().shared_counter(counter, REPLY_TIMEOUT_US)
}

/// Units that other gateways have admitted for a customer count against its quota at this gateway, too.
#[test]
fn request_is_rejected_when_the_shared_total_exceeds_the_quota() {
    let server = Server::healthy();
    let counter = Server::start(|n| Reply::ok(if n == 0 { "2" } else { EXHAUSTED_TOTAL }));
    let gateway = deployment(&server, counter.address).token_bucket(0.001, 1_000_000.0).start();
    let mut client = gateway.connect();
    assert_eq!(client.call(&request_with_long_timeout()).status(), 200);
    assert_eq!(counter.next_request().start_line, "POST /v2/numbers/b4d65521?delta=2&life_ms=60000 HTTP/1.1");
    assert_eq!(
        client.call(&request_with_long_timeout()).status(),
        200,
        "the last known total is within the quota"
    );
    counter.next_request();
    // The new total arrives while further requests are served. The token bucket alone would admit far more.
    let mut responses = (0..100_000).map(|_| client.call(&request_with_long_timeout()));
    let rejection = responses.find(|response| response.status() != 200);
    let rejection = rejection.expect("a rejection once the total exceeds the quota");
    assert_eq!(rejection.status(), 429);
    assert!(rejection.header("retry-after").parse::<f64>().unwrap() > 0.0);
}

/// Requests are forwarded even if the counter's reply is malformed or an error.
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
        assert_eq!(gateway.connect().call(&request_with_long_timeout()).status(), 200);
        counter.next_request();
    }
    let server = Server::healthy();
    let counter = Server::start(|_| Reply::Response { head: "503 Full", body: EXHAUSTED_TOTAL.into() });
    let gateway = deployment(&server, counter.address).start();
    assert_eq!(gateway.connect().call(&request_with_long_timeout()).status(), 200);
}

/// Requests are forwarded even if the counter refuses connections or does not reply.
#[test]
fn unreachable_or_unresponsive_counter_does_not_block_requests() {
    let server = Server::healthy();
    let unreachable = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let gateway = deployment(&server, unreachable).start();
    assert_eq!(gateway.connect().call(&request_with_long_timeout()).status(), 200);
    let unresponsive = Server::unresponsive();
    let gateway =
        deployment(&server, unresponsive.address).shared_counter(unresponsive.address, 80_000).start();
    assert_eq!(gateway.connect().call(&request_with_long_timeout()).status(), 200);
    unresponsive.next_request();
    unresponsive.expect_connection_closed();
}

/// After a reload, calls go to the configured counter, and all connections to the previous one are closed.
#[test]
fn configuration_reload_moves_calls_to_the_new_counter() {
    let server = Server::healthy();
    let previous = Server::start(|_| Reply::empty("503 Full"));
    let current = Server::start(|_| Reply::empty("503 Full"));
    let deployment = deployment(&server, previous.address);
    let gateway = deployment.start();
    assert_eq!(gateway.connect().call(&request_with_long_timeout()).status(), 200);
    previous.next_request();
    gateway.reload_with(&deployment.shared_counter(current.address, REPLY_TIMEOUT_US).config_text());
    gateway.wait_for_log("counter_changed=true");
    while let ServerEvent::Request(_) = previous.next_event() {}
    let other_customer = for_customer(&request_with_long_timeout(), 7);
    assert_eq!(gateway.connect().call(&other_customer).status(), 200);
    while !current.next_request().start_line.contains("/numbers/7?") {}
    assert!(previous.unread_events().is_empty(), "the previous counter was called again");
}

/// The counter resets connections of a gateway beyond 32. Requests of many customers that wait for an
/// unresponsive counter open no more, even if a reload changes the counter meanwhile.
#[test]
fn connections_to_an_unresponsive_counter_stay_bounded() {
    let server = Server::healthy();
    let previous = Server::unresponsive();
    let current = Server::unresponsive();
    let deployment = deployment(&server, previous.address);
    let gateway = deployment.start();
    let _waiting = send_for_customers(&gateway, 1..60);
    previous.next_request();
    gateway.reload_with(&deployment.shared_counter(current.address, REPLY_TIMEOUT_US).config_text());
    gateway.wait_for_log("counter_changed=true");
    let _more = send_for_customers(&gateway, 60..120);
    let connections = [previous.connection_count(), current.connection_count()];
    assert!(connections.iter().sum::<usize>() <= 32, "{connections:?}");
}

/// Sends one request of each customer on a separate connection, and waits until the gateway has read them.
fn send_for_customers(gateway: &GatewayProcess, customers: Range<u64>) -> Vec<Client> {
    let sent = customers.map(|customer| {
        let mut client = gateway.connect();
        client.write(&for_customer(&request_with_long_timeout(), customer));
        client
    });
    let clients = sent.collect();
    gateway.wait_until_input_read();
    clients
}
