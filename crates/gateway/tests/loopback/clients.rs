//! Client connections: validation of requests, their responses, eviction of connections, and timeouts.

use crate::rig::client::Client;
use crate::rig::deployment::{Deployment, IDEMPOTENT};
use crate::rig::gate::Gate;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::request::{
    idempotent_request, keyed_request, non_idempotent_request, with_client_timeout, with_framing,
    HEALTH_CHECK,
};
use crate::rig::server::{Reply, Server};

/// Socket limit that leaves room for 20 client connections.
const LOW_SOCKET_LIMIT: u32 = 80;

/// Starts a gateway in front of one server, with room for 20 client connections.
fn gateway_with_low_socket_limit(server: &Server) -> GatewayProcess {
    Deployment::with_server(server).configured_sockets(LOW_SOCKET_LIMIT).start()
}

/// Opens connections, sends one request on each and leaves them open.
fn idle_connections(gateway: &GatewayProcess, count: usize, request: impl Fn() -> String) -> Vec<Client> {
    let connect_and_call = |_| {
        let mut client = gateway.connect();
        assert_eq!(client.call(&request()).status(), 200);
        client
    };
    (0..count).map(connect_and_call).collect()
}

/// Several requests share one server connection. The responses have headers that the gateway itself reads.
#[test]
fn request_is_forwarded_and_its_response_returned_unchanged() {
    let body: Vec<u8> = (0..60_000u32).map(|position| position as u8).collect();
    let sent = body.clone();
    let server = Server::start(move |_| {
        let head = "200 OK\r\nX-LoadReport-Report: latency_ms=12.5,queue=1\r\nApi-Usage: 40";
        Reply::Response { head, body: sent.clone() }
    });
    let gateway = GatewayProcess::in_front_of(&server);
    let mut client = gateway.connect();
    for _ in 0..3 {
        let response = client.call(&keyed_request("hail on the upper rows"));
        assert_eq!((response.status(), response.complete), (200, true));
        assert_eq!(response.body, body);
        let seen = server.next_request();
        assert_eq!(seen.start_line, "POST /api HTTP/1.1");
        assert_eq!(seen.body, b"hail on the upper rows");
        assert_eq!((seen.header("idempotency-key"), seen.header("x-call-id").len()), ("k1", 16));
        let timeout_ms = seen.client_timeout_ms().unwrap();
        assert!((1..=1_900).contains(&timeout_ms), "client timeout {timeout_ms} ms");
    }
    assert_eq!(client.call(&idempotent_request()).status(), 200);
    assert_eq!(server.next_request().start_line, "GET /api?claim=7 HTTP/1.1");
    assert_eq!(server.connection_count(), 1);
}

/// A malformed request is answered before it reaches the decision core, whose rejections are 429 and 503.
#[test]
fn malformed_request_gets_a_4xx_other_than_429() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let replacements = [
        ("claim-status", "crop-survey"),
        ("X-Call-Class: claim-status\r\n", ""),
        ("basico", "platinum"),
        ("00000000b4d65521", "b4d65521"),
        ("00000000b4d65521", "+000000b4d655219"),
        ("00000000b4d65521", "ffffffffffffffff"),
        ("X-Budget-Ms: 1900", "X-Budget-Ms: -1"),
        ("X-Budget-Ms: 1900", "X-Budget-Ms: 99999999999999999999"),
        ("units=2", "units=NaN"),
        ("units=2", "units=-2"),
        ("units=2", "units=2.5e1"),
        ("units=2", "units=inf"),
        ("X-Budget-Ms: 1900", "X-Budget-Ms: 2001"),
        ("X-Budget-Ms: 1900", "X-Budget-Ms: 1900\r\nX-Budget-Ms: 1900"),
        ("spread=1", "spread=0"),
        ("spread=1", "spread=18446744073709551615"),
        ("first=0", "first=9"),
        ("units=2,spread=1,first=0", "two"),
        ("Api-Terms: units=2,spread=1,first=0\r\n", ""),
        ("X-Call-Id", "X-Other-Id"),
        ("GET", "POST"),
    ];
    let mut client = gateway.connect();
    for (valid, malformed) in replacements {
        let code = client.call(&idempotent_request().replacen(valid, malformed, 1)).status();
        assert!((400..500).contains(&code) && code != 429, "{valid} -> {malformed}: {code}");
    }
    // The gateway does not read the body of this request, so it could not find the start of a next one.
    let without_key = client.call(&keyed_request("x").replace("Idempotency-Key: k1\r\n", ""));
    assert_eq!((without_key.status(), without_key.header("connection")), (400, "close"));
    let mut client = gateway.connect();
    assert_eq!(client.call(&idempotent_request()).status(), 200);
    assert_eq!(server.next_request().start_line, "GET /api?claim=7 HTTP/1.1");
    assert_eq!(server.unread_events().len(), 0);
}

