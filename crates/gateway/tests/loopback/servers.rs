//! Attempts at servers: how they end, what follows, and how their connections are used.

use crate::rig::deployment::{Deployment, KEYED};
use crate::rig::endpoint::{Endpoint, REMOTE_ZONE};
use crate::rig::gate::Gate;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::request::{idempotent_request, keyed_request, non_idempotent_request, with_client_timeout};
use crate::rig::server::{Reply, Server};
use crate::rig::unreachable::UnreachableListener;
use std::time::Duration;

/// A rejection marked as such proves that nothing ran, so that even a keyed request may leave its deduplication scope.
#[test]
fn rejected_attempt_is_retried_in_another_zone() {
    let full = Server::start(|_| Reply::empty("503 Full\r\nX-Rejected: 1"));
    let other = Server::healthy();
    let gateway = Deployment::with_two_zones(full.address, other.address).start();
    let mut client = gateway.connect();
    assert_eq!(client.call(&keyed_request("x")).status(), 200);
    assert_eq!(full.next_request().body, b"x");
    assert_eq!(other.next_request().body, b"x");
}

/// A 503 without the rejection mark may have run, and the client must not be told otherwise.
#[test]
fn keyed_request_that_may_have_run_is_not_retried_outside_its_deduplication_scope() {
    for reply in [
        || Reply::empty("503 Unavailable"),
        || Reply::empty("500 Error"),
        || Reply::RawThenClose(""),
        || Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
    ] {
        let first = Server::start(move |_| reply());
        let other = Server::healthy();
        let gateway = Deployment::with_two_zones(first.address, other.address).start();
        let mut client = gateway.connect();
        let response = client.call(&keyed_request("x"));
        assert_eq!(response.status(), 502);
        first.next_request();
        assert!(other.unread_events().is_empty(), "another zone saw a request that may have run");
    }
}

