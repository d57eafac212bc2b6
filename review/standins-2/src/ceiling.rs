//! Customers press against their ceiling while the gateway's process is replaced.

use crate::http::Connection;
use crate::rig::{
    free_address, get, has_trouble, settings, spawn, start_server, Agent, Call, Folder, Gateway,
    GatewayConfig, Listed, Record, Runs, SIGTERM,
};
use crate::Verdict;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The ceiling of the plan, twice its quota: the store that all processes share.
const RATE: f64 = 40.0;
const BURST: f64 = 78.0;
const SLACK: f64 = 8.0;
const PLAN: &str = "{\"ceilingRate\":40.0,\"concurrency\":0,\"depth\":39.0,\"excessCost\":0.0,\"excessWorth\":0.3,\"name\":\"distributor\",\"neverOverDepth\":78.0,\"rate\":20.0,\"tolerance\":8.0,\"valueFactor\":1.4}";
/// What the judge allows beyond the rule: 50 ms of the rate, and a request.
const TOLERANCE: f64 = 6.0;

/// Customers, each of which has one spike of 3 s with 33 requests of 4 units a second: 6.6 times its quota.
const CUSTOMERS: u64 = 10;
const SPIKE_REQUESTS: u32 = 99;
const EVERY: Duration = Duration::from_millis(30);
const UNITS: u32 = 4;
/// The first spikes begin before the upgrade, the last ones after it.
const BETWEEN_SPIKES: Duration = Duration::from_millis(150);
const UPGRADE_AFTER: Duration = Duration::from_millis(700);
/// How often the platform asks whether the new process takes clients.
const ASKED_EVERY: Duration = Duration::from_millis(500);

/// The connections that the clients keep.
type Kept = Arc<Mutex<Vec<Connection>>>;

/// Sends a request, and once more on a new connection if the gateway closes the connection before its answer.
fn request(record: &Record, gateway: SocketAddr, kept: Option<&Kept>, customer: u64, id: &str) {
    let mut connection = kept.and_then(|kept| kept.lock().unwrap().pop());
    for _ in 0..2 {
        let Some(mut open) = connection.take().or_else(|| Connection::open(gateway).ok()) else { continue };
        let call = Call {
            id,
            class: "cek-status",
            plan: "distributor",
            customer,
            budget_ms: 4_000,
            units: UNITS,
            body: None,
        };
        let sent = open.send(call.head().as_bytes());
        match sent.and_then(|()| open.read_message(Instant::now() + Duration::from_secs(5))) {
            Ok(Some(answer)) => {
                record.write(&format!("answer {id} {}", answer.status()));
                if let Some(kept) = kept.filter(|_| answer.header("connection") != Some("close")) {
                    kept.lock().unwrap().push(open);
                }
                return;
            }
            Ok(None) | Err(_) => record.write(&format!("closed before the answer of {id}")),
        }
    }
}

/// Returns the lowest level that a customer's store had.
fn lowest_level(arrivals: &[(Instant, f64)]) -> f64 {
    let mut level = BURST;
    let mut lowest = level;
    let mut last = arrivals.first().map(|(at, _)| *at);
    for (at, units) in arrivals {
        let elapsed = last.map_or(0.0, |last| at.duration_since(last).as_secs_f64());
        level = (level + elapsed * RATE).min(BURST) - units;
        last = Some(*at);
        lowest = f64::min(lowest, level);
    }
    lowest
}

