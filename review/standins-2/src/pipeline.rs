//! A client that sends many requests at once on one connection.

use crate::http::Connection;
use crate::rig::{
    free_address, has_trouble, settings, start_server, Agent, Call, Folder, Gateway, GatewayConfig, Listed,
    Record, Runs, WIDE_PLAN,
};
use crate::Verdict;
use std::time::{Duration, Instant};

const REQUESTS: usize = 24;
/// Every third request is an `aktivasi` with a body of this length.
const BODY: usize = 2_048;
/// A client sends a request whose answer did not come once more, on a new connection.
const ROUNDS: usize = 2;

/// The bytes of some requests.
fn data_of(numbers: &[usize]) -> Vec<u8> {
    let mut data = Vec::new();
    for number in numbers {
        let id = format!("many{number:02}");
        let body = (number % 3 == 2).then_some(BODY);
        let class = if body.is_some() { "aktivasi" } else { "cek-status" };
        let call =
            Call { id: &id, class, plan: "distributor", customer: 7, budget_ms: 6_000, units: 1, body };
        data.extend(call.head().into_bytes());
        data.extend(vec![b'y'; body.unwrap_or(0)]);
    }
    data
}

pub fn play(record: &Record) -> Verdict {
    let folder = Folder::create();
    let tmp = folder.0.join("tmp");
    std::fs::create_dir_all(&tmp).expect("a folder");
    let runs = Runs::default();
    let servers: Vec<Listed> = (0..4)
        .map(|number| {
            let name = format!("s-{number}");
            let address = start_server(&name, &runs, record, |_| Duration::from_millis(10));
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
        memory_mb: 64,
        sockets: 512,
        known: agent.list(),
        settings: settings(WIDE_PLAN, 1),
    };
    let gateway = Gateway::start(&folder.0, &tmp, "gateway", &config);
    if !gateway.wait_ready() {
        return Verdict::NotRun;
    }
    // With the disruption all at once, else one at a time.
    let at_once = if has_trouble() { REQUESTS } else { 1 };
    let mut unanswered: Vec<usize> = (0..REQUESTS).collect();
    for round in 1..=ROUNDS {
        let mut left = Vec::new();
        let mut kept: Option<Connection> = None;
        for part in unanswered.chunks(at_once) {
            let Some(mut connection) = kept.take().or_else(|| Connection::open(gateway.listen).ok()) else {
                return Verdict::NotRun;
            };
            let data = data_of(part);
            let sent = connection.send(&data);
            record.write(&format!(
                "time {round}: sent {} requests at once, {} bytes: {sent:?}",
                part.len(),
                data.len()
            ));
            let mut rest = part.iter();
            let mut is_open = true;
            for number in rest.by_ref() {
                match connection.read_message(Instant::now() + Duration::from_secs(8)) {
                    Ok(Some(answer)) => record.write(&format!("answer many{number:02} {}", answer.status())),
                    end => {
                        record.write(&format!(
                            "the connection ended before the answer of many{number:02}: {end:?}"
                        ));
                        is_open = false;
                        left.push(*number);
                        break;
                    }
                }
            }
            left.extend(rest);
            kept = is_open.then_some(connection);
        }
        record.say(&format!(
            "time {round}: {} of {} requests sent, {} of them without an answer",
            unanswered.len(),
            REQUESTS,
            left.len()
        ));
        unanswered = left;
    }
    if unanswered.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
