//! Attempts at servers: their outcomes, retries, and the reuse of server connections.

use crate::rig::deployment::{Deployment, KEYED};
use crate::rig::endpoint::{Endpoint, REMOTE_ZONE};
use crate::rig::gate::Gate;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::request::{idempotent_request, keyed_request, non_idempotent_request, with_client_timeout};
use crate::rig::server::{Reply, Server};
use crate::rig::unreachable::UnreachableListener;
use std::time::Duration;

/// The rejection mark `X-Rejected` proves that the request did not run, so even a keyed request may be
/// retried outside its deduplication scope.
#[test]
fn rejected_attempt_is_retried_in_another_zone() {
    let rejecting = Server::start(|_| Reply::empty("503 Full\r\nX-Rejected: 1"));
    let other = Server::healthy();
    let gateway = Deployment::with_two_zones(rejecting.address, other.address).start();
    let mut client = gateway.connect();
    assert_eq!(client.call(&keyed_request("x")).status(), 200);
    assert_eq!(rejecting.next_request().body, b"x");
    assert_eq!(other.next_request().body, b"x");
}

/// A request that got a 503 without the rejection mark may have run, and the response must not deny that.
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

/// Guards against zones that are taken for one: the settings list neither of the two, and a request that may have run
/// in one of them must not run in the other.
#[test]
fn keyed_request_is_not_retried_between_zones_that_the_settings_do_not_list() {
    let first = Server::start(|_| Reply::RawThenClose(""));
    let other = Server::start(|_| Reply::RawThenClose(""));
    let endpoints = [("s-1", &first, "room-x"), ("s-2", &other, "room-y")]
        .map(|(name, server, zone)| Endpoint::ready(name, server.address).in_zone(zone));
    let gateway = Deployment::new(endpoints.to_vec()).start();
    assert_eq!(gateway.connect().call(&keyed_request("x")).status(), 502);
    let ran_at = [&first, &other].map(|server| !server.unread_requests().is_empty());
    assert_ne!(ran_at, [true, true], "the request ran in both zones");
}

/// An attempt whose response is truncated has failed, and an idempotent request is retried.
#[test]
fn truncated_response_is_retried_and_never_returned() {
    let truncating =
        Server::start(|_| Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"));
    let other = Server::healthy();
    let gateway = Deployment::with_two_zones(truncating.address, other.address).start();
    let response = gateway.connect().call(&idempotent_request());
    assert_eq!((response.status(), response.body), (200, b"done".to_vec()));
    truncating.next_request();
    assert_eq!(other.next_request().start_line, "GET /api?claim=7 HTTP/1.1");
}

/// The connection to an unresponsive server is closed when the client timeout expires. The client gets its
/// response in time.
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

/// The server closes each connection after one response, without announcing the close.
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
    // It is a race whether the gateway sees the close before the next request, so some requests may fail.
    assert!(served >= 1 && server.unread_events().is_empty());
    assert!(server.connection_count() > 1);
}

/// The gateway closes an idle connection before the server does: a request could cross the server's close.
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

/// An attempt that is still connecting is not sent to an endpoint that starts draining meanwhile.
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

/// A connect timeout proves that the request did not run, so even a keyed request may be retried outside its
/// deduplication scope.
#[test]
fn connect_timeout_is_retried_at_another_endpoint() {
    let listener = UnreachableListener::bind();
    let server = Server::healthy();
    let gateway = Deployment::with_two_zones(listener.address(), server.address).start();
    assert_eq!(gateway.connect().call(&keyed_request("x")).status(), 200);
    server.next_request();
}

/// The client timeout expires before a connection is established, so the response may claim that nothing ran.
#[test]
fn keyed_request_never_written_gets_429_instead_of_502() {
    let listener = UnreachableListener::bind();
    let gateway = Deployment::with_endpoint(listener.address()).unlimited_connect_timeout().start();
    let response = gateway.connect().call(&with_client_timeout(&keyed_request("x"), 200));
    assert_eq!(response.status(), 429);
}

/// A keyed retry whose connection is established only after the deduplication window could run a second time.
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
    // The window is 1.5 s and the client timeout two minutes: the response follows the end of the window.
    assert_eq!(client.expect_response().status(), 502);
}

/// Surplus bytes or responses from a server do not shift the responses of later requests.
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

/// Returns a response whose body is the number of its request.
fn numbered_response(number: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nn{number:03}")
}

/// Asserts that each request on one client connection gets the response with its number.
fn assert_responses_are_in_order(server: &Server, requests: usize) {
    let gateway = GatewayProcess::in_front_of(server);
    let mut client = gateway.connect();
    for number in 0..requests {
        let response = client.call(&idempotent_request());
        assert_eq!(response.body, format!("n{number:03}").into_bytes());
    }
}

