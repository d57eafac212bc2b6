//! The endpoint list across a hand-over: what one process was told about servers holds for the next one.
//!
//! The processes of a gateway exchange their lists over a socket `endpoints-ADDRESS` in `$TMPDIR`: a line of JSON as the
//! header of a list or change, and one line for each of its entries.

use crate::rig::accept::accept_process;
use crate::rig::client::{operator_get, Client};
use crate::rig::deployment::Deployment;
use crate::rig::discovery_agent::{DiscoveryAgent, WatchFault};
use crate::rig::endpoint::{Endpoint, EndpointStatus};
use crate::rig::files::TemporaryFolder;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::request::{idempotent_request, non_idempotent_request, with_client_timeout};
use crate::rig::server::{Reply, Server};
use crate::rig::EVENT_TIMEOUT;
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Time that a starting process waits for the list of its predecessor, with time for the rest of its start.
const LONGEST_START: Duration = Duration::from_millis(1_500);
/// Number of requests by which a test finds out which servers a process uses.
const SAMPLE_SIZE: usize = 12;
/// Time that the slower server of a pair takes for a response.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(30);
/// Requests that the quota of a test allows, in a time that it does not reach the end of.
const QUOTA: u32 = 4;
/// Number of servers of the largest fleet that the operators name.
const LARGE_FLEET: usize = 3_200;

/// Two servers that say which one they are.
struct ServerPair {
    first: Server,
    second: Server,
}

impl ServerPair {
    fn start() -> ServerPair {
        ServerPair { first: Server::responding_with("first"), second: Server::responding_with("second") }
    }

    /// Starts a pair whose second server is the slower one, so that the first one is preferred while it is ready.
    fn start_with_slow_second() -> ServerPair {
        let second = Server::start(|_| {
            thread::sleep(SLOW_RESPONSE_TIME);
            Reply::ok("second")
        });
        ServerPair { first: Server::responding_with("first"), second }
    }

    /// Returns the entry of the first server with a status.
    fn first_as(&self, status: EndpointStatus) -> Endpoint {
        Endpoint::ready("s-1", self.first.address).with_status(status)
    }

    /// Returns the changes by which only the first server is ready.
    fn only_first(&self) -> Vec<Endpoint> {
        vec![self.first_as(EndpointStatus::Ready), Endpoint::draining("s-2", self.second.address)]
    }

    /// Returns the list with both servers ready.
    fn endpoints(&self) -> Vec<Endpoint> {
        vec![self.first_as(EndpointStatus::Ready), Endpoint::ready("s-2", self.second.address)]
    }
}

/// Returns the servers that answer requests on new connections to a process, in the order of their first answer.
fn servers_used_by(process: &GatewayProcess) -> Vec<String> {
    let mut used = Vec::new();
    for _ in 0..SAMPLE_SIZE {
        let response = process.connect().call(&idempotent_request());
        assert_eq!(response.status(), 200);
        let server = String::from_utf8(response.body).unwrap();
        if !used.contains(&server) {
            used.push(server);
        }
    }
    used
}

/// Waits until a process uses only the server that says this.
fn wait_until_only_used(process: &GatewayProcess, server: &str) {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while servers_used_by(process) != [server] {
        assert!(Instant::now() < deadline, "the process does not use only the {server} server");
    }
}

/// Starts a process with its control sockets in a folder. Returns the deployment of its successors, too.
fn start_in(deployment: Deployment, folder: &TemporaryFolder) -> (GatewayProcess, Deployment) {
    let deployment = deployment.control_folder(folder.path());
    let process = deployment.start();
    let successor = deployment.listen(process.address);
    (process, successor)
}

/// Returns the path of the socket at which the gateway at an address exchanges lists.
fn exchange_path(folder: &TemporaryFolder, address: SocketAddr) -> PathBuf {
    folder.path().join(format!("endpoints-{address}"))
}

/// Guards against requests to a server that drains or is gone after an upgrade while discovery is down: the new process
/// went by the older list of its configuration.
#[test]
fn successor_knows_the_drain_that_its_predecessor_was_told() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let servers = ServerPair::start();
        let folder = TemporaryFolder::create();
        let (old, successor) = start_in(Deployment::new(servers.endpoints()), &folder);
        successor.agent.publish(vec![servers.first_as(status)]);
        successor.agent.inject(WatchFault::Down);
        let new = successor.start();
        // Only the new process is left to send requests.
        old.kill();
        assert_eq!(servers_used_by(&new), ["second"], "{status:?}");
    }
}

