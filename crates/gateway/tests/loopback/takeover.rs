//! Takeover: a successor process receives the listener and the state of the serving process.
//!
//! Over the control socket in `$TMPDIR`, the predecessor sends its listener, the length of its state and the
//! state itself: text that the `handover` module of the decision core writes, whose first line is the version
//! `grebehook-2`. In these tests, both processes are of the same build.

use crate::rig::client::{operator_get, Client};
use crate::rig::deployment::Deployment;
use crate::rig::files::{write_config, TemporaryFolder};
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::launch::send_signal;
use crate::rig::request::{idempotent_request, non_idempotent_request, with_client_timeout};
use crate::rig::server::{Reply, Server};
use std::io::Read;
use std::os::unix::net::UnixListener;
use std::time::{Duration, Instant};

/// Time that a starting process waits for a hand-over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A serving process, and the deployment of its successor.
struct Predecessor {
    process: GatewayProcess,
    /// Deployment of the process, with the address at which it listens.
    successor: Deployment,
}

impl Predecessor {
    /// Starts a process with its control socket in a folder.
    fn start(deployment: Deployment, folder: &TemporaryFolder) -> Predecessor {
        let deployment = deployment.control_folder(folder.path());
        let process = deployment.start();
        let successor = deployment.listen(process.address);
        Predecessor { process, successor }
    }
}

/// Returns a gateway in front of one server, with the operator interface enabled.
fn deployment_with_operator_interface(server: &Server) -> Deployment {
    Deployment::with_server(server).operator_interface()
}

/// New connections go to the successor once it has the listener, while the predecessor answers its requests
/// in flight.
#[test]
fn new_clients_are_served_by_the_successor_process() {
    let server = Server::start(|n| if n == 1 { Reply::Hang } else { Reply::ok("done") });
    let folder = TemporaryFolder::create();
    let Predecessor { process: old, successor } =
        Predecessor::start(deployment_with_operator_interface(&server), &folder);
    let old_operator_address = old.operator_address();
    let mut idle = old.connect();
    let mut busy = old.connect();
    assert_eq!(idle.call(&idempotent_request()).status(), 200);
    server.next_request();
    busy.write(&non_idempotent_request("in flight"));
    server.next_request();
    let new = successor.start();
    let new_operator_address = new.operator_address();
    assert_eq!(operator_get(new_operator_address, "/admin/health").status(), 200);
    assert_eq!(operator_get(old_operator_address, "/admin/health").status(), 503);
    for _ in 0..9 {
        assert_eq!(new.connect().call(&idempotent_request()).status(), 200);
    }
    let stats = String::from_utf8(operator_get(new_operator_address, "/admin/stats").body).unwrap();
    assert!(stats.contains("{kind=\"claim-status\",result=\"ok\"} 9\n"), "{stats}");
    old.terminate();
    assert_eq!(busy.response().expect("the request in flight is answered").status(), 502);
    assert!(idle.response().is_none(), "an idle connection was not closed");
    assert!(old.wait().success());
    // The successor hands over to a third process.
    let third = successor.start();
    new.terminate();
    assert!(new.wait().success());
    assert_eq!(third.connect().call(&idempotent_request()).status(), 200);
}

/// The successor is killed before the predecessor gets SIGTERM.
#[test]
fn predecessor_resumes_when_its_successor_is_killed() {
    let server = Server::healthy();
    let folder = TemporaryFolder::create();
    let Predecessor { process: old, successor } =
        Predecessor::start(deployment_with_operator_interface(&server), &folder);
    successor.start().kill();
    old.wait_for_log("continuing to accept clients");
    assert_eq!(old.connect().call(&idempotent_request()).status(), 200);
    old.kill();
    // A starting process ignores the control socket that a killed one left.
    let next = successor.start();
    assert_eq!(next.connect().call(&idempotent_request()).status(), 200);
}

/// Guards against clients left waiting in the backlog because neither process accepts, while a successor that
/// got SIGTERM answers its requests in flight.
#[test]
fn predecessor_resumes_while_its_successor_shuts_down() {
    let server = Server::start(|n| if n == 0 { Reply::Hang } else { Reply::ok("done") });
    let folder = TemporaryFolder::create();
    let deployment = Deployment::with_server(&server).all_deadlines_us(20_000_000);
    let Predecessor { process: old, successor } = Predecessor::start(deployment, &folder);
    let new = successor.start();
    let mut busy = new.connect();
    busy.write(&with_client_timeout(&non_idempotent_request("in flight"), 20_000));
    server.next_request();
    new.terminate();
    while !new.has_exited() {
        let connecting_at = Instant::now();
        let response = old.connect().call(&with_client_timeout(&idempotent_request(), 1_000));
        assert_eq!(response.status(), 200);
        let elapsed = connecting_at.elapsed();
        assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
    }
    assert!(new.wait().success());
    assert_eq!(old.connect().call(&idempotent_request()).status(), 200);
}

/// Guards against clients that can still connect, though no process accepts, because a predecessor that is
/// shutting down keeps the listener open.
#[test]
fn listener_closes_with_the_successor_while_the_predecessor_shuts_down() {
    let server = Server::start(|n| if n == 0 { Reply::Hang } else { Reply::ok("done") });
    let folder = TemporaryFolder::create();
    let deployment = Deployment::with_server(&server).all_deadlines_us(20_000_000);
    let Predecessor { process: old, successor } = Predecessor::start(deployment, &folder);
    let mut busy = old.connect();
    busy.write(&with_client_timeout(&idempotent_request(), 20_000));
    server.next_request();
    let new = successor.start();
    old.terminate();
    new.terminate();
    let address = new.address;
    assert!(new.wait().success());
    assert!(Client::connect(address).is_err(), "a client connected though no process accepts");
    assert!(!old.has_exited(), "the predecessor exited before the connection was refused");
    assert_eq!(busy.expect_response().status(), 429);
    assert!(old.wait().success());
}