/// A client timeout of 0, such as that of a retry whose time has run out, is well-formed.
#[test]
fn request_with_expired_client_timeout_is_rejected_without_an_attempt() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let mut client = gateway.connect();
    let expired = client.call(&with_client_timeout(&idempotent_request(), 0));
    assert!([429, 503].contains(&expired.status()), "{}", expired.status());
    assert_eq!(client.call(&idempotent_request()).status(), 200);
    server.next_request();
    assert!(server.unread_events().is_empty(), "a request with an expired client timeout was forwarded");
}

/// Only requests of the keyed class have an idempotency key: the gateway adds none.
#[test]
fn non_idempotent_request_is_forwarded_without_an_idempotency_key() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let response = gateway.connect().call(&non_idempotent_request("pay claim 7"));
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"done"[..]));
    let seen = server.next_request();
    assert_eq!((seen.start_line.as_str(), seen.body.as_slice()), ("POST /api HTTP/1.1", &b"pay claim 7"[..]));
    assert!(!seen.headers.contains_key("idempotency-key"));
}

/// The request is rejected because of its announced length, before any of its body is sent.
#[test]
fn request_body_over_the_limit_gets_413() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let long = with_framing(&keyed_request(""), "Content-Length: 33554433");
    assert_eq!(gateway.connect().call(&long).status(), 413);
    assert!(server.unread_events().is_empty());
}

/// At the connection limit, a new connection evicts the one that has been idle longest.
#[test]
fn connection_idle_longest_is_evicted_when_sockets_run_out() {
    let server = Server::healthy();
    let gateway = gateway_with_low_socket_limit(&server);
    let mut idle = idle_connections(&gateway, 100, idempotent_request);
    assert!(idle[0].response().is_none(), "the first of 100 connections is still open");
    assert_eq!(idle[99].call(&idempotent_request()).status(), 200);
}

/// Connections that have sent nothing are evicted before one that has sent part of a request.
#[test]
fn slowly_written_request_is_served_while_unused_connections_are_evicted() {
    let server = Server::healthy();
    let gateway = gateway_with_low_socket_limit(&server);
    let request = idempotent_request();
    let mut slow = gateway.connect();
    let mut unused: Vec<Client> = Vec::new();
    for piece in request.as_bytes().chunks(request.len().div_ceil(4)) {
        slow.write_bytes(piece);
        // The piece was sent before this call, so the gateway has read it once this call is answered.
        assert_eq!(gateway.connect().call(&idempotent_request()).status(), 200);
        unused.extend((0..12).map(|_| gateway.connect()));
    }
    assert_eq!(slow.response().expect("a response on the connection of the slow client").status(), 200);
    assert!(unused[0].response().is_none(), "the first unused connection is still open");
}

