//! System calls that fail in ways that Linux documents: every request still gets its one answer.

use crate::rig::*;
use serde_json::json;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Large enough to be passed on as it comes, and to fill a socket's buffer.
const LONG_ANSWER: usize = 600_000;

fn gateway_under(faults: &str, server: &Server) -> (Gateway, Agent) {
    let known = [entry("s-1", server.address, "room-a", "ready")];
    let agent = Agent::start(known.to_vec());
    (Gateway::start_under(&patient_config(&agent, &known), faults), agent)
}

/// Reads of a few bytes each, and writes of a part, are no end and no full socket: the rest goes on at once.
#[test]
fn short_reads_and_writes_hold_up_nothing() {
    for seed in 1..=3 {
        let server = Server::start(|n| match n % 5 {
            4 => Does::Answers("200 OK", vec![b'x'; LONG_ANSWER]),
            _ => Does::Answers("200 OK", format!("answer {n}").into_bytes()),
        });
        let faults = format!("read=50 write=50 seed={seed}");
        let (gateway, agent) = gateway_under(&faults, &server);
        agent.change(vec![entry("s-2", server.address, "room-b", "ready")]);
        let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
        let start = Instant::now();
        for n in 0..40 {
            let request = if n % 3 == 0 { payout(&"b".repeat(3_000)) } else { status() };
            let answer = clients[n % 4].call(&request);
            assert_eq!((answer.status(), answer.whole), (200, true), "seed {seed}, request {n}");
        }
        assert!(start.elapsed() < Duration::from_secs(5), "seed {seed}: {:?}", start.elapsed());
    }
}

/// A connection that broke before it was accepted, or a network that failed for a moment, costs no other client its
/// connection, and nobody waits long. Only a lasting want of descriptors makes room by closing one.
#[test]
fn a_failing_accept_costs_nobody_a_connection() {
    for seed in 1..=3 {
        let server = Server::start(|_| Does::Answers("200 OK", b"done".to_vec()));
        let (gateway, _agent) = gateway_under(&format!("accept=50 seed={seed}"), &server);
        let mut resting: Vec<Client> = (0..8).map(|_| gateway.client()).collect();
        for client in &mut resting {
            assert_eq!(client.call(&status()).status(), 200);
        }
        for _ in 0..40 {
            assert_eq!(gateway.client().call(&status()).status(), 200);
        }
        for client in &mut resting {
            client.write(&status());
            let answer = client.answer().expect("a resting connection was closed");
            assert_eq!(answer.status(), 200);
        }
    }
}

/// Connections that came before the listener closes are taken in though `accept` fails meanwhile.
#[test]
fn a_failing_accept_loses_no_client_of_a_gateway_told_to_stop() {
    for (seed, kind) in [(1, "accept"), (2, "accept"), (3, "accept_full"), (4, "accept_full")] {
        let server = Server::start(|_| Does::Answers("200 OK", b"done".to_vec()));
        let (gateway, _agent) = gateway_under(&format!("{kind}=80 seed={seed}"), &server);
        gateway.pause();
        let mut clients: Vec<Client> = (0..40).map(|_| gateway.client()).collect();
        clients.iter_mut().for_each(|client| client.write(&status()));
        gateway.terminate();
        gateway.resume();
        for client in &mut clients {
            let answer = client.answer().expect("closed with no answer");
            // So many at once may be more than one server is sent.
            assert!(matches!(answer.status(), 200 | 429), "{kind}, seed {seed}: {}", answer.start);
        }
        assert!(gateway.wait().success());
    }
}

/// What the gateway's own machine lacks for a moment is no reason to refuse a request.
#[test]
fn a_failing_socket_or_connect_costs_no_request() {
    for faults in ["connect=60", "socket=60"] {
        let server = Server::start(|_| Does::Answers("200 OK\r\nConnection: close", b"done".to_vec()));
        let (gateway, _agent) = gateway_under(faults, &server);
        let mut client = gateway.client();
        for n in 0..60 {
            assert_eq!(client.call(&status()).status(), 200, "{faults}, request {n}");
        }
    }
}

/// Sockets, addresses and descriptors may not be had for some seconds: a start waits for them.
#[test]
fn a_start_survives_two_seconds_without_sockets() {
    let server = Server::start(|_| Does::Answers("200 OK", b"done".to_vec()));
    for faults in ["socket=100", "bind=100", "descriptor=100"] {
        let start = Instant::now();
        let (gateway, _agent) = gateway_under(&format!("{faults} for_ms=2000"), &server);
        assert!(start.elapsed() >= Duration::from_millis(1_900), "{faults} had no effect");
        assert_eq!(gateway.client().call(&status()).status(), 200);
    }
}

/// A wall clock that is an hour off says nothing of when servers started: the connections to one that started a moment
/// ago are used again, and those to its process before are not.
#[test]
fn connections_outlive_requests_whatever_the_wall_clock_says() {
    for faults in ["wall_s=0", "wall_s=3600", "wall_s=-3600", "wall_step_ms=100"] {
        let server = Server::start(|_| Does::Answers("200 OK", b"done".to_vec()));
        let started = |ago: Duration| {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            let mut entry = entry("s-1", server.address, "room-a", "ready");
            entry["since_ms"] = json!((now - ago).as_millis() as u64);
            entry
        };
        let known = [started(Duration::from_secs(60))];
        let agent = Agent::start(known.to_vec());
        let mut config = patient_config(&agent, &known);
        // The cold ramp is not what this is about.
        config["settings"]["rules"]["coldFrom"] = json!(1.0);
        let gateway = Gateway::start_under(&config, faults);
        let mut client = gateway.client();
        let mut play = || {
            for _ in 0..10 {
                assert_eq!(client.call(&status()).status(), 200, "{faults}");
            }
            server.connections.load(Ordering::SeqCst)
        };
        assert!(play() <= 2, "{faults}: connections were not used again");
        let before = play();
        agent.change(vec![started(Duration::ZERO)]);
        assert!(play() > before, "{faults}: a connection to the process before was used");
    }
}
