//! Short requests while many clients send long bodies slowly.

use crate::http::Connection;
use crate::rig::{
    free_address, has_trouble, settings, spawn, start_server, Agent, Call, Folder, Gateway, GatewayConfig,
    Listed, Record, Runs, WIDE_PLAN,
};
use crate::Verdict;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Clients that send a long body at 64 kB a second.
const UPLOADS: usize = 150;
const LONG_BODY: usize = 1_500_000;
const PIECE: usize = 3_200;
const PIECE_EVERY: Duration = Duration::from_millis(50);
/// Requests with a body of 16 KiB whose clients wait for 1 s.
const PROBES: usize = 12;
const BUDGET_MS: u64 = 1_000;
/// An answer up to half a second after the client's time is late, but no loss; 50 ms for the sockets. Then the client
/// goes.
const GRACE: Duration = Duration::from_millis(550);

fn upload(record: &Record, gateway: std::net::SocketAddr, number: usize, stop: &AtomicBool) {
    let id = format!("long{number:03}");
    let Ok(mut connection) = Connection::open(gateway) else { return };
    let call = Call {
        id: &id,
        class: "aktivasi",
        plan: "distributor",
        customer: number as u64,
        budget_ms: 8_000,
        units: 1,
        body: Some(LONG_BODY),
    };
    if connection.send(call.head().as_bytes()).is_err() {
        return;
    }
    let piece = vec![b'x'; PIECE];
    let started = Instant::now();
    let mut sent = 0;
    let mut pieces = 0;
    while sent < LONG_BODY && !stop.load(Ordering::Relaxed) {
        let length = PIECE.min(LONG_BODY - sent);
        if connection.send(&piece[..length]).is_err() {
            break;
        }
        sent += length;
        pieces += 1;
        thread::sleep((started + PIECE_EVERY * pieces).saturating_duration_since(Instant::now()));
    }
    if sent < LONG_BODY && stop.load(Ordering::Relaxed) {
        return;
    }
    let answer = connection.read_message(Instant::now() + Duration::from_secs(10));
    record.write(&format!("answer {id} {:?}", answer.map(|answer| answer.map(|answer| answer.status()))));
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::create();
    let tmp = folder.0.join("tmp");
    std::fs::create_dir_all(&tmp).expect("a folder");
    let runs = Runs::default();
    let servers: Vec<Listed> = (0..8)
        .map(|number| {
            let name = format!("s-{number}");
            let address = start_server(&name, &runs, record, |_| Duration::from_millis(20));
            Listed::ready(&name, address)
        })
        .collect();
    let agent = Agent::start(&servers);
    let config = GatewayConfig {
        name: "n0".to_owned(),
        listen: free_address(),
        ops: None,
        discovery: agent.address,
        counter: None,
        memory_mb: 32,
        sockets: 1_024,
        known: agent.list(),
        settings: settings(WIDE_PLAN, 1),
    };
    let gateway = Gateway::start(&folder.0, &tmp, "gateway", &config);
    if !gateway.wait_ready() {
        return Verdict::NotRun;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut uploads = Vec::new();
    if has_trouble() {
        record.say(&format!("{UPLOADS} clients send bodies of {LONG_BODY} bytes at 64 kB a second"));
        for number in 0..UPLOADS {
            let (record, stop) = (record.clone(), stop.clone());
            let listen = gateway.listen;
            uploads.push(spawn(move || upload(&record, listen, number, &stop)));
            thread::sleep(Duration::from_millis(10));
        }
    }
    thread::sleep(Duration::from_secs(4));
    let mut lost = 0;
    let mut answered = 0;
    let probes: Vec<_> = (0..PROBES)
        .map(|number| {
            thread::sleep(Duration::from_millis(300));
            let (record, listen) = (record.clone(), gateway.listen);
            spawn(move || {
                let id = format!("short{number:02}");
                let mut connection = Connection::open(listen).ok()?;
                let call = Call {
                    id: &id,
                    class: "aktivasi",
                    plan: "distributor",
                    customer: 5_000,
                    budget_ms: BUDGET_MS,
                    units: 1,
                    body: Some(16_384),
                };
                let mut request = call.head().into_bytes();
                request.extend(vec![b'y'; 16_384]);
                connection.send(&request).ok()?;
                let written_at = Instant::now();
                record.write(&format!("sent {id}, its client waits for {BUDGET_MS} ms"));
                let answer = connection.read_message(written_at + Duration::from_millis(BUDGET_MS) + GRACE);
                let took = written_at.elapsed();
                let status = answer.ok().flatten().map(|answer| answer.status());
                record.write(&format!("answer {id} {status:?} after {} ms", took.as_millis()));
                Some((id, status, took))
            })
        })
        .collect();
    for probe in probes {
        let Ok(Some((id, status, took))) = probe.join() else { continue };
        answered += 1;
        if status.is_none() {
            lost += 1;
            record
                .say(&format!("{id}: no answer after {} ms, its time was {BUDGET_MS} ms", took.as_millis()));
        }
    }
    stop.store(true, Ordering::Relaxed);
    for upload in uploads {
        let _ = upload.join();
    }
    record.say(&format!(
        "{answered} short requests, {lost} without an answer within half a second of their time"
    ));
    match (answered, lost) {
        (0, _) => Verdict::NotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
