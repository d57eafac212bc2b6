//! The gateway's process is replaced while discovery is down, after it was told that a server drains.

use crate::http::Connection;
use crate::rig::{
    free_address, get, has_trouble, settings, spawn, start_server, wait_for, Agent, Call, Folder, Gateway,
    GatewayConfig, Listed, Record, Runs, SIGTERM, WIDE_PLAN,
};
use crate::Verdict;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Discovery is down for so long.
const OUTAGE: Duration = Duration::from_secs(8);
/// What discovery tells binds 2 s after the yes of the new process; then a drain has 1 s, and sockets 50 ms.
const BINDING: Duration = Duration::from_millis(3_050);
/// How often the platform asks whether the new process takes clients.
const ASKED_EVERY: Duration = Duration::from_millis(500);
const REQUEST_EVERY: Duration = Duration::from_millis(10);

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::create();
    let tmp = folder.0.join("tmp");
    std::fs::create_dir_all(&tmp).expect("a folder");
    let runs = Runs::default();
    let servers: Vec<Listed> = (0..5)
        .map(|number| {
            let name = format!("s-{number}");
            let address = start_server(&name, &runs, record, |_| Duration::from_millis(60));
            Listed::ready(&name, address)
        })
        .collect();
    let agent = Agent::start(&servers);
    // The list that the platform last saw, which may be old.
    let known = agent.list();
    let listen = free_address();
    let config = |ops| GatewayConfig {
        name: "n0".to_owned(),
        listen,
        ops: Some(ops),
        discovery: agent.address,
        counter: None,
        memory_mb: 64,
        sockets: 512,
        known: known.clone(),
        settings: settings(WIDE_PLAN, 1),
    };
    let old = Gateway::start(&folder.0, &tmp, "old", &config(free_address()));
    if !old.wait_ready() {
        return Verdict::NotRun;
    }

    // Clients send a request every 10 ms, each on a connection of its own.
    let stop = Arc::new(AtomicBool::new(false));
    let clients = {
        let (record, stop) = (record.clone(), stop.clone());
        spawn(move || {
            let mut requests = Vec::new();
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let record = record.clone();
                requests.push(spawn(move || {
                    let id = format!("r{number:04}");
                    let call = Call {
                        id: &id,
                        class: "cek-status",
                        plan: "distributor",
                        customer: number % 20,
                        budget_ms: 3_000,
                        units: 1,
                        body: None,
                    };
                    let Ok(mut connection) = Connection::open(listen) else { return };
                    let sent = connection.send(call.head().as_bytes());
                    let answer =
                        sent.and_then(|()| connection.read_message(Instant::now() + Duration::from_secs(4)));
                    let status = answer.ok().flatten().map(|answer| answer.status());
                    record.write(&format!("answer {id} {status:?}"));
                }));
                thread::sleep(REQUEST_EVERY);
            }
            for request in requests {
                let _ = request.join();
            }
        })
    };
    thread::sleep(Duration::from_secs(1));

    record.say("discovery tells that s-0 drains");
    let mut entry = servers[0].clone();
    entry.status = "draining";
    agent.change(entry);
    let told_at = Instant::now();
    thread::sleep(Duration::from_secs(3));
    let later =
        |since: Instant| runs.all().iter().filter(|run| run.server == "s-0" && run.at > since).count();
    let by_old = later(told_at + Duration::from_millis(1_050));
    record.say(&format!("the old process sent {by_old} requests to s-0 more than 1.05 s after that"));

    if has_trouble() {
        record.say("discovery is down");
        agent.set_silent(true);
    }
    let down_at = Instant::now();
    let ops = free_address();
    record.say("the platform starts the new process beside the old one");
    let _new = Gateway::start(&folder.0, &tmp, "new", &config(ops));
    let said_yes = wait_for(Duration::from_secs(6), || {
        thread::sleep(ASKED_EVERY);
        get(ops, "/admin/health", 1_000) == Some(200)
    });
    if !said_yes {
        return Verdict::NotRun;
    }
    let yes_at = Instant::now();
    record.say("the new process says yes: SIGTERM to the old one");
    old.signal(SIGTERM);
    thread::sleep((down_at + OUTAGE).saturating_duration_since(Instant::now()));
    let late = later(yes_at + BINDING);
    record.say("discovery is up");
    agent.set_silent(false);
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    record.say(&format!(
        "{late} requests came to s-0 more than 3.05 s after the yes and before discovery was up again"
    ));
    if late > 0 || by_old > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
