//! Startup, configuration reload, graceful shutdown and replacement of the process.

use crate::rig::client::Client;
use crate::rig::deployment::Deployment;
use crate::rig::discovery_agent::{DiscoveryAgent, WatchFault};
use crate::rig::endpoint::Endpoint;
use crate::rig::files::write_config;
use crate::rig::gate::Gate;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::launch::Launch;
use crate::rig::request::{idempotent_request, non_idempotent_request, with_client_timeout, HEALTH_CHECK};
use crate::rig::server::{Reply, Server};
use std::io::Read;
use std::time::{Duration, Instant};

/// Log text for a configuration file that a reload rejects.
const RELOAD_REJECTED: &str = "keeping the previous configuration";
/// Interval between the connections of successive clients.
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);

/// Asserts that each client gets a response.
fn assert_all_answered(clients: &mut [Client]) {
    for client in clients {
        let response = client.expect_response();
        // So many requests at once may exceed what the one endpoint may be sent.
        assert!(matches!(response.status(), 200 | 429), "{}", response.start_line);
    }
}

/// The configuration is not valid JSON, lacks a field or has an invalid value.
#[test]
fn malformed_configuration_exits_with_one_log_line() {
    let valid = Deployment::new(Vec::new()).config_text();
    let malformed = [
        "{".to_owned(),
        "[]".to_owned(),
        valid.replacen("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":12", 1),
        valid.replacen("127.0.0.1:0", "nowhere", 1),
        valid.replacen("\"tickUs\":2000", "\"tickUs\":0", 1),
        valid.replacen("\"classes\"", "\"kinds\"", 1),
        valid.replacen("\"connIdleUs\"", "\"idle\"", 1),
        valid.replacen("\"endpoints\"", "\"servers\"", 1),
    ];
    for text in malformed {
        assert_ne!(text, valid);
        let mut child = Launch::default().spawn(&write_config(&text));
        let mut log = String::new();
        child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
        assert!(!child.wait().unwrap().success(), "{text} was accepted");
        assert_eq!(log.lines().count(), 1, "{log}");
    }
}

/// After SIGTERM, the process answers requests in flight and new ones, and exits with success.
#[test]
fn shutdown_answers_requests_in_flight_and_closes_idle_connections() {
    let (gate, waiter) = Gate::new();
    let server = Server::start(move |n| {
        if n == 1 {
            waiter.wait();
        }
        Reply::ok("done")
    });
    let gateway = GatewayProcess::in_front_of(&server);
    let mut idle = gateway.connect();
    let mut busy = gateway.connect();
    assert_eq!(idle.call(HEALTH_CHECK).status(), 200);
    assert_eq!(idle.call(&idempotent_request()).header("connection"), "");
    server.next_request();
    busy.write(&idempotent_request());
    server.next_request();
    gateway.terminate();
    assert!(idle.response().is_none(), "an idle connection was not closed");
    let late = gateway.connect().call(&idempotent_request());
    assert_eq!((late.status(), late.header("connection")), (200, "close"));
    gate.release_one();
    let response = busy.response().expect("a response to the request in flight");
    assert_eq!((response.status(), response.header("connection")), (200, "close"));
    assert!(busy.response().is_none());
    assert!(gateway.wait().success());
}

/// Also covers the first request on a connection that was opened before the signal.
#[test]
fn request_partly_received_at_sigterm_is_answered() {
    let server = Server::healthy();
    let gateway = GatewayProcess::in_front_of(&server);
    let mut idle = gateway.connect();
    let mut partial = gateway.connect();
    let mut unused = gateway.connect();
    assert_eq!(partial.call(&idempotent_request()).status(), 200);
    let request = idempotent_request();
    let (start, rest) = request.split_at(40);
    partial.write(start);
    // Once this call is answered, the gateway has processed all earlier connections and input.
    assert_eq!(idle.call(&idempotent_request()).status(), 200);
    gateway.terminate();
    assert!(idle.response().is_none(), "an idle connection was not closed");
    partial.write(rest);
    unused.write(&idempotent_request());
    for client in [&mut partial, &mut unused] {
        let response = client.expect_response();
        assert_eq!((response.status(), response.header("connection")), (200, "close"));
    }
    assert!(gateway.wait().success());
}

/// Guards against a reset of connections whose handshake ends after the last `accept` of a listener that is
/// being closed.
#[test]
fn client_that_connects_as_the_listener_closes_is_answered_or_refused() {
    let server = Server::healthy();
    let gateway = Deployment::with_server(&server).faults("preempt_listener_ms=100").start();
    gateway.terminate();
    let mut clients = Vec::new();
    while let Ok(mut client) = Client::connect(gateway.address) {
        client.write(&idempotent_request());
        clients.push(client);
        std::thread::sleep(CONNECT_INTERVAL);
    }
    assert_all_answered(&mut clients);
    assert!(gateway.wait().success());
}

/// Guards against a reset of connections while one of two processes at the same address closes its listener:
/// the other process accepts the clients that the first one refuses.
#[test]
fn clients_are_answered_while_one_of_two_listeners_closes() {
    let server = Server::healthy();
    let closing = Deployment::with_server(&server).faults("preempt_listener_ms=100").start();
    let other = Deployment::with_server(&server).listen(closing.address).start();
    closing.terminate();
    let mut clients = Vec::new();
    while !closing.has_exited() {
        let mut client = other.connect();
        client.write(&idempotent_request());
        clients.push(client);
        std::thread::sleep(CONNECT_INTERVAL);
    }
    assert_all_answered(&mut clients);
    assert!(closing.wait().success());
}

/// If the system refuses the packet filter that refuses new handshakes, the listener closes without it.
#[test]
fn refused_packet_filter_is_logged_and_the_listener_closes() {
    let server = Server::healthy();
    let mut gateway = Deployment::with_server(&server).faults("filter=100").start();
    gateway.terminate();
    assert_eq!(gateway.connect().call(&idempotent_request()).status(), 200);
    let log = gateway.log_until_exit();
    for text in ["new connections cannot be refused", "no longer accepting clients", "stopped"] {
        assert!(log.iter().any(|line| line.contains(text)), "{log:?}");
    }
}

/// SIGKILL follows SIGTERM after 3.7 s at the earliest, however long the deadlines are. By then, requests at
/// an unresponsive server have their responses, whether they arrived before or after the signal.
#[test]
fn shutdown_answers_requests_at_unresponsive_servers_before_sigkill() {
    let server = Server::unresponsive();
    let gateway = Deployment::with_server(&server).all_deadlines_us(20_000_000).start();
    let with_long_timeout = |request: String| with_client_timeout(&request, 20_000);
    let mut retryable = gateway.connect();
    let mut non_idempotent = gateway.connect();
    let mut idle = gateway.connect();
    assert_eq!(idle.call(HEALTH_CHECK).status(), 200);
    retryable.write(&with_long_timeout(idempotent_request()));
    server.next_request();
    non_idempotent.write(&with_long_timeout(non_idempotent_request("x")));
    server.next_request();
    let signaled_at = Instant::now();
    gateway.terminate();
    assert!(idle.response().is_none(), "an idle connection was not closed");
    let mut late = gateway.connect();
    late.write(&with_long_timeout(idempotent_request()));
    server.next_request();
    for (client, status) in [(&mut retryable, 429), (&mut non_idempotent, 502), (&mut late, 429)] {
        assert_eq!(client.expect_response().status(), status);
    }
    let elapsed = signaled_at.elapsed();
    assert!(elapsed < Duration::from_millis(3_700), "answered after {elapsed:?}");
    assert!(gateway.wait().success());
}

/// A reload moves the watch to the newly configured agent while a call to the previous one is open. The new
/// agent is asked for a snapshot, even though its version is the same. An invalid file changes nothing.
#[test]
fn configuration_reload_moves_the_watch_and_ignores_an_invalid_file() {
    let first = Server::responding_with("first");
    let second = Server::responding_with("second");
    let previous = Deployment::with_server(&first);
    let gateway = previous.start();
    let mut client = gateway.connect();
    assert_eq!(client.call(&idempotent_request()).body, b"first");
    let next = deployment_without_configured_endpoints(&second);
    let valid = next.config_text();
    for invalid in ["{", "{}", &valid.replacen("\"classes\"", "\"kinds\"", 1)] {
        gateway.reload_with(invalid);
        gateway.wait_for_log(RELOAD_REJECTED);
        assert_eq!(client.call(&idempotent_request()).body, b"first");
    }
    previous.agent.publish(vec![Endpoint::ready("s-1", first.address)]);
    gateway.reload_with(&valid);
    next.agent.wait_until_watched();
    assert_eq!(client.call(&idempotent_request()).body, b"second");
    // A shutdown that directly follows a reload also exits with success.
    gateway.reload_with(&valid);
    gateway.terminate();
    assert!(gateway.wait().success());
}

/// Returns a gateway without configured endpoints, which gets one server, `s-2`, from discovery.
fn deployment_without_configured_endpoints(server: &Server) -> Deployment {
    let agent = DiscoveryAgent::start(vec![Endpoint::ready("s-2", server.address)]);
    Deployment::with_agent(agent, &[])
}

/// The configuration file is half written when SIGHUP arrives, and is completed without a further signal.
#[test]
fn configuration_completed_after_its_reload_signal_is_loaded() {
    let first = Server::responding_with("first");
    let second = Server::responding_with("second");
    let gateway = GatewayProcess::in_front_of(&first);
    let next = deployment_without_configured_endpoints(&second);
    let complete = next.config_text();
    gateway.reload_with(&complete[..complete.len() / 2]);
    gateway.wait_for_log(RELOAD_REJECTED);
    gateway.replace_config_file(&complete);
    next.agent.wait_until_watched();
    assert_eq!(gateway.connect().call(&idempotent_request()).body, b"second");
}

/// With short deadlines, SIGKILL follows soon after SIGTERM. Idle connections must close while a last request
/// on them can still be answered.
#[test]
fn idle_connections_close_before_exit_with_short_deadlines() {
    let server = Server::healthy();
    let mut gateway = Deployment::with_server(&server).all_deadlines_us(100_000).start();
    let mut idle: Vec<Client> = (0..10).map(|_| gateway.connect()).collect();
    assert_eq!(gateway.connect().call(HEALTH_CHECK).status(), 200);
    gateway.terminate();
    // New clients connect for 0.4 s after the signal.
    let signaled_at = Instant::now();
    while signaled_at.elapsed() < Duration::from_millis(400) {
        idle.push(gateway.connect());
        std::thread::sleep(Duration::from_millis(20));
    }
    for client in &mut idle {
        assert!(client.response().is_none());
    }
    let log = gateway.log_until_exit();
    assert!(log.iter().all(|line| !line.contains("still open")), "{log:?}");
}

/// A new process starts beside the old one, which then drains. Every request is served by one of the two.
#[test]
fn second_process_on_the_same_address_replaces_the_first() {
    let server = Server::healthy();
    let deployment = Deployment::with_server(&server);
    let old = deployment.start();
    let mut client = old.connect();
    assert_eq!(client.call(&idempotent_request()).status(), 200);
    let new = deployment.listen(old.address).start();
    for _ in 0..20 {
        assert_eq!(new.connect().call(&idempotent_request()).status(), 200);
    }
    old.terminate();
    assert!(old.wait().success());
    for _ in 0..20 {
        assert_eq!(new.connect().call(&idempotent_request()).status(), 200);
    }
}

/// While discovery and the counter are unresponsive or fail every call, starting processes wait for neither
/// and serve from the endpoint list in their configuration.
#[test]
fn simultaneous_starts_are_ready_without_discovery_or_counter() {
    let server = Server::healthy();
    for (fault, counter) in [
        (WatchFault::Down, Server::unresponsive()),
        (WatchFault::CloseConnection, Server::start(|_| Reply::empty("503 Busy"))),
    ] {
        let deployment = Deployment::with_server(&server)
            .gateway_count(350)
            .polled_discovery()
            .shared_counter(counter.address, 80_000);
        let first = deployment.start();
        deployment.agent.inject(fault);
        let started_at = Instant::now();
        let start = || {
            let deployment = deployment.clone();
            std::thread::spawn(move || deployment.start())
        };
        let started: Vec<_> = (0..20).map(|_| start()).collect();
        for gateway in started {
            let gateway = gateway.join().unwrap();
            let mut client = gateway.connect();
            assert_eq!(client.call(HEALTH_CHECK).status(), 200);
            assert_eq!(client.call(&idempotent_request()).body, b"done");
        }
        assert!(started_at.elapsed() < Duration::from_secs(10), "ready after {:?}", started_at.elapsed());
        drop(first);
    }
}
