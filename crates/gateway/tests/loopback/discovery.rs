//! The endpoint list from discovery, and gossip between peers.

use crate::rig::client::Client;
use crate::rig::deployment::Deployment;
use crate::rig::discovery_agent::{DiscoveryAgent, WatchFault};
use crate::rig::endpoint::{Endpoint, EndpointStatus, REMOTE_ZONE};
use crate::rig::request::idempotent_request;
use crate::rig::server::{Reply, Server};
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// Time after which a change that a failed watch missed counts as notified.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// Memory of an idle gateway with up to a thousand endpoints.
const IDLE_MEMORY_KIB: u64 = 24 << 10;
/// Memory that each further thousand endpoints may add.
const MEMORY_PER_1000_ENDPOINTS_KIB: u64 = 4 << 10;

/// Publishes that `s-1` is draining and that `s-2` replaces it.
fn publish_replacement(agent: &DiscoveryAgent, first: &Server, second: &Server) {
    agent.publish(vec![Endpoint::draining("s-1", first.address), Endpoint::ready("s-2", second.address)]);
}

/// Sends an idempotent request and returns the body of its response.
fn response_body(client: &mut Client) -> Vec<u8> {
    client.call(&idempotent_request()).body
}

/// Returns a gateway of a fleet of `gateways`, in front of one server.
fn fleet_deployment(gateways: usize, server: &Server) -> Deployment {
    Deployment::with_server(server).gateway_count(gateways)
}

/// Discovery publishes a known endpoint with a new address.
#[test]
fn endpoint_that_changes_its_address_is_followed() {
    let old = Server::responding_with("old");
    let new = Server::responding_with("new");
    let deployment = Deployment::with_server(&old);
    let gateway = deployment.start();
    let mut client = gateway.connect();
    assert_eq!(response_body(&mut client), b"old");
    deployment.agent.publish(vec![Endpoint::ready("s-1", new.address)]);
    assert_eq!(response_body(&mut client), b"new");
}

/// An endpoint in the other zone replaces one that is draining or removed.
#[test]
fn draining_or_removed_endpoint_gets_no_new_requests() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let first = Server::responding_with("first");
        let second = Server::responding_with("second");
        let deployment = Deployment::with_server(&first);
        let gateway = deployment.start();
        let mut client = gateway.connect();
        assert_eq!(response_body(&mut client), b"first");
        deployment.agent.publish(vec![
            Endpoint::ready("s-1", first.address).with_status(status),
            Endpoint::ready("s-2", second.address).in_zone(REMOTE_ZONE),
        ]);
        for _ in 0..10 {
            assert_eq!(response_body(&mut client), b"second");
        }
    }
}

/// The previous list stays in use while discovery fails, and the watch then resumes from the version of that
/// list: all gateways of a fleet fail at the same time, and a snapshot is the most expensive call.
#[test]
fn failed_watch_keeps_the_list_and_resumes_from_its_version() {
    let first = Server::responding_with("first");
    let second = Server::responding_with("second");
    let deployment = Deployment::with_server(&first);
    let gateway = deployment.start();
    let mut client = gateway.connect();
    deployment.agent.fail();
    assert_eq!(response_body(&mut client), b"first");
    deployment.agent.recover(vec![Endpoint::ready("s-2", second.address)]);
    assert_eq!(response_body(&mut client), b"second");
    assert!(!deployment.agent.snapshot_requested(), "a snapshot was requested");
}

/// A change that an unanswered watch misses counts as notified after 6 s, of which draining takes one second,
/// in a fleet of any size. The agent answers at once, so the change arrives with the next call.
#[test]
fn unanswered_or_closed_watch_is_reopened_in_time_in_any_fleet_size() {
    for gateways in [2, 300] {
        for fault in [WatchFault::Unanswered, WatchFault::CloseConnection] {
            let first = Server::responding_with("first");
            let second = Server::responding_with("second");
            let deployment = fleet_deployment(gateways, &first);
            let gateway = deployment.start();
            let mut client = gateway.connect();
            assert_eq!(response_body(&mut client), b"first");
            deployment.agent.wait_for_calls(1);
            let limit_ms = if fault == WatchFault::CloseConnection { 1_000 } else { 4_000 };
            let started_at = Instant::now();
            deployment.agent.inject(fault);
            publish_replacement(&deployment.agent, &first, &second);
            assert!(
                started_at.elapsed() < Duration::from_millis(limit_ms),
                "{gateways} gateways: after {:?}",
                started_at.elapsed()
            );
            assert_eq!(response_body(&mut client), b"second");
        }
    }
}

/// A service that all gateways poll is given longer to answer, but the retry follows without a backoff.
#[test]
fn unanswered_watch_of_a_polled_service_is_reopened_in_time() {
    let first = Server::responding_with("first");
    let second = Server::responding_with("second");
    let deployment = fleet_deployment(300, &first).polled_discovery();
    let gateway = deployment.start();
    let started_at = Instant::now();
    deployment.agent.inject(WatchFault::Unanswered);
    publish_replacement(&deployment.agent, &first, &second);
    assert!(started_at.elapsed() < Duration::from_millis(6_500), "after {:?}", started_at.elapsed());
    assert_eq!(response_body(&mut gateway.connect()), b"second");
}