/// Plays the spike of one customer: every other request on a kept connection, the others on new ones.
fn spike(record: &Record, gateway: SocketAddr, kept: &Kept, customer: u64, begin: Instant) {
    thread::sleep(begin.saturating_duration_since(Instant::now()));
    record.write(&format!("spike of customer {customer:x}"));
    let mut requests = Vec::new();
    for number in 0..SPIKE_REQUESTS {
        let (record, kept) = (record.clone(), kept.clone());
        requests.push(spawn(move || {
            let id = format!("c{customer:02}r{number:02}");
            let kept = Some(&kept).filter(|_| number % 2 == 0);
            request(&record, gateway, kept, customer, &id);
        }));
        thread::sleep((begin + EVERY * (number + 1)).saturating_duration_since(Instant::now()));
    }
    for request in requests {
        let _ = request.join();
    }
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::create();
    let tmp = folder.0.join("tmp");
    std::fs::create_dir_all(&tmp).expect("a folder");
    let runs = Runs::default();
    let servers: Vec<Listed> = (0..4)
        .map(|number| {
            let name = format!("s-{number}");
            let address = start_server(&name, &runs, record, |_| Duration::from_millis(2));
            Listed::ready(&name, address)
        })
        .collect();
    let agent = Agent::start(&servers);
    let listen = free_address();
    let config = |ops| GatewayConfig {
        name: "n0".to_owned(),
        listen,
        ops: Some(ops),
        discovery: agent.address,
        counter: None,
        memory_mb: 64,
        sockets: 512,
        known: agent.list(),
        settings: settings(PLAN, 1),
    };
    let mut old = Gateway::start(&folder.0, &tmp, "old", &config(free_address()));
    if !old.wait_ready() {
        return Verdict::NotRun;
    }
    record.say("the gateway serves");
    thread::sleep(Duration::from_secs(4));

    // Each customer has sent a request before its spike, and the clients keep connections.
    let kept = Kept::default();
    let opened: Vec<Connection> = (0..40).filter_map(|_| Connection::open(listen).ok()).collect();
    for (number, mut connection) in opened.into_iter().enumerate() {
        let id = format!("first{number:02}");
        let customer = number as u64 % CUSTOMERS;
        let call = Call {
            id: &id,
            class: "cek-status",
            plan: "distributor",
            customer,
            budget_ms: 4_000,
            units: 1,
            body: None,
        };
        let sent = connection.send(call.head().as_bytes());
        if sent.and_then(|()| connection.read_message(Instant::now() + Duration::from_secs(5))).is_ok() {
            kept.lock().unwrap().push(connection);
        }
    }
    thread::sleep(Duration::from_secs(2));

    let started = Instant::now();
    let customers: Vec<_> = (0..CUSTOMERS)
        .map(|customer| {
            let (record, kept) = (record.clone(), kept.clone());
            spawn(move || spike(&record, listen, &kept, customer, started + BETWEEN_SPIKES * customer as u32))
        })
        .collect();

    thread::sleep(UPGRADE_AFTER);
    let mut new = None;
    let mut signalled_at = Instant::now();
    if has_trouble() {
        let ops = free_address();
        record.say("the platform starts the new process beside the old one");
        new = Some(Gateway::start(&folder.0, &tmp, "new", &config(ops)));
        let asked_from = Instant::now();
        loop {
            thread::sleep(ASKED_EVERY);
            if get(ops, "/admin/health", 1_000) == Some(200) {
                break;
            }
            if asked_from.elapsed() > Duration::from_secs(6) {
                return Verdict::NotRun;
            }
        }
        record.say("the new process says yes: SIGTERM to the old one");
        old.signal(SIGTERM);
        signalled_at = Instant::now();
    }
    for customer in customers {
        let _ = customer.join();
    }
    if new.is_some() {
        // SIGKILL comes no sooner than 3.7 s after SIGTERM.
        thread::sleep(
            (signalled_at + Duration::from_millis(3_700)).saturating_duration_since(Instant::now()),
        );
        old.kill();
    }

    let mut arrivals = runs.all();
    arrivals.sort_by_key(|run| run.at);
    let mut by_customer: BTreeMap<String, Vec<(Instant, f64)>> = BTreeMap::new();
    let mut seen = BTreeSet::new();
    for run in &arrivals {
        // The first send of every id takes its units.
        if seen.insert(run.id.clone()) {
            by_customer.entry(run.customer.clone()).or_default().push((run.at, run.units));
        }
    }
    let mut broken = 0;
    for (customer, arrivals) in &by_customer {
        let lowest = lowest_level(arrivals);
        record.say(&format!(
            "customer {customer}: {} sent on, the store fell to {lowest:.1} (allowed: -{SLACK})",
            arrivals.len()
        ));
        broken += u32::from(lowest < -SLACK - TOLERANCE);
    }
    record.say(&format!("{} customers, {broken} past their ceiling", by_customer.len()));
    match (by_customer.len(), broken) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
