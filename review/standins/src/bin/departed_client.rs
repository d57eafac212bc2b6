//! No case, an entry of the audit (row G2): an attempt begins over 0.1 s after its client has closed, where the
//! client's end lies behind a full receive window and a connection to a server comes up late.

use review_standins::*;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The classes of the wire page's example.
const CLASSES: &str = r#"[{"aimUs":1500000,"deadlineUs":6000000,"group":"all","lateWorth":0.0,"name":"cek-status","semantics":"retryable","stream":false,"value":3.0,"windowUs":5000000},{"aimUs":2000000,"deadlineUs":8000000,"group":"all","lateWorth":0.0,"name":"aktivasi","semantics":"fragile","stream":false,"value":5.0,"windowUs":5000000}]"#;
/// Length of the bodies.
const BODY_BYTES: usize = 1_500_000;
/// Number of clients, one after the other.
const CLIENTS: usize = 8;
/// Time from a client's close after which no attempt may begin, on sockets.
const LATEST_START: Duration = Duration::from_millis(150);

fn main() {
    let record = Record::from_arguments();
    let folder = TempFolder::create();
    let runs = Runs::default();
    // A full queue of connections, so that further ones do not come up.
    let late = TcpListener::bind("127.0.0.1:0").unwrap();
    let late_address = late.local_addr().unwrap();
    let connect_late = || TcpStream::connect_timeout(&late_address, ms(200)).ok();
    let queue: Vec<TcpStream> =
        if has_trouble() { std::iter::from_fn(connect_late).collect() } else { Vec::new() };
    let mut entries: Vec<Entry> = ["s2", "s3"]
        .map(|name| {
            let address = start_server(name, &runs, &record, |_| Reply::Served { work: ms(100) });
            Entry::ready(name, address, "dc-cikarang")
        })
        .to_vec();
    if has_trouble() {
        entries.push(Entry::ready("s1", late_address, "dc-cikarang"));
    }
    let agent = Agent::start(&record, entries);
    let listen = free_address();
    let config = Config {
        listen,
        discovery: agent.address,
        ops: None,
        known: agent.known(),
        zones: r#"["dc-cikarang"]"#,
        classes: CLASSES,
        plans: plan_json("kios", 100.0, 100.0, 0.0, 0.0, 0.0),
    };
    let gateway = Gateway::start(&folder, "gateway", &config.json(), listen);
    let mut broken = 0;
    for number in 0..CLIENTS {
        let id = format!("left-{number}");
        let request = ClientRequest {
            method: "POST",
            class: "aktivasi",
            plan: "kios",
            customer: 7,
            id: &id,
            budget_ms: 8_000,
            units: 1,
            spread: 1,
            more: String::new(),
            body_length: BODY_BYTES,
        };
        let mut client = connect(listen);
        client.stream.set_write_timeout(Some(ms(60))).unwrap();
        let written = client.write(&request.bytes());
        drop(client);
        let closed_at = Instant::now();
        record.line(format!("client wrote {id} ({written:?}) and closed"));
        for run in runs.wait_for(&id, 1, ms(1_500)) {
            let after = run.at.saturating_duration_since(closed_at);
            record.line(format!(
                "{id} came whole to {} {} ms after the close",
                run.server,
                after.as_millis()
            ));
            broken += usize::from(after > LATEST_START);
        }
    }
    drop(gateway);
    drop(queue);
    record.line(format!("{broken} attempts began over 0.1 s after their client had closed"));
    finish(if broken > 0 { BROKEN } else { HELD });
}