/// A call that hangs before its connection is closed leaves no time for a backoff, in a fleet of any size.
#[test]
fn watch_closed_after_a_delay_is_reopened_within_the_notification_deadline() {
    for gateways in [2, 350] {
        let first = Server::responding_with("first");
        let second = Server::responding_with("second");
        let deployment = fleet_deployment(gateways, &first).polled_discovery();
        let gateway = deployment.start();
        deployment.agent.wait_for_calls(1);
        let started_at = Instant::now();
        deployment.agent.inject(WatchFault::CloseConnectionAfter(Duration::from_millis(4_500)));
        publish_replacement(&deployment.agent, &first, &second);
        assert!(started_at.elapsed() < NOTIFICATION_DEADLINE, "{gateways}: after {:?}", started_at.elapsed());
        assert_eq!(response_body(&mut gateway.connect()), b"second");
    }
}

/// Covers a list that is pushed or polled, fleets of few and of many gateways, and a previous call that was
/// answered with an error or is still open when discovery recovers.
#[test]
fn list_is_current_within_six_seconds_of_discovery_recovery() {
    std::thread::scope(|scope| {
        for polled in [false, true] {
            for gateways in [2, 350] {
                for refused in [true, false] {
                    scope.spawn(move || assert_recovers_in_time(polled, gateways, refused));
                }
            }
        }
    });
}

/// Makes discovery fail and recover with a new list, and asserts that the gateway uses the new list in time.
fn assert_recovers_in_time(polled: bool, gateways: usize, refused: bool) {
    let first = Server::responding_with("first");
    let second = Server::responding_with("second");
    let mut deployment = fleet_deployment(gateways, &first);
    if polled {
        deployment = deployment.polled_discovery();
    }
    let gateway = deployment.start();
    deployment.agent.wait_for_calls(1);
    if refused {
        deployment.agent.fail();
    } else {
        // The call in flight has just started and is never answered.
        deployment.agent.inject(WatchFault::Down);
        deployment.agent.wait_for_calls(1);
        deployment.agent.restore();
    }
    let started_at = Instant::now();
    deployment.agent.recover(vec![Endpoint::ready("s-2", second.address)]);
    let elapsed = started_at.elapsed();
    let case = format!("polled {polled}, {gateways} gateways, refused {refused}");
    assert!(elapsed < NOTIFICATION_DEADLINE, "{case}: {elapsed:?}");
    assert_eq!(response_body(&mut gateway.connect()), b"second");
}

/// Changes count as notified once discovery has recovered, even if earlier calls stay unanswered.
#[test]
fn changes_during_an_outage_are_known_within_two_seconds_of_recovery() {
    for gateways in [2, 300] {
        let first = Server::responding_with("first");
        let second = Server::responding_with("second");
        let deployment = fleet_deployment(gateways, &first);
        let gateway = deployment.start();
        let mut client = gateway.connect();
        deployment.agent.inject(WatchFault::Down);
        deployment.agent.wait_for_calls(2);
        assert_eq!(response_body(&mut client), b"first");
        let started_at = Instant::now();
        deployment.agent.restore();
        publish_replacement(&deployment.agent, &first, &second);
        assert!(
            started_at.elapsed() < Duration::from_millis(2_000),
            "{gateways} gateways: {:?}",
            started_at.elapsed()
        );
        assert_eq!(response_body(&mut client), b"second");
    }
}

/// The gateway holds all endpoints, from its configuration or from discovery, within the smallest memory that
/// a process is given.
#[test]
fn fleet_of_1024_gateways_and_1024_endpoints_is_served_within_memory() {
    assert_large_fleet_is_served(1_024, 1_024, IDLE_MEMORY_KIB);
}

/// Covers the largest fleet that the operators specify.
#[test]
fn fleet_of_900_gateways_and_3200_endpoints_is_served_within_memory() {
    assert_large_fleet_is_served(900, 3_200, IDLE_MEMORY_KIB + 2 * MEMORY_PER_1000_ENDPOINTS_KIB);
}

/// Asserts that the gateway serves from the configured list, and from a snapshot that replaces it, within a
/// memory limit.
fn assert_large_fleet_is_served(gateways: usize, endpoints: usize, memory_limit_kib: u64) {
    let first = Server::responding_with("first");
    let last = Server::responding_with("last");
    let deployment = Deployment::new(many_endpoints("s", first.address, endpoints))
        .set("/limits", json!({"cores": 1.0, "memory_mb": 32, "sockets": 256}))
        .gateway_count(gateways)
        .set("/settings/me", gateways - 1)
        .descriptors(256);
    let gateway = deployment.start();
    let mut client = gateway.connect();
    let request_from = |first_gateway: usize| {
        let terms = format!("spread={gateways},first={first_gateway}");
        idempotent_request().replace("spread=1,first=0", &terms)
    };
    for first_gateway in [0, gateways / 2, gateways - 1] {
        assert_eq!(client.call(&request_from(first_gateway)).body, b"first");
    }
    deployment.agent.recover(many_endpoints("t", last.address, endpoints));
    for _ in 0..20 {
        assert_eq!(client.call(&request_from(0)).body, b"last");
    }
    assert!(gateway.resident_kib() < memory_limit_kib, "{} KiB", gateway.resident_kib());
}