/// An attempt whose response ends early has failed; an idempotent request is retried.
#[test]
fn truncated_response_is_retried_and_never_returned() {
    let breaks = Server::start(|_| Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"));
    let other = Server::healthy();
    let gateway = Deployment::with_two_zones(breaks.address, other.address).start();
    let response = gateway.connect().call(&idempotent_request());
    assert_eq!((response.status(), response.body), (200, b"done".to_vec()));
    breaks.next_request();
    assert_eq!(other.next_request().start_line, "GET /api?claim=7 HTTP/1.1");
}

/// The connection to a silent server is closed when the client's time is over, and the client gets its response in time.
#[test]
fn abandoned_attempt_closes_its_connection() {
    let server = Server::unresponsive();
    let gateway = GatewayProcess::in_front_of(&server);
    let mut client = gateway.connect();
    let response = client.call(&with_client_timeout(&keyed_request("x"), 200));
    assert_eq!(response.status(), 502, "a keyed request that may have run is not rejected");
    server.next_request();
    server.expect_connection_closed();
    client.write(&with_client_timeout(&idempotent_request(), 200));
    assert_eq!(client.expect_response().status(), 429);
}

/// The server closes each connection after a response without having announced it.
#[test]
fn connection_closed_by_its_server_is_not_reused() {
    let server = Server::start(|_| Reply::ResponseThenClose);
    let gateway = GatewayProcess::in_front_of(&server);
    let mut client = gateway.connect();
    let mut served = 0;
    for _ in 0..20 {
        served += usize::from(client.call(&keyed_request("x")).status() == 200);
        server.next_request();
    }
    // Whether the close is seen before the next request is a race, so that some requests may fail.
    assert!(served >= 1 && server.unread_events().is_empty());
    assert!(server.connection_count() > 1);
}

/// The gateway closes an idle connection before the server does, so that no request crosses the server's close.
#[test]
fn idle_server_connection_is_closed_by_the_gateway() {
    let server = Server::healthy();
    let gateway = Deployment::with_server(&server).set("/settings/limits/connIdleUs", 1_000_000).start();
    assert_eq!(gateway.connect().call(&idempotent_request()).status(), 200);
    server.next_request();
    server.expect_connection_closed();
    assert_eq!(gateway.connect().call(&idempotent_request()).status(), 200);
    server.next_request();
}

/// An attempt that still waits for its connection is not sent to an endpoint that is draining by then.
#[test]
fn connecting_attempt_moves_when_its_endpoint_starts_draining() {
    let listener = UnreachableListener::bind();
    let server = Server::healthy();
    let deployment = Deployment::with_endpoint(listener.address()).unlimited_connect_timeout();
    let gateway = deployment.start();
    let mut client = gateway.connect();
    client.write(&keyed_request("x"));
    gateway.wait_until_input_read();
    deployment.agent.publish(vec![
        Endpoint::draining("s-1", listener.address()),
        Endpoint::ready("s-2", server.address).in_zone(REMOTE_ZONE),
    ]);
    assert_eq!(client.expect_response().status(), 200);
    server.next_request();
}

/// A connect timeout proves that nothing ran, so that even a keyed request may leave its deduplication scope.
#[test]
fn connect_timeout_is_retried_at_another_endpoint() {
    let listener = UnreachableListener::bind();
    let server = Server::healthy();
    let gateway = Deployment::with_two_zones(listener.address(), server.address).start();
    assert_eq!(gateway.connect().call(&keyed_request("x")).status(), 200);
    server.next_request();
}

/// The client's time is over before a connection comes up, so that the response may say that nothing ran.
#[test]
fn keyed_request_never_written_gets_429_instead_of_502() {
    let listener = UnreachableListener::bind();
    let gateway = Deployment::with_endpoint(listener.address()).unlimited_connect_timeout().start();
    let response = gateway.connect().call(&with_client_timeout(&keyed_request("x"), 200));
    assert_eq!(response.status(), 429);
}

/// A keyed retry whose connection comes up only after the deduplication window would run twice.
#[test]
fn retry_is_abandoned_when_the_deduplication_window_ends_while_connecting() {
    let listener = UnreachableListener::bind();
    let (gate, waiter) = Gate::new();
    let server = Server::start(move |_| {
        waiter.wait();
        Reply::empty("500 Error")
    });
    let deployment =
        Deployment::with_server(&server).unlimited_connect_timeout().deadline_us(KEYED, 120_000_000);
    let gateway = deployment.start();
    let mut client = gateway.connect();
    client.write(&with_client_timeout(&keyed_request("x"), 120_000));
    server.next_request();
    deployment.agent.publish(vec![Endpoint::ready("s-2", listener.address())]);
    gate.release_one();
    // The window is 1.5 s and the client's time two minutes: the response comes when the window is over.
    assert_eq!(client.expect_response().status(), 502);
}

/// A server that sends more than one response for a request cannot shift those of later requests.
#[test]
fn bytes_after_a_response_are_not_taken_for_the_next_response() {
    let server = Server::start(|n| {
        let response = numbered_response(n);
        Reply::Raw(match n % 3 {
            0 => format!("{response}{response}"),
            1 => format!("{response}noise\r\n\r\n"),
            _ => response,
        })
    });
    assert_responses_are_in_order(&server, 30);
}

/// A response with the number of its request as its body.
fn numbered_response(number: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nn{number:03}")
}

/// Asserts that each of a number of requests on one connection gets the response with its number.
fn assert_responses_are_in_order(server: &Server, requests: usize) {
    let gateway = GatewayProcess::in_front_of(server);
    let mut client = gateway.connect();
    for number in 0..requests {
        let response = client.call(&idempotent_request());
        assert_eq!(response.body, format!("n{number:03}").into_bytes());
    }
}

/// The server sends its response a second time some milliseconds later.
#[test]
fn late_duplicate_response_is_not_taken_for_the_next_response() {
    let server = Server::start(|n| {
        let response = numbered_response(n);
        if n % 2 == 0 {
            Reply::RawTwice { text: response, delay: Duration::from_millis(5) }
        } else {
            Reply::Raw(response)
        }
    });
    assert_responses_are_in_order(&server, 20);
}

/// A response that cannot be relied on is retried for an idempotent request.
#[test]
fn malformed_response_is_a_failed_attempt() {
    let malformed = [
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nx",
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        "\u{1}\u{2}noise\r\n\r\n",
    ];
    for text in malformed {
        let bad = Server::start(move |_| Reply::Raw(text.to_owned()));
        let other = Server::healthy();
        let gateway = Deployment::with_two_zones(bad.address, other.address).start();
        let response = gateway.connect().call(&idempotent_request());
        assert_eq!((response.status(), response.body), (200, b"done".to_vec()), "{text}");
        bad.next_request();
        bad.expect_connection_closed();
    }
}

/// Without a length and without `Connection: close` a response that ends with its connection may be truncated.
#[test]
fn response_without_length_is_retried_unless_it_announces_the_close() {
    let unannounced = Server::start(|_| Reply::RawThenClose("HTTP/1.1 200 OK\r\n\r\nhalf"));
    let other = Server::healthy();
    let gateway = Deployment::with_two_zones(unannounced.address, other.address).start();
    assert_eq!(gateway.connect().call(&idempotent_request()).body, b"done");
    let announced =
        Server::start(|_| Reply::RawThenClose("HTTP/1.1 200 OK\r\nConnection: x, Close\r\n\r\nwhole"));
    let gateway = GatewayProcess::in_front_of(&announced);
    for _ in 0..2 {
        let response = gateway.connect().call(&non_idempotent_request("once"));
        assert_eq!((response.status(), response.body.as_slice()), (200, &b"whole"[..]));
        announced.next_request();
    }
    assert!(announced.unread_events().is_empty());
}

/// An informational response ahead of the final one is skipped.
#[test]
fn early_hints_are_not_taken_for_the_response() {
    let hints = Server::start(|_| {
        let early_hints = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
        Reply::Raw(format!("{early_hints}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"))
    });
    let gateway = GatewayProcess::in_front_of(&hints);
    assert_eq!(gateway.connect().call(&idempotent_request()).body, b"whole");
}

/// An idempotent request is retried before its client's time is over, and the silent attempt's connection is closed.
#[test]
fn silent_server_attempt_is_abandoned_in_time_for_a_retry() {
    let silent = Server::unresponsive();
    let other = Server::healthy();
    let gateway = Deployment::with_two_zones(silent.address, other.address).start();
    assert_eq!(gateway.connect().call(&idempotent_request()).status(), 200);
    silent.next_request();
    silent.expect_connection_closed();
    other.next_request();
    // A keyed request stays in its deduplication scope, which has no other server.
    let gateway = Deployment::with_two_zones(silent.address, other.address).start();
    assert_eq!(gateway.connect().call(&keyed_request("x")).status(), 502);
    assert!(other.unread_events().is_empty());
}

/// A charge that no request can have leaves the estimate in force, and the response reaches its client.
#[test]
fn implausible_charge_is_ignored_and_the_estimate_kept() {
    for charge in ["21", "1e300", "-4", "inf", "NaN", "many"] {
        let server = Server::start(move |_| Reply::Response {
            head: ["200 OK\r\nApi-Charge: ", charge].concat().leak(),
            body: b"done".to_vec(),
        });
        let gateway = gateway_that_settles_charges(&server);
        let mut client = gateway.connect();
        for _ in 0..2 {
            let response = client.call(&idempotent_request());
            assert_eq!((response.status(), response.body.as_slice()), (200, &b"done"[..]), "{charge}");
        }
        assert_eq!(client.call(&idempotent_request()).status(), 429, "{charge}");
    }
}

/// A gateway before one server whose customers have four units in all, settled by the charge in the response.
fn gateway_that_settles_charges(server: &Server) -> GatewayProcess {
    Deployment::with_server(server).set("/settings/familyInfo/truedUp", true).token_bucket(0.001, 4.0).start()
}

/// A request estimated at one unit and charged four empties a bucket of four.
#[test]
fn charge_in_the_response_replaces_the_estimated_units() {
    let server =
        Server::start(|_| Reply::Response { head: "200 OK\r\nApi-Charge: 4", body: b"done".to_vec() });
    let gateway = gateway_that_settles_charges(&server);
    let mut client = gateway.connect();
    let request = || idempotent_request().replace("units=2", "units=1");
    assert_eq!(client.call(&request()).status(), 200);
    assert_eq!(client.call(&request()).status(), 429);
    server.next_request();
    assert!(server.unread_events().is_empty(), "a request beyond the quota was forwarded");
}

/// The forwarded timeout is taken as the request is written, also when its connection has been idle.
#[test]
fn forwarded_client_timeout_never_exceeds_the_time_left() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let mut client = gateway.connect();
    let mut shortest_forwarded = u64::MAX;
    for _ in 0..20 {
        assert_eq!(client.call(&idempotent_request()).status(), 200);
        server.next_request_on_any_connection();
        // The gateway uses the connection of the previous response again only after 20 ms.
        client.call(&with_client_timeout(&idempotent_request(), 100));
        let forwarded = server.next_request_on_any_connection().client_timeout_ms().unwrap();
        assert!(forwarded <= 100);
        shortest_forwarded = shortest_forwarded.min(forwarded);
    }
    assert!(
        shortest_forwarded <= 85,
        "at least {shortest_forwarded} ms of 100 were forwarded after an idle time"
    );
}