/// Guards against servers that joined before an upgrade and are unknown to the new process while discovery is down.
#[test]
fn successor_uses_the_servers_that_its_predecessor_was_told_of() {
    let servers = ServerPair::start();
    let folder = TemporaryFolder::create();
    let (old, successor) = start_in(Deployment::new(vec![servers.first_as(EndpointStatus::Ready)]), &folder);
    successor.agent.publish(vec![
        Endpoint::ready("s-2", servers.second.address),
        servers.first_as(EndpointStatus::Removed),
    ]);
    successor.agent.inject(WatchFault::Down);
    let new = successor.start();
    old.kill();
    assert_eq!(servers_used_by(&new), ["second"]);
}

/// Guards against a list that is lost at the second of two upgrades during the same outage of discovery.
#[test]
fn list_passes_through_replacements_in_series() {
    let servers = ServerPair::start();
    let folder = TemporaryFolder::create();
    let (first, successor) = start_in(Deployment::new(servers.endpoints()), &folder);
    successor.agent.publish(vec![servers.first_as(EndpointStatus::Draining)]);
    successor.agent.inject(WatchFault::Down);
    let second = successor.start();
    first.terminate();
    assert!(first.wait().success());
    let third = successor.start();
    second.terminate();
    assert!(second.wait().success());
    assert_eq!(servers_used_by(&third), ["second"]);
    // What discovery tells at its return goes before all that was handed over.
    successor.agent.restore();
    successor.agent.publish(servers.only_first());
    wait_until_only_used(&third, "first");
}

/// Guards against an upgrade after one whose new process was killed: the old process serves on, but the sockets at which
/// its next successor finds it had been replaced, so that neither quotas nor the list nor the listener were handed over.
#[test]
fn predecessor_hands_over_again_after_its_successor_was_killed() {
    let servers = ServerPair::start();
    let folder = TemporaryFolder::create();
    let deployment =
        Deployment::new(servers.endpoints()).token_bucket(0.001, QUOTA as f64).operator_interface();
    let (old, successor) = start_in(deployment, &folder);
    let old_operators = old.operator_address();
    let killed = successor.start();
    killed.kill();
    old.wait_for_log("continuing to accept clients");
    let mut client = old.connect();
    let is_refused = |client: &mut Client| client.call(&idempotent_request()).status() == 429;
    assert!((0..=QUOTA).any(|_| is_refused(&mut client)), "the quota is not spent");
    let third = successor.start();
    assert!(is_refused(&mut third.connect()), "the quota of the predecessor is granted again");
    let accepts = |operators| operator_get(operators, "/admin/health").status() == 200;
    assert!(accepts(third.operator_address()));
    assert!(!accepts(old_operators), "two processes accept clients");
}

/// Guards against the first process of a series that accepts clients beside the third one once the second has ended, takes
/// its successor from it, and shuts down their common listener at its end.
#[test]
fn first_process_of_a_series_leaves_the_clients_to_the_third() {
    for is_stopped in [true, false] {
        let servers = ServerPair::start();
        let folder = TemporaryFolder::create();
        let (first, successor) = start_in(Deployment::new(servers.endpoints()).operator_interface(), &folder);
        let operators = first.operator_address();
        let second = successor.start();
        let third = successor.start();
        if is_stopped {
            second.terminate();
            assert!(second.wait().success());
        } else {
            second.kill();
        }
        first.wait_for_log("the successor has been replaced in turn");
        assert_eq!(operator_get(operators, "/admin/health").status(), 503);
        first.terminate();
        assert!(first.wait().success());
        successor.agent.publish(vec![servers.first_as(EndpointStatus::Draining)]);
        successor.agent.inject(WatchFault::Down);
        let fourth = successor.start();
        third.kill();
        assert_eq!(servers_used_by(&fourth), ["second"]);
    }
}

/// Guards against a series whose last process is killed while the first one, which has to resume, waits for another.
#[test]
fn first_process_of_a_series_resumes_when_the_others_have_ended() {
    let servers = ServerPair::start_with_slow_second();
    let folder = TemporaryFolder::create();
    let (first, successor) = start_in(Deployment::new(servers.endpoints()), &folder);
    let second = successor.start();
    let third = successor.start();
    second.kill();
    first.wait_for_log("the successor has been replaced in turn");
    third.kill();
    first.wait_for_log("continuing to accept clients");
    successor.agent.publish(vec![servers.first_as(EndpointStatus::Draining)]);
    successor.agent.inject(WatchFault::Down);
    let fourth = successor.start();
    first.kill();
    assert_eq!(servers_used_by(&fourth), ["second"]);
}

