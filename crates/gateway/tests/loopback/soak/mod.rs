//! A soak: a gateway serves clients that misbehave, before servers that misbehave, under system calls that fail, clock
//! steps, hold-ups, drains and signals in series, through two lives of the process. Clients use open connections until
//! SIGKILL, which comes as early as the terms allow. The judge is the operators' terms, not what the gateway does.
//!
//! `SOAK_SEEDS=1-50` plays those seeds; without it a few are played.

mod judge;
mod peers;
mod plan;
mod record;

use crate::rig::*;
use fastrand::Rng;
use judge::judge;
use peers::{client, start_server};
use plan::{zone, Plan, SERVERS};
use record::{Life, Record};
use serde_json::{json, Value};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const DEFAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=16;
/// Seeds played side by side.
const LANES: usize = 4;
const CLIENTS: usize = 8;
const LIVES: usize = 2;
/// How long a life serves before its first signal to stop.
const SERVICE: Duration = Duration::from_millis(2_500);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline and so much more.
const KILL_GRACE: Duration = Duration::from_millis(700);

/// Changes the list, the watch, the configuration and the process while it serves.
fn trouble(
    gateway: &Gateway,
    agent: &Agent,
    config: &Value,
    record: &Record,
    servers: &[Value],
    rng: &mut Rng,
) {
    let start = Instant::now();
    while start.elapsed() < SERVICE {
        thread::sleep(Duration::from_millis(rng.u64(50..500)));
        let number = rng.usize(1..SERVERS);
        let entry = |status: &str| {
            let mut entry = servers[number].clone();
            entry["status"] = json!(status);
            entry
        };
        match rng.u8(..7) {
            0 | 1 => {
                record.drains.lock().unwrap().push((number, Instant::now(), None));
                agent.change(vec![entry("draining")]);
            }
            2 => {
                agent.change(vec![entry("ready")]);
                let mut drains = record.drains.lock().unwrap();
                let open = drains.iter_mut().filter(|drain| drain.0 == number && drain.2.is_none());
                open.for_each(|drain| drain.2 = Some(Instant::now()));
            }
            3 => agent.treat(Odd::Silence),
            4 => agent.treat(Odd::Close),
            5 => {
                let text = config.to_string();
                gateway.configure(&text[..rng.usize(..text.len())]);
                gateway.configure(&text);
            }
            _ => {
                gateway.pause();
                thread::sleep(Duration::from_millis(100));
                gateway.resume();
            }
        }
    }
}

/// Ends a process with signals in series, and with SIGKILL at the earliest.
fn end(gateway: Gateway, config: &Value, record: &Record, longest: Duration, rng: &mut Rng) {
    let told = Instant::now();
    record
        .lives
        .lock()
        .unwrap()
        .iter_mut()
        .for_each(|life| life.told_to_stop = life.told_to_stop.or(Some(told)));
    gateway.terminate();
    let killed = told + longest + KILL_GRACE;
    for _ in 0..rng.usize(..4) {
        thread::sleep(Duration::from_millis(rng.u64(..100)));
        if gateway.has_ended() {
            break;
        }
        match rng.u8(..3) {
            0 => gateway.terminate(),
            1 => gateway.interrupt(),
            _ => gateway.configure(&config.to_string()),
        }
    }
    thread::sleep(killed.saturating_duration_since(Instant::now()));
    gateway.end_or_kill();
}

/// Plays one seed and returns what the terms say against it.
fn play(seed: u64) -> Vec<String> {
    let mut rng = Rng::with_seed(seed);
    let plan = Plan::draw(&mut rng, seed);
    let record = Arc::new(Record::default());
    let servers: Vec<Value> = (0..SERVERS)
        .map(|number| {
            let address = start_server(number, record.clone(), rng.u64(..));
            entry(&format!("s-{number}"), address, zone(number), "ready")
        })
        .collect();
    let agent = Agent::start(servers.clone());
    let mut listen = "127.0.0.1:0".to_owned();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients: Vec<JoinHandle<()>> = Vec::new();
    for _ in 0..LIVES {
        let config = plan.config(&agent, &servers, &listen);
        record.lives.lock().unwrap().push(Life { started: Instant::now(), told_to_stop: None });
        let gateway = Gateway::start_under_within(&config, &plan.faults, plan.descriptors);
        listen = gateway.address.to_string();
        let _crowd: Vec<_> =
            (0..plan.crowd).map_while(|_| TcpStream::connect(gateway.address).ok()).collect();
        while clients.len() < CLIENTS {
            let (address, longest) = (gateway.address, plan.longest_deadline);
            let (record, stop, rng) = (record.clone(), stop.clone(), rng.fork());
            clients.push(thread::spawn(move || client(address, &record, &stop, rng, longest)));
        }
        trouble(&gateway, &agent, &config, &record, &servers, &mut rng);
        end(gateway, &config, &record, plan.longest_deadline, &mut rng);
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let faults = judge(&record, plan.crowd > 0);
    let (sent, receipts) = (record.sent.lock().unwrap().len(), record.receipts.lock().unwrap().len());
    eprintln!("seed {seed} ({}): {sent} requests, {receipts} receipts, {faults:?}", plan.faults);
    faults
}

/// The seeds to play, from the environment or the default.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return DEFAULT_SEEDS.collect() };
    let (from, to) = text.split_once('-').unwrap_or((&text, &text));
    (from.parse().expect("a seed")..=to.parse().expect("a seed")).collect()
}

#[test]
fn the_terms_hold_through_failing_system_calls_signals_and_bad_peers() {
    let seeds = Mutex::new(seeds().into_iter());
    let next = || seeds.lock().unwrap().next();
    let broken = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..LANES {
            scope.spawn(|| {
                while let Some(seed) = next() {
                    let faults = play(seed);
                    broken
                        .lock()
                        .unwrap()
                        .extend(faults.into_iter().map(|fault| format!("seed {seed}: {fault}")));
                }
            });
        }
    });
    let broken = broken.into_inner().unwrap();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