/// Returns endpoints with different names and the same address.
fn many_endpoints(prefix: &str, address: SocketAddr, count: usize) -> Vec<Endpoint> {
    (0..count).map(|number| Endpoint::ready(format!("{prefix}-{number:04}"), address)).collect()
}

/// While discovery is down, idle clients take all descriptors that clients may have, and further connections
/// wait in the backlog. The gateway uses at most about half a core. After the recovery, descriptors are left
/// for calls to discovery and the counter, for an endpoint and for new clients.
#[test]
fn idle_clients_leave_descriptors_for_discovery_the_counter_and_endpoints() {
    let first = Server::responding_with("first");
    let second = Server::responding_with("second");
    let counter = Server::start(|_| Reply::ok("1"));
    let deployment = Deployment::with_server(&first)
        .configured_sockets(256)
        .shared_counter(counter.address, 80_000)
        .descriptors(256);
    let gateway = deployment.start();
    deployment.agent.inject(WatchFault::Down);
    let started_at = Instant::now();
    let ticks_before = gateway.cpu_ticks();
    let idle: Vec<Client> = (0..400).map(|_| gateway.connect()).collect();
    deployment.agent.wait_for_calls(3);
    let elapsed = started_at.elapsed();
    let ticks_used = gateway.cpu_ticks() - ticks_before;
    assert!(ticks_used as f64 <= 50.0 * elapsed.as_secs_f64() + 50.0, "{ticks_used} ticks in {elapsed:?}");
    deployment.agent.restore();
    let restored_at = Instant::now();
    publish_replacement(&deployment.agent, &first, &second);
    let notification_time = restored_at.elapsed();
    assert!(notification_time < NOTIFICATION_DEADLINE, "after {notification_time:?}");
    let response = gateway.connect().call(&idempotent_request());
    assert_eq!((response.status(), response.body.as_slice()), (200, &b"second"[..]));
    assert!(counter.next_request().start_line.starts_with("POST /v2/numbers/"));
    drop(idle);
}

/// A response that is empty, truncated, not a list or of an older version than the current list changes
/// nothing and is followed by another call. An indented list is valid.
#[test]
fn malformed_or_stale_list_is_ignored_and_polled_again() {
    let first = Server::responding_with("first");
    let second = Server::responding_with("second");
    let third = Server::responding_with("third");
    let deployment = fleet_deployment(300, &first);
    let gateway = deployment.start();
    let mut client = gateway.connect();
    publish_replacement(&deployment.agent, &first, &second);
    let stale = raw_response(&snapshot(1, "s-1", &first).to_string());
    let truncated = stale.replace("Content-Length: ", "Content-Length: 1");
    let ignored = [raw_response(""), raw_response("[]"), raw_response("{\"index\":"), stale, truncated];
    for response in ignored {
        deployment.agent.inject(WatchFault::RawResponse(response));
        deployment.agent.wait_for_calls(1);
        assert_eq!(response_body(&mut client), b"second");
    }
    let indented = serde_json::to_string_pretty(&snapshot(900, "s-3", &third)).unwrap();
    deployment.agent.inject(WatchFault::RawResponse(raw_response(&indented)));
    deployment.agent.wait_for_calls(1);
    assert_eq!(response_body(&mut client), b"third");
}

/// Returns a successful response with a body.
fn raw_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK
Content-Length: {}

{body}",
        body.len()
    )
}

/// Returns a snapshot with one endpoint.
fn snapshot(index: u64, name: &str, server: &Server) -> Value {
    json!({"index": index, "snapshot": true, "endpoints": [Endpoint::ready(name, server.address)]})
}

/// Peers are identified by their address. Datagrams of other senders and malformed or oversized ones are
/// ignored.
#[test]
fn peers_exchange_small_datagrams_and_ignore_malformed_ones() {
    let server = Server::responding_with("first");
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let gateway_address = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let gateway = fleet_deployment(2, &server)
        .set("/settings/limits/peers", true)
        .set("/peer_listen", gateway_address.to_string())
        .set("/peers", json!([gateway_address.to_string(), peer.local_addr().unwrap().to_string()]))
        .start();
    let mut data = [0; 2_000];
    let (length, sender) = peer.recv_from(&mut data).expect("a gossip message from the gateway");
    assert!(length > 0 && length <= 256, "{length} bytes");
    assert_eq!(sender, gateway_address);
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for datagram in [&[1, 0, 0, 9][..], &[0xff; 200], &[7; 1_500], &[]] {
        peer.send_to(datagram, gateway_address).unwrap();
        unknown_sender.send_to(datagram, gateway_address).unwrap();
    }
    assert_eq!(gateway.connect().call(&idempotent_request()).status(), 200);
    peer.recv_from(&mut data).expect("a gossip message after malformed datagrams");
}