/// Guards against a drain that is told to one process only, since the other one's agent is down: the rules see one
/// gateway. Both processes send requests, the predecessor on the connections that its clients keep.
#[test]
fn drain_told_after_the_handover_reaches_the_other_process() {
    for is_told_to_predecessor in [true, false] {
        let servers = ServerPair::start_with_slow_second();
        let folder = TemporaryFolder::create();
        let (old, successor) = start_in(Deployment::new(servers.endpoints()), &folder);
        let mut kept = old.connect();
        assert_eq!(kept.call(&idempotent_request()).status(), 200);
        let old_agent = successor.agent.clone();
        let new_agent = DiscoveryAgent::start(servers.endpoints());
        let (told, silent) =
            if is_told_to_predecessor { (&old_agent, &new_agent) } else { (&new_agent, &old_agent) };
        let successor = successor.set("/discovery", new_agent.address.to_string());
        if is_told_to_predecessor {
            silent.fail_silently();
        }
        let new = successor.start();
        if !is_told_to_predecessor {
            silent.inject(WatchFault::Down);
        }
        told.publish(vec![servers.first_as(EndpointStatus::Draining)]);
        wait_until_only_used(&new, "second");
        let deadline = Instant::now() + EVENT_TIMEOUT;
        let mut in_row = 0;
        while in_row < SAMPLE_SIZE {
            assert!(Instant::now() < deadline, "the predecessor still uses the first server");
            let is_second = kept.call(&idempotent_request()).body == b"second";
            in_row = if is_second { in_row + 1 } else { 0 };
        }
    }
}

/// Guards against a hand-over that takes the successor back to an older list than its configuration has.
#[test]
fn newer_list_of_the_configuration_is_kept() {
    let servers = ServerPair::start();
    let folder = TemporaryFolder::create();
    let (old, successor) = start_in(Deployment::new(servers.endpoints()), &folder);
    successor.agent.publish(vec![servers.first_as(EndpointStatus::Draining)]);
    successor.agent.inject(WatchFault::Down);
    // The server has come back since; the predecessor, which is cut off, does not know.
    let known = serde_json::to_value(servers.only_first()).unwrap();
    let new = successor.set("/known/index", 3).set("/known/endpoints", known).start();
    old.kill();
    assert_eq!(servers_used_by(&new), ["first"]);
}

/// Guards against the older list of the configuration being taken for the newer one after a reload to another agent,
/// whose versions are lower.
#[test]
fn list_of_a_reloaded_predecessor_goes_before_an_older_list_of_the_configuration() {
    let servers = ServerPair::start();
    let folder = TemporaryFolder::create();
    let (old, successor) = start_in(Deployment::new(servers.endpoints()).set("/known/index", 41), &folder);
    let agent = DiscoveryAgent::start(servers.endpoints());
    let successor = successor.set("/discovery", agent.address.to_string());
    old.reload_with(&successor.config_text());
    agent.wait_until_watched();
    agent.publish(vec![servers.first_as(EndpointStatus::Draining)]);
    agent.inject(WatchFault::Down);
    let new = successor.start();
    old.kill();
    assert_eq!(servers_used_by(&new), ["second"]);
}

/// Guards against a planned restart whose new process starts while the old one is still answering, and goes by an older
/// list.
#[test]
fn process_that_is_shutting_down_still_tells_its_list() {
    let servers = ServerPair::start();
    let hung = Server::unresponsive();
    let mut endpoints = servers.endpoints();
    endpoints.push(Endpoint::ready("s-3", hung.address));
    let folder = TemporaryFolder::create();
    let (old, successor) = start_in(Deployment::new(endpoints).all_deadlines_us(20_000_000), &folder);
    let mut busy: Vec<_> = (0..SAMPLE_SIZE).map(|_| old.connect()).collect();
    for client in &mut busy {
        client.write(&with_client_timeout(&non_idempotent_request("in flight"), 20_000));
    }
    hung.next_request();
    successor
        .agent
        .publish(vec![servers.first_as(EndpointStatus::Draining), Endpoint::draining("s-3", hung.address)]);
    successor.agent.inject(WatchFault::Down);
    old.terminate();
    old.wait_for_log("no longer accepting clients");
    let new = successor.start();
    assert!(!old.has_exited(), "the old process ended before the new one had started");
    assert_eq!(servers_used_by(&new), ["second"]);
}

/// What a predecessor may send instead of its list.
fn malformed_lists() -> Vec<(&'static str, String)> {
    let header = |agent: &str, count: usize| {
        json!({"agent": agent, "version": 9, "newest_version": 9, "origin": "discovery",
            "base_version": null, "endpoint_count": count})
        .to_string()
    };
    let valid = header("127.0.0.1:1", 1);
    let too_many = header("127.0.0.1:1", 1_000_000_000);
    vec![
        ("nothing", String::new()),
        ("no JSON", "grebehook-2\nclock 7\n".to_owned()),
        ("a later version", "{\"format\":9}\n".to_owned()),
        ("a header that is cut off", valid[..valid.len() / 2].to_owned()),
        ("entries that are cut off", format!("{valid}\n{{\"id\":1,\"addr")),
        ("an entry without fields", format!("{valid}\n{{}}\n")),
        ("an invalid agent", header("nowhere", 0) + "\n"),
        ("a billion entries", format!("{too_many}\n{}", "{}\n".repeat(100))),
        ("an endless line", "x".repeat(1 << 20)),
    ]
}