/// The server sends its response again after some milliseconds.
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

/// An attempt with a malformed response has failed, and an idempotent request is retried.
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
        let invalid = Server::start(move |_| Reply::Raw(text.to_owned()));
        let other = Server::healthy();
        let gateway = Deployment::with_two_zones(invalid.address, other.address).start();
        let response = gateway.connect().call(&idempotent_request());
        assert_eq!((response.status(), response.body), (200, b"done".to_vec()), "{text}");
        invalid.next_request();
        invalid.expect_connection_closed();
    }
}

/// A response that ends with its connection, but does not announce that with `Connection: close`, may be
/// truncated.
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

/// An informational response before the final one is skipped.
#[test]
fn early_hints_are_not_taken_for_the_response() {
    let server = Server::start(|_| {
        let early_hints = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
        Reply::Raw(format!("{early_hints}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"))
    });
    let gateway = GatewayProcess::in_front_of(&server);
    assert_eq!(gateway.connect().call(&idempotent_request()).body, b"whole");
}

/// An idempotent request is retried before its client timeout expires. The connection of the unanswered
/// attempt is closed.
#[test]
fn attempt_at_an_unresponsive_server_is_abandoned_in_time_for_a_retry() {
    let unresponsive = Server::unresponsive();
    let other = Server::healthy();
    let gateway = Deployment::with_two_zones(unresponsive.address, other.address).start();
    assert_eq!(gateway.connect().call(&idempotent_request()).status(), 200);
    unresponsive.next_request();
    unresponsive.expect_connection_closed();
    other.next_request();
    // A keyed request may not leave its deduplication scope, which has no other server.
    let gateway = Deployment::with_two_zones(unresponsive.address, other.address).start();
    assert_eq!(gateway.connect().call(&keyed_request("x")).status(), 502);
    assert!(other.unread_events().is_empty());
}

/// A charge that no request can incur leaves the estimated units charged. The response is returned.
#[test]
fn implausible_charge_is_ignored_and_the_estimate_kept() {
    for charge in ["21", "1e300", "-4", "inf", "NaN", "many"] {
        let server = Server::start(move |_| Reply::Response {
            head: ["200 OK\r\nApi-Charge: ", charge].concat().leak(),
            body: b"done".to_vec(),
        });
        let gateway = gateway_with_settlement(&server);
        let mut client = gateway.connect();
        for _ in 0..2 {
            let response = client.call(&idempotent_request());
            assert_eq!((response.status(), response.body.as_slice()), (200, &b"done"[..]), "{charge}");
        }
        assert_eq!(client.call(&idempotent_request()).status(), 429, "{charge}");
    }
}

/// Starts a gateway in front of one server, with a quota of four units that hardly refills. The charge in a
/// response replaces the estimated units.
fn gateway_with_settlement(server: &Server) -> GatewayProcess {
    Deployment::with_server(server).set("/settings/familyInfo/truedUp", true).token_bucket(0.001, 4.0).start()
}

/// A request estimated at one unit and charged four empties a token bucket of four.
#[test]
fn charge_in_the_response_replaces_the_estimated_units() {
    let server =
        Server::start(|_| Reply::Response { head: "200 OK\r\nApi-Charge: 4", body: b"done".to_vec() });
    let gateway = gateway_with_settlement(&server);
    let mut client = gateway.connect();
    let request = || idempotent_request().replace("units=2", "units=1");
    assert_eq!(client.call(&request()).status(), 200);
    assert_eq!(client.call(&request()).status(), 429);
    server.next_request();
    assert!(server.unread_events().is_empty(), "a request beyond the quota was forwarded");
}

/// The forwarded timeout is computed when the request is written, even on a connection that has been idle.
#[test]
fn forwarded_client_timeout_never_exceeds_the_time_left() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let mut client = gateway.connect();
    let mut shortest_forwarded = u64::MAX;
    for _ in 0..20 {
        assert_eq!(client.call(&idempotent_request()).status(), 200);
        server.next_request_on_any_connection();
        // The gateway reuses the connection of the previous response only after 20 ms.
        client.call(&with_client_timeout(&idempotent_request(), 100));
        let forwarded = server.next_request_on_any_connection().client_timeout_ms().unwrap();
        assert!(forwarded <= 100);
        shortest_forwarded = shortest_forwarded.min(forwarded);
    }
    assert!(
        shortest_forwarded <= 85,
        "the shortest timeout forwarded after an idle time was {shortest_forwarded} ms of 100 ms"
    );
}
