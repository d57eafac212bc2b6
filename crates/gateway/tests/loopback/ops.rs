//! The operator interface: health check and statistics.

use crate::rig::client::{operator_get, Client};
use crate::rig::deployment::Deployment;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::message::Message;
use crate::rig::request::{idempotent_request, non_idempotent_request};
use crate::rig::server::{Reply, Server};

/// Returns the value of a metric from a response with all statistics.
fn metric(stats: &Message, name: &str) -> u64 {
    let text = String::from_utf8_lossy(&stats.body);
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
    value.unwrap_or_else(|| {
        panic!(
            "no metric '{name}' in:
{text}"
        )
    })
}

/// Starts a gateway in front of one server, with the operator interface enabled.
fn gateway_with_operator_interface(server: &Server) -> GatewayProcess {
    Deployment::with_server(server).operator_interface().start()
}

/// Each request counts once, by its class and result. An attempt counts once a server has received it.
#[test]
fn stats_count_responses_by_class_and_result() {
    let server = Server::start(|n| match n {
        0..=2 => Reply::ok(b"done"),
        3 => Reply::RawThenClose(""),
        _ => Reply::Hang,
    });
    let gateway = gateway_with_operator_interface(&server);
    let operator_address = gateway.operator_address();
    assert_eq!(operator_get(operator_address, "/admin/health").status(), 200);
    let mut client = gateway.connect();
    for _ in 0..3 {
        assert_eq!(client.call(&idempotent_request()).status(), 200);
    }
    assert_eq!(client.call(&non_idempotent_request("once")).status(), 502);
    assert_eq!(client.call(&idempotent_request().replace("basico", "platinum")).status(), 400);
    let mut in_flight = gateway.connect();
    in_flight.write(&idempotent_request());
    for _ in 0..5 {
        server.next_request();
    }
    let stats = operator_get(operator_address, "/admin/stats");
    assert_eq!(stats.status(), 200);
    let expected = [
        ("gateway_responses{kind=\"claim-status\",result=\"ok\"}", 3),
        ("gateway_responses{kind=\"claim-status\",result=\"errors\"}", 0),
        ("gateway_responses{kind=\"payout\",result=\"errors\"}", 1),
        ("gateway_responses{kind=\"payout\",result=\"shed\"}", 0),
        ("gateway_tries", 5),
        ("gateway_active", 1),
        ("gateway_pool_size", 1),
        ("gateway_pool_ejected", 0),
    ];
    for (name, value) in expected {
        assert_eq!(metric(&stats, name), value, "{name}");
    }
}

/// Idle connections do not prevent others from being served. A malformed or unknown request gets a 4xx.
#[test]
fn idle_or_malformed_operator_connections_do_not_block_others() {
    let server = Server::unresponsive();
    let gateway = gateway_with_operator_interface(&server);
    let operator_address = gateway.operator_address();
    let idle: Vec<Client> = (0..40).map(|_| Client::connect(operator_address).unwrap()).collect();
    assert_eq!(operator_get(operator_address, "/admin/health").status(), 200);
    assert_eq!(operator_get(operator_address, "/admin/stats").header("connection"), "close");
    assert_eq!(operator_get(operator_address, "/admin/other").status(), 404);
    let invalid = [("\x16\x03\x01\r\n\r\n", 400), ("PUT /admin/stats HTTP/1.1\r\nHost: a\r\n\r\n", 405)];
    for (request, status) in invalid {
        assert_eq!(Client::connect(operator_address).unwrap().call(request).status(), status);
    }
    drop(idle);
}