/// The descriptor limit of the process is below the configured one, so `accept` fails with `EMFILE`.
#[test]
fn idle_connections_are_evicted_when_accept_runs_out_of_descriptors() {
    let server = Server::healthy();
    let gateway = Deployment::with_server(&server).descriptors(32).start();
    assert_eq!(gateway.connect().call(&idempotent_request()).status(), 200);
    let mut idle = idle_connections(&gateway, 60, || HEALTH_CHECK.to_owned());
    assert!(idle[0].response().is_none(), "the first of 60 connections is still open");
    assert_eq!(gateway.connect().call(&idempotent_request()).status(), 200);
}

/// A client that disconnects while an attempt is in flight does not affect later requests.
#[test]
fn client_disconnect_during_an_attempt_leaves_the_gateway_serving() {
    let server = Server::start(|n| if n == 0 { Reply::Hang } else { Reply::ok("done") });
    let gateway = GatewayProcess::in_front_of(&server);
    let mut client = gateway.connect();
    client.write(&idempotent_request());
    server.next_request();
    drop(client);
    assert_eq!(gateway.connect().call(&idempotent_request()).status(), 200);
}

/// Guards against request smuggling: with two lengths, part of one body could be taken for a second request.
#[test]
fn ambiguous_body_length_gets_400_and_closes_the_connection() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    for lengths in [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "transfer-encoding: chunked\r\ncontent-length: 5",
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: +5",
        "Content-Length: -5",
        "Content-Length: 99999999999999999999999",
        "Transfer-Encoding: chunked, identity",
    ] {
        let mut client = gateway.connect();
        client.write(&with_framing(&keyed_request(""), lengths));
        client.write(&format!("0\r\n\r\n{}", idempotent_request()));
        let text = client.read_until_closed();
        assert!(text.starts_with("HTTP/1.1 400"), "{lengths}: {text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{lengths}: {text}");
    }
    // A chunked body alone is not ambiguous.
    let mut client = gateway.connect();
    client.write(&with_framing(&keyed_request(""), "Transfer-Encoding: chunked"));
    client.write("5\r\nabcde\r\n0\r\n\r\n");
    assert_eq!(client.expect_response().status(), 200);
    assert_eq!(server.next_request().body, b"abcde");
    assert!(server.unread_events().is_empty());
}

/// A connection whose request is not complete in time is closed, after a 408 if the head has arrived.
#[test]
fn connections_without_a_complete_request_time_out() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let starts = ["", "GET /api?cl", "GET /api HTTP/1.1\r\nX-Call-Id: 7\r\n"];
    let mut clients: Vec<Client> = starts.iter().map(|_| gateway.connect()).collect();
    for (client, start) in clients.iter_mut().zip(starts) {
        client.write(start);
    }
    let mut incomplete = gateway.connect();
    incomplete.write(&keyed_request("half").replace("Content-Length: 4", "Content-Length: 5"));
    assert!(incomplete.read_until_closed().starts_with("HTTP/1.1 408"));
    for mut client in clients {
        assert_eq!(client.read_until_closed(), "");
    }
    assert!(server.unread_events().is_empty());
}

/// At the connection limit, connections that have sent no request are evicted first.
#[test]
fn connections_without_a_request_are_evicted_before_used_ones() {
    let server = Server::healthy();
    let gateway = gateway_with_low_socket_limit(&server);
    let mut used = gateway.connect();
    assert_eq!(used.call(&idempotent_request()).status(), 200);
    let mut unused: Vec<Client> = (0..100).map(|_| gateway.connect()).collect();
    assert_eq!(unused[0].read_until_closed(), "");
    assert_eq!(gateway.connect().call(&idempotent_request()).status(), 200);
    assert_eq!(used.call(&idempotent_request()).status(), 200);
}