/// Guards against a start that fails, or a request that is lost, for what a predecessor of another version or one in
/// trouble sends.
#[test]
fn malformed_or_cut_off_list_costs_no_start_and_no_request() {
    for (name, text) in malformed_lists() {
        for stays_open in [true, false] {
            let servers = ServerPair::start();
            let folder = TemporaryFolder::create();
            let deployment = Deployment::new(servers.endpoints()).control_folder(folder.path());
            let listener =
                UnixListener::bind(exchange_path(&folder, "127.0.0.1:0".parse().unwrap())).unwrap();
            let text = text.clone();
            let predecessor = thread::spawn(move || {
                let mut stream = accept_process(&listener);
                let _ = stream.write_all(text.as_bytes());
                stays_open.then_some(stream)
            });
            let started_at = Instant::now();
            let process = deployment.start();
            let elapsed = started_at.elapsed();
            assert!(elapsed < LONGEST_START, "{name}: {elapsed:?}");
            servers_used_by(&process);
            drop(predecessor.join().unwrap());
            deployment.agent.publish(servers.only_first());
            wait_until_only_used(&process, "first");
        }
    }
}

/// Guards against a predecessor that is held up by a successor which sends nonsense, or does not read.
#[test]
fn misbehaving_successor_does_not_hold_up_the_predecessor() {
    let servers = ServerPair::start();
    let folder = TemporaryFolder::create();
    let (old, successor) = start_in(Deployment::new(servers.endpoints()), &folder);
    let path = exchange_path(&folder, old.address);
    let mut silent: Vec<UnixStream> = (0..4).map(|_| UnixStream::connect(&path).unwrap()).collect();
    for (_, text) in malformed_lists() {
        let mut stream = UnixStream::connect(&path).unwrap();
        let _ = stream.write_all(text.as_bytes());
    }
    for number in 0..40 {
        let status = if number % 2 == 0 { EndpointStatus::Draining } else { EndpointStatus::Ready };
        successor.agent.publish(vec![servers.first_as(status)]);
        assert_eq!(old.connect().call(&idempotent_request()).status(), 200);
    }
    successor.agent.publish(servers.only_first());
    assert_eq!(servers_used_by(&old), ["first"]);
    // The one that reads late finds the list of its connection and the changes since.
    let mut first_line = String::new();
    BufReader::new(silent.remove(0)).read_line(&mut first_line).unwrap();
    assert!(first_line.contains("\"endpoint_count\":2"), "{first_line}");
    successor.agent.inject(WatchFault::Down);
    let new = successor.start();
    old.kill();
    assert_eq!(servers_used_by(&new), ["first"]);
}

/// Guards against a list that is too long to be handed over in time, at the least memory.
#[test]
fn list_of_the_largest_fleet_is_handed_over_at_the_least_memory() {
    let server = Server::start(|_| Reply::ok("done"));
    let drained = Server::responding_with("drained");
    let endpoint = |number: usize, address| Endpoint::ready(format!("s-{number}"), address);
    let mut endpoints: Vec<Endpoint> =
        (1..LARGE_FLEET).map(|number| endpoint(number, server.address)).collect();
    endpoints.push(endpoint(0, drained.address));
    let folder = TemporaryFolder::create();
    let (old, successor) = start_in(Deployment::new(endpoints).least_memory(), &folder);
    let changed = (0..LARGE_FLEET / 2).map(|number| {
        let address = if number == 0 { drained.address } else { server.address };
        endpoint(number, address).with_status(EndpointStatus::Draining)
    });
    successor.agent.publish(changed.collect());
    successor.agent.inject(WatchFault::Down);
    let new = successor.start();
    new.wait_for_log("limits of this process");
    old.kill();
    for _ in 0..SAMPLE_SIZE {
        assert_eq!(new.connect().call(&idempotent_request()).status(), 200);
    }
    assert!(drained.unread_requests().is_empty(), "a server that drains got a request");
    let mut rest = String::new();
    let mut stream = UnixStream::connect(exchange_path(&folder, new.address)).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    let _ = stream.read_to_string(&mut rest);
    assert!(rest.lines().next().unwrap().contains(&format!("\"endpoint_count\":{LARGE_FLEET}")));
    assert_eq!(rest.matches("\"draining\"").count(), LARGE_FLEET / 2);
}
