//! Case: a keyed request is repeated outside its group once the list no longer has its first server.

use review_standins::*;
use std::collections::BTreeSet;
use std::thread;
use std::time::Instant;

/// One class of requests: keyed, repeats dropped by the servers of one zone, within 4 s.
const CLASSES: &str = r#"[{"aimUs":1500000,"deadlineUs":5000000,"group":"zone","lateWorth":0.0,"name":"slot-lookup","semantics":"dedup","stream":false,"value":1.0,"windowUs":4000000}]"#;
/// Number of long requests, one after the other.
const ROUNDS: usize = 5;

fn request(id: &str) -> ClientRequest<'_> {
    ClientRequest {
        method: "POST",
        class: "slot-lookup",
        plan: "clinic",
        customer: 7,
        id,
        budget_ms: 5_000,
        units: 1,
        spread: 1,
        more: format!("Idempotency-Key: key-{id}\r\n"),
        body_length: 200,
    }
}

fn main() {
    let record = Record::from_arguments();
    let folder = TempFolder::create();
    let runs = Runs::default();
    let trouble = has_trouble();
    let mut broken = 0;
    for round in 0..ROUNDS {
        broken += usize::from(play(&record, &folder, &runs, round, trouble));
    }
    record.line(format!("{broken} of {ROUNDS} requests ran outside the group of their first server"));
    finish(if broken > 0 { BROKEN } else { HELD });
}

/// Plays one deployment with one long request. Returns whether the rule was broken.
fn play(record: &Record, folder: &TempFolder, runs: &Runs, round: usize, trouble: bool) -> bool {
    // TROUBLE=resets plays the resets alone, without the change of the list.
    let drains = std::env::var("TROUBLE").map_or(true, |value| value != "resets");
    let long = format!("long-{round}");
    let names = [("a1", "room-a"), ("a2", "room-a"), ("b1", "room-b"), ("b2", "room-b")];
    let entries: Vec<Entry> = names
        .iter()
        .map(|(name, zone)| {
            let counted = runs.clone();
            let address = start_server(name, runs, record, move |request| {
                let id = request.header("x-call-id");
                match (id.starts_with("long"), counted.of(id).len()) {
                    (false, _) => Reply::Served { work: ms(20) },
                    (true, 1) if trouble => Reply::Ends { after: ms(500) },
                    (true, 2) if trouble => Reply::Ends { after: ms(800) },
                    (true, _) => Reply::Served { work: ms(400) },
                }
            });
            Entry::ready(name, address, zone)
        })
        .collect();
    let agent = Agent::start(record, entries.clone());
    let listen = free_address();
    let config = Config {
        listen,
        discovery: agent.address,
        ops: None,
        known: agent.known(),
        zones: r#"["room-a","room-b"]"#,
        classes: CLASSES,
        plans: plan_json("clinic", 100.0, 100.0, 0.0, 0.0, 0.0),
    };
    let gateway = Gateway::start(folder, &format!("gateway-{round}"), &config.json(), listen);
    let mut client = connect(listen);
    for number in 0..12 {
        let id = format!("short-{round}-{number}");
        client.write(&request(&id).bytes()).unwrap();
        let status = client.read_message().map(|answer| answer.status()).unwrap_or(0);
        if status != 200 {
            could_not_run(&format!("{id} was answered {status}"));
        }
    }
    record.line(format!("client sends {long}"));
    let sent_at = Instant::now();
    client.write(&request(&long).bytes()).unwrap();
    let first = runs.wait_for(&long, 1, ms(1_000));
    let Some(first) = first.first() else { could_not_run("the long request reached no server") };
    if trouble && drains {
        thread::sleep(ms(200));
        let left: Vec<Entry> = entries.iter().filter(|entry| entry.name != first.server).cloned().collect();
        record.line(format!("{} begins to drain: the whole list leaves it out", first.server));
        agent.replace(left);
    }
    let answer = client.read_message().map(|answer| answer.status()).unwrap_or(0);
    record.line(format!("client gets {answer} for {long} after {} ms", sent_at.elapsed().as_millis()));
    thread::sleep(ms(100));
    drop(gateway);
    let zone_of = |server: &str| names.iter().find(|(name, _)| *name == server).map(|(_, zone)| *zone);
    let zones: BTreeSet<_> = runs.of(&long).iter().map(|run| zone_of(&run.server)).collect();
    record.line(format!(
        "{long} ran at {:?}",
        runs.of(&long).iter().map(|run| &run.server).collect::<Vec<_>>()
    ));
    zones.len() > 1
}