/// Guards against a successor that waits for a hand-over by a process that is shutting down, while neither
/// accepts clients.
#[test]
fn successor_does_not_wait_for_a_predecessor_that_shuts_down() {
    let server = Server::start(|n| if n == 0 { Reply::Hang } else { Reply::ok("done") });
    let folder = TemporaryFolder::create();
    let deployment = Deployment::with_server(&server).all_deadlines_us(20_000_000);
    let Predecessor { process: old, successor } = Predecessor::start(deployment, &folder);
    let mut busy = old.connect();
    busy.write(&with_client_timeout(&non_idempotent_request("in flight"), 20_000));
    server.next_request();
    old.terminate();
    old.wait_for_log("no longer accepting clients");
    let started_at = Instant::now();
    let new = successor.start();
    let elapsed = started_at.elapsed();
    assert!(elapsed < HAND_OVER_TIMEOUT, "{elapsed:?}");
    assert_eq!(new.connect().call(&idempotent_request()).status(), 200);
    assert!(!old.has_exited());
}

/// The successor reads the quota usage of its customers from the `grebehook-2` text.
#[test]
fn quota_usage_is_handed_over_to_the_successor() {
    let server = Server::healthy();
    let folder = TemporaryFolder::create();
    let deployment = Deployment::with_server(&server).token_bucket(0.001, 4.0);
    let Predecessor { process: old, successor } = Predecessor::start(deployment, &folder);
    let mut client = old.connect();
    for _ in 0..2 {
        assert_eq!(client.call(&idempotent_request()).status(), 200);
    }
    assert_eq!(client.call(&idempotent_request()).status(), 429);
    let new = successor.start();
    assert_eq!(new.connect().call(&idempotent_request()).status(), 429, "the bucket is full again");
}

/// A process that cannot create its control socket serves without one.
#[test]
fn unwritable_control_folder_does_not_prevent_serving() {
    let server = Server::healthy();
    let folder = TemporaryFolder::create();
    let missing = folder.path().join("missing");
    let gateway = Deployment::with_server(&server).control_folder(&missing).start();
    assert_eq!(gateway.connect().call(&idempotent_request()).status(), 200);
    gateway.terminate();
    assert!(gateway.wait().success());
}

/// The successor converts the times in the `grebehook-2` text to its own clock. A wall clock step between the
/// two starts changes neither the level of a token bucket nor its refill rate.
#[test]
fn handed_over_quota_is_unaffected_by_wall_clock_steps() {
    for (rate, faults) in [(0.001, "wall_s=3600"), (4.0, "wall_s=-3600")] {
        let server = Server::healthy();
        let folder = TemporaryFolder::create();
        let deployment = Deployment::with_server(&server).token_bucket(rate, 4.0);
        let Predecessor { process: old, successor } = Predecessor::start(deployment, &folder);
        let mut client = old.connect();
        while client.call(&idempotent_request()).status() == 200 {}
        let new = successor.faults(faults).start();
        let mut client = new.connect();
        assert_eq!(client.call(&idempotent_request()).status(), 429, "{faults}: the bucket is full again");
        if rate > 1.0 {
            let deadline = Instant::now() + Duration::from_secs(10);
            while client.call(&idempotent_request()).status() == 429 {
                assert!(Instant::now() < deadline, "{faults}: the bucket is not refilled");
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }
}

/// SIGTERM before the predecessor has answered ends the startup: a process that is about to stop must not
/// accept clients.
#[test]
fn sigterm_during_takeover_exits_without_listening() {
    let folder = TemporaryFolder::create();
    let predecessor = UnixListener::bind(folder.path().join("takeover-127.0.0.1:0")).unwrap();
    let deployment = Deployment::new(Vec::new()).control_folder(folder.path());
    let mut child = deployment.launch().spawn(&write_config(&deployment.config_text()));
    let (_unanswered, _) = predecessor.accept().unwrap();
    send_signal(&child, "-TERM");
    let mut log = String::new();
    child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(child.wait().unwrap().success());
    assert!(!log.contains("accepting clients"), "{log}");
}

/// A client leaves one of the two processes and comes again to the other with the id of its request.
#[test]
fn id_that_one_process_has_forwarded_is_not_forwarded_by_the_other() {
    let server = Server::unresponsive();
    let folder = TemporaryFolder::create();
    let Predecessor { process: old, successor } =
        Predecessor::start(Deployment::with_server(&server), &folder);
    let forward_and_leave = |mut client: Client| {
        let request = non_idempotent_request("x");
        client.write(&request);
        server.next_request_on_any_connection();
        drop(client);
        request
    };
    let before = forward_and_leave(old.connect());
    let (leaving, mut staying) = (old.connect(), old.connect());
    old.wait_until_input_read();
    let new = successor.start();
    let during = forward_and_leave(leaving);
    assert_eq!(new.connect().call(&before).status(), 409, "forwarded before the hand-over");
    assert_eq!(new.connect().call(&during).status(), 409, "forwarded during the hand-over");
    let at_successor = forward_and_leave(new.connect());
    assert_eq!(staying.call(&at_successor).status(), 409, "forwarded by the successor");
    assert!(server.unread_requests().is_empty(), "an id was forwarded twice");
    // The exchange goes on with the next successor.
    old.terminate();
    drop(staying);
    assert!(old.wait().success());
    let third = successor.start();
    assert_eq!(third.connect().call(&during).status(), 409, "forwarded by the first process");
}
