//! No case: a process that replaces another while discovery is down sends to a server that the other one had been
//! told drains, since the hand-over carries no states of servers.

use review_standins::*;
use std::thread;
use std::time::{Duration, Instant};

/// The first class of the wire page's example.
const CLASSES: &str = r#"[{"aimUs":1500000,"deadlineUs":6000000,"group":"all","lateWorth":0.0,"name":"cek-status","semantics":"retryable","stream":false,"value":3.0,"windowUs":5000000}]"#;
/// Clients, each of which sends one request after the other on new connections.
const CLIENTS: usize = 6;
/// Requests of a client.
const REQUESTS: usize = 60;
/// Time from the new process's yes after which what discovery told is binding, on sockets.
const BINDING_AFTER: Duration = Duration::from_millis(2_050);

fn main() {
    let record = Record::from_arguments();
    let folder = TempFolder::create();
    let runs = Runs::default();
    let entries = ["s1", "s2", "s3"].map(|name| {
        let address = start_server(name, &runs, &record, |_| Reply::Served { work: ms(20) });
        Entry::ready(name, address, "dc-cikarang")
    });
    let agent = Agent::start(&record, entries.to_vec());
    let known = agent.known();
    let listen = free_address();
    let ops = [free_address(), free_address()];
    let config = |ops| {
        let zones = r#"["dc-cikarang"]"#;
        let plans = plan_json("kios", 1000.0, 1000.0, 0.0, 0.0, 0.0);
        let (discovery, known) = (agent.address, known.clone());
        Config { listen, discovery, ops: Some(ops), known, zones, classes: CLASSES, plans }.json()
    };
    let old = Gateway::start(&folder, "old", &config(ops[0]), listen);
    thread::sleep(ms(500));
    record.line("s1 begins to drain");
    agent.change(vec![Entry { status: "draining", ..entries[0].clone() }]);
    thread::sleep(ms(1_500));
    if has_trouble() {
        record.line("discovery is down");
        agent.set_silent(true);
    }
    thread::sleep(ms(500));
    let new = Gateway::spawn(&folder, "new", &config(ops[1]));
    let started_at = Instant::now();
    while get_status(ops[1], "/admin/health") != Some(200) {
        if started_at.elapsed() > Duration::from_secs(6) {
            could_not_run("the new process does not take clients within 6 s");
        }
        thread::sleep(ms(50));
    }
    record.line("the new process says yes; SIGTERM to the old one");
    old.signal("TERM");
    let yes_at = Instant::now();
    let clients: Vec<_> =
        (0..CLIENTS).map(|number| thread::spawn(move || play_client(listen, number))).collect();
    for client in clients {
        let _ = client.join();
    }
    drop(new);
    drop(old);
    let is_late = |run: &Run| run.server == "s1" && run.at > yes_at + BINDING_AFTER;
    let late = runs.all().iter().filter(|run| is_late(run)).count();
    record.line(format!("{late} requests to s1 more than 2.05 s after the yes"));
    finish(if late > 0 { BROKEN } else { HELD });
}

fn play_client(gateway: std::net::SocketAddr, number: usize) {
    for request in 0..REQUESTS {
        let id = format!("{number}-{request}");
        let request = ClientRequest {
            method: "GET",
            class: "cek-status",
            plan: "kios",
            customer: 7,
            id: &id,
            budget_ms: 6_000,
            units: 1,
            spread: 1,
            more: String::new(),
            body_length: 0,
        };
        let mut client = connect(gateway);
        let _ = client.write(&request.bytes());
        let _ = client.read_message();
        thread::sleep(ms(60));
    }
}
