//! Case: while a gateway's process is replaced, the old and the new process both spend the store of a
//! customer's ceiling.

use review_standins::*;
use std::thread;
use std::time::{Duration, Instant};

/// The first class of the wire page's example.
const CLASSES: &str = r#"[{"aimUs":1500000,"deadlineUs":6000000,"group":"all","lateWorth":0.0,"name":"cek-status","semantics":"retryable","stream":false,"value":3.0,"windowUs":5000000}]"#;
/// Units per second that fill the ceiling's store.
const CEILING_RATE: f64 = 4.0;
/// Units that the ceiling's store holds.
const CEILING_DEPTH: f64 = 40.0;
/// Units by which the store may fall below 0: a tenth of what it holds.
const TOLERANCE: f64 = 4.0;
/// Time in which the gateway's own share of the store fills after its start.
const FILL: Duration = Duration::from_secs(14);
/// Interval at which the platform asks the new process whether it takes clients.
const HEALTH_INTERVAL_MS: u64 = 1_000;
/// Time from the start of the new process to the customer's spike.
const SPIKE_AFTER_MS: u64 = 300;
/// Clients that keep a connection from before the replacement, and as many that connect after it.
const CLIENTS: usize = 4;
/// Requests of one client, one after the other.
const REQUESTS: usize = 25;

fn main() {
    let record = Record::from_arguments();
    let folder = TempFolder::create();
    let runs = Runs::default();
    let entries: Vec<Entry> = (1..=3)
        .map(|number| {
            let name = format!("s{number}");
            let address = start_server(&name, &runs, &record, |_| Reply::Served { work: ms(20) });
            Entry::ready(&name, address, "dc-cikarang")
        })
        .collect();
    let agent = Agent::start(&record, entries);
    let listen = free_address();
    let ops = [free_address(), free_address()];
    let config = |ops| {
        let plans = plan_json("kios", 100.0, 200.0, CEILING_RATE, CEILING_DEPTH, TOLERANCE);
        let zones = r#"["dc-cikarang"]"#;
        let (discovery, known) = (agent.address, agent.known());
        Config { listen, discovery, ops: Some(ops), known, zones, classes: CLASSES, plans }.json()
    };
    let old = Gateway::start(&folder, "old", &config(ops[0]), listen);
    thread::sleep(FILL);
    let mut kept: Vec<Connection> = (0..CLIENTS).map(|_| connect(listen)).collect();
    for (number, client) in kept.iter_mut().enumerate() {
        call(&record, client, &format!("early-{number}"));
    }
    thread::sleep(ms(1_500));
    let new = has_trouble().then(|| {
        record.line("the new process starts");
        Gateway::spawn(&folder, "new", &config(ops[1]))
    });
    let started_at = Instant::now();
    thread::sleep(ms(SPIKE_AFTER_MS));
    record.line("the customer's spike begins");
    let connected: Vec<Connection> = (0..CLIENTS).map(|_| connect(listen)).collect();
    let groups = [("kept", kept), ("connected", connected)];
    let clients: Vec<_> = groups
        .into_iter()
        .flat_map(|(group, clients)| clients.into_iter().enumerate().map(move |client| (group, client)))
        .map(|(group, (number, mut client))| {
            let record = record.clone();
            thread::spawn(move || {
                let call = |request| call(&record, &mut client, &format!("{group}-{number}-{request}"));
                (0..REQUESTS).all(call)
            })
        })
        .collect();
    if new.is_some() {
        loop {
            thread::sleep(ms(HEALTH_INTERVAL_MS).saturating_sub(started_at.elapsed()));
            if get_status(ops[1], "/admin/health") == Some(200) {
                break;
            }
            if started_at.elapsed() > Duration::from_secs(6) {
                could_not_run("the new process does not take clients within 6 s");
            }
            thread::sleep(ms(HEALTH_INTERVAL_MS));
        }
        record.line("the new process says yes; SIGTERM to the old one");
        old.signal("TERM");
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(200));
    drop(new);
    drop(old);
    let lowest = lowest_level(&runs.all());
    record.line(format!("the store fell to {lowest:.1} units; the settings allow -{TOLERANCE}"));
    // On sockets every time limit is 50 ms longer.
    let is_broken = lowest < -TOLERANCE - 0.05 * CEILING_RATE;
    finish(if is_broken { BROKEN } else { HELD });
}

/// Returns the lowest level of the ceiling's store, which starts full; each request takes a unit as its first
/// attempt has come whole to a server.
fn lowest_level(runs: &[Run]) -> f64 {
    let Some(first) = runs.first() else { could_not_run("no request reached a server") };
    let (mut level, mut lowest, mut last) = (CEILING_DEPTH, CEILING_DEPTH, first.at);
    for run in runs {
        let filled = level + run.at.saturating_duration_since(last).as_secs_f64() * CEILING_RATE;
        level = filled.min(CEILING_DEPTH) - 1.0;
        lowest = lowest.min(level);
        last = run.at;
    }
    lowest
}

/// Sends a request of one unit and waits for its answer. Returns whether the connection goes on.
fn call(record: &Record, client: &mut Connection, id: &str) -> bool {
    let request = ClientRequest {
        method: "GET",
        class: "cek-status",
        plan: "kios",
        customer: 9,
        id,
        budget_ms: 3_000,
        units: 1,
        spread: 1,
        more: String::new(),
        body_length: 0,
    };
    if client.write(&request.bytes()).is_err() {
        return false;
    }
    let answer =
        client.read_message().map(|answer| (answer.status(), answer.header("connection") == "close"));
    record.line(format!("client gets {answer:?} for {id}"));
    answer.is_ok_and(|(_, closes)| !closes)
}