/// Input that arrives while a request is in flight is buffered up to a limit and answered in order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let (gate, waiter) = Gate::new();
    let server = Server::start(move |n| {
        if n % 2 == 0 {
            waiter.wait();
        }
        Reply::ok(format!("n{n}"))
    });
    let gateway = GatewayProcess::in_front_of(&server);
    let mut client = gateway.connect();
    client.write(&keyed_request("first"));
    server.next_request();
    let second = keyed_request("second");
    let (start, rest) = second.split_at(30);
    client.write(start);
    gate.release_one();
    assert_eq!(client.expect_response().body, b"n0");
    client.write(rest);
    assert_eq!(client.expect_response().body, b"n1");
    server.next_request();
    client.write(&keyed_request("third"));
    server.next_request();
    client.write(&keyed_request(&"x".repeat(60_000)));
    gateway.wait_until_input_read();
    gate.release_one();
    let last = client.expect_response();
    assert_eq!(last.body, b"n2");
    // The pipelined request is either answered in full or dropped with the connection.
    if last.header("connection") == "close" {
        assert_eq!(client.read_until_closed(), "");
        assert!(server.unread_events().is_empty());
    } else {
        assert_eq!(client.expect_response().body, b"n3");
        assert_eq!(server.next_request().body.len(), 60_000);
    }
}

/// A request id is accepted again once its first request is answered.
#[test]
fn duplicate_id_of_a_request_in_flight_gets_409_and_the_first_is_served() {
    let (gate, waiter) = Gate::new();
    let server = Server::start(move |_| {
        waiter.wait();
        Reply::ok("done")
    });
    let gateway = GatewayProcess::in_front_of(&server);
    let mut first = gateway.connect();
    let request = idempotent_request();
    first.write(&request);
    server.next_request();
    assert_eq!(gateway.connect().call(&request).status(), 409);
    gate.release_one();
    assert_eq!(first.expect_response().status(), 200);
    assert!(server.unread_events().is_empty());
    gate.release_one();
    assert_eq!(first.call(&request).status(), 200);
}

/// The gateway does not reset the connection before the client has read the error.
#[test]
fn error_response_is_delivered_while_the_client_still_sends_its_body() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let long = "x".repeat(200 << 10);
    let mut client = gateway.connect();
    client.write(&keyed_request(&long).replace("Content-Length: 204800", "Content-Length: 99999999"));
    assert!(client.read_until_closed().starts_with("HTTP/1.1 413"));
}

/// Responses that together exceed the memory for bodies are read from the server one after another.
#[test]
fn large_responses_over_the_body_memory_wait_and_arrive_complete() {
    let body: Vec<u8> = (0..900_000u32).map(|position| (position / 7) as u8).collect();
    let sent = body.clone();
    let server = Server::start(move |_| Reply::ok(sent.clone()));
    let deployment = Deployment::with_server(&server).set("/limits/memory_mb", 16);
    let gateway = deployment.deadline_us(IDEMPOTENT, 20_000_000).start();
    let mut clients: Vec<Client> = (0..5).map(|_| gateway.connect()).collect();
    for client in &mut clients {
        client.write(&with_client_timeout(&idempotent_request(), 19_000));
    }
    for client in &mut clients {
        let response = client.expect_response();
        assert_eq!((response.status(), response.complete), (200, true));
        assert!(response.body == body, "the response body differs from the one sent");
    }
}

/// At the connection limit, each new connection evicts one; those that their clients closed do not count.
#[test]
fn one_connection_is_evicted_for_each_new_one() {
    let server = Server::healthy();
    let gateway = gateway_with_low_socket_limit(&server);
    let mut closing = gateway.connect();
    closing.write(&HEALTH_CHECK.replace("Host: a", "Host: a\r\nConnection: close"));
    assert!(closing.read_until_closed().starts_with("HTTP/1.1 200"));
    let mut clients = idle_connections(&gateway, 21, || HEALTH_CHECK.to_owned());
    // Of 21 connections 20 are allowed: the first is evicted, the second is not.
    assert_eq!(clients[0].read_until_closed(), "");
    assert_eq!(clients[1].call(HEALTH_CHECK).status(), 200);
}
