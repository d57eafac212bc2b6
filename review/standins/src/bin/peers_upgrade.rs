//! No case, an entry of issue 20 (point 6): a gateway with peers cannot be replaced beside itself.

use review_standins::*;
use std::net::UdpSocket;
use std::thread;
use std::time::{Duration, Instant};

/// The first class of the wire page's example.
const CLASSES: &str = r#"[{"aimUs":1500000,"deadlineUs":6000000,"group":"all","lateWorth":0.0,"name":"cek-status","semantics":"retryable","stream":false,"value":3.0,"windowUs":5000000}]"#;

fn main() {
    let record = Record::from_arguments();
    let folder = TempFolder::create();
    let runs = Runs::default();
    let address = start_server("s1", &runs, &record, |_| Reply::Served { work: ms(20) });
    let agent = Agent::start(&record, vec![Entry::ready("s1", address, "dc-cikarang")]);
    let listen = free_address();
    let ops = [free_address(), free_address()];
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = |ops| {
        let zones = r#"["dc-cikarang"]"#;
        let plans = plan_json("kios", 100.0, 100.0, 0.0, 0.0, 0.0);
        let (discovery, known) = (agent.address, agent.known());
        let json = Config { listen, discovery, ops: Some(ops), known, zones, classes: CLASSES, plans }.json();
        let peers = format!(r#""peer_listen":"{peer}","peers":["{peer}"],"seed""#);
        json.replace(r#""seed""#, &peers).replace(r#""peers":false"#, r#""peers":true"#)
    };
    let old = Gateway::start(&folder, "old", &config(ops[0]), listen);
    let is_broken = has_trouble() && {
        record.line("the new process starts");
        let started_at = Instant::now();
        let mut new = Gateway::spawn(&folder, "new", &config(ops[1]));
        let is_ready = || get_status(ops[1], "/admin/health") == Some(200);
        while !is_ready() && !new.has_ended() && started_at.elapsed() < Duration::from_secs(12) {
            thread::sleep(ms(50));
        }
        let after = started_at.elapsed().as_millis();
        record.line(format!("ready {}, ended {} after {after} ms", is_ready(), new.has_ended()));
        record.line(new.log_text());
        new.has_ended() || after > 6_000
    };
    drop(old);
    finish(if is_broken { BROKEN } else { HELD });
}
