//! A soak: a gateway serves clients that misbehave, before servers that misbehave, under system calls that fail, clock
//! steps, hold-ups, drains and signals in series, through two lives of the process. Clients use open connections until
//! SIGKILL, which comes as early as the terms allow. The judge is the operators' terms, not what the gateway does.
//!
//! `SOAK_SEEDS=1-50` plays those seeds; without it a few are played.

use crate::rig::*;
use fastrand::Rng;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const DEFAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=8;
/// Seeds played side by side.
const LANES: usize = 4;
const SERVERS: usize = 4;
const CLIENTS: usize = 8;
const LIVES: usize = 2;
const CLASSES: [&str; 3] = ["claim-status", "loss-notice", "payout"];
/// How long a life serves before its first signal to stop.
const SERVICE: Duration = Duration::from_millis(2_500);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline and so much more.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The terms' slack for an answer, for the time told, for a drain and for a departed client.
const LATE_ANSWER: Duration = Duration::from_millis(500);
const TOLD_SLACK: Duration = Duration::from_millis(150);
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);
/// What a busy machine may add to a time that is measured from outside the gateway.
const MEASURED_LATE: Duration = Duration::from_millis(150);
/// How long servers remember a key.
const WINDOW: Duration = Duration::from_millis(1_500);

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// A request that reached a server whole.
#[derive(Debug)]
struct Receipt {
    call: String,
    server: usize,
    first_byte: Instant,
    whole: Instant,
    /// The time that the gateway said it would wait.
    told: Duration,
    /// The server's answer proves that it has not run.
    rejected: bool,
}

/// How a request ended for its client.
#[derive(Debug)]
enum End {
    Answer {
        status: u16,
        whole: bool,
        at: Instant,
    },
    /// The gateway closed the connection with no answer.
    Closed,
    /// The client left.
    Left(Instant),
}

#[derive(Debug)]
struct Sent {
    call: String,
    class: usize,
    budget: Duration,
    /// Its last byte was written.
    written: Instant,
    first_on_connection: bool,
    end: End,
}

/// What a run saw, for the judge.
#[derive(Default)]
struct Record {
    receipts: Mutex<Vec<Receipt>>,
    sent: Mutex<Vec<Sent>>,
    /// From when to when a server was told to drain.
    drains: Mutex<Vec<(usize, Instant, Option<Instant>)>>,
    lives: Mutex<Vec<Life>>,
}

/// When a process was started, and told to stop.
#[derive(Clone, Copy, Debug)]
struct Life {
    started: Instant,
    told_to_stop: Option<Instant>,
}

impl Record {
    /// The process that was there at a time.
    fn life_at(&self, at: Instant) -> Option<Life> {
        self.lives.lock().unwrap().iter().rfind(|life| life.started <= at).copied()
    }

    /// How long after the signal to stop, if that had come, a time was.
    fn since_signal(&self, at: Instant) -> Option<Duration> {
        self.life_at(at)?.told_to_stop.and_then(|told| at.checked_duration_since(told))
    }
}

/// What is drawn for a run.
struct Plan {
    faults: String,
    longest_deadline: Duration,
    descriptors: u32,
    crowd: usize,
}

impl Plan {
    fn draw(rng: &mut Rng, seed: u64) -> Plan {
        let kinds = [
            "read=10 write=10",
            "wait=10",
            "accept=20",
            "accept_full=10",
            "socket=5",
            "connect=5",
            "broken=3",
            "hold=1",
            "wall_s=3600",
            "wall_s=-3600",
            "wall_step_ms=300",
        ];
        let chosen: Vec<&str> = kinds.into_iter().filter(|_| rng.u8(..100) < 30).collect();
        let crowded = rng.u8(..100) < 25;
        Plan {
            faults: format!("{} seed={seed}", chosen.join(" ")),
            longest_deadline: Duration::from_millis(rng.choice([100, 300, 800, 1_500]).unwrap()),
            descriptors: if crowded { 256 } else { 1_024 },
            crowd: if crowded { 300 } else { 0 },
        }
    }

    fn config(&self, agent: &Agent, known: &[Value], listen: &str) -> Value {
        let mut config = config(agent, known);
        config["listen"] = json!(listen);
        config["limits"]["sockets"] = json!(self.descriptors);
        config["settings"]["limits"]["mayProbe"] = json!(false);
        for class in 0..CLASSES.len() {
            config["settings"]["classes"][class]["deadlineUs"] = json!(ms(self.longest_deadline) * 1_000);
            config["settings"]["classes"][class]["aimUs"] = json!(ms(self.longest_deadline) * 500);
            config["settings"]["classes"][class]["windowUs"] = json!(ms(WINDOW) * 1_000);
        }
        config
    }
}

fn zone(server: usize) -> &'static str {
    if server < SERVERS / 2 {
        "room-a"
    } else {
        "room-b"
    }
}

/// Starts a server that records what reaches it and answers as is drawn.
fn start_server(number: usize, record: Arc<Record>, seed: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (connection, stream) in listener.incoming().enumerate() {
            let (record, rng) = (record.clone(), Rng::with_seed(seed ^ ((connection as u64) << 8)));
            thread::spawn(move || serve(number, stream.unwrap(), &record, rng));
        }
    });
    address
}

fn serve(number: usize, stream: TcpStream, record: &Record, mut rng: Rng) {
    stream.set_nodelay(true).unwrap();
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while reader.fill_buf().is_ok_and(|data| !data.is_empty()) {
        let first_byte = Instant::now();
        let Some(message) = read(&mut reader).filter(|message| message.whole) else { return };
        let draw = rng.u8(..100);
        let rejected = draw < 8;
        let told = Duration::from_millis(message.header("x-budget-ms").parse().unwrap_or(u64::MAX / 2));
        let call = message.header("x-call-id").to_owned();
        let receipt =
            Receipt { call: call.clone(), server: number, first_byte, whole: Instant::now(), told, rejected };
        record.receipts.lock().unwrap().push(receipt);
        let answered = match draw {
            0..8 => write!(writer, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"),
            8..14 => write!(writer, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"),
            14..17 => return,
            17..20 => {
                let _ = write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhalf");
                return;
            }
            20..23 => {
                // Hangs until the gateway gives it up.
                let _ = reader.fill_buf();
                return;
            }
            _ => {
                thread::sleep(Duration::from_millis(rng.u64(..20)));
                let length = call.len();
                write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{call}")
            }
        };
        if answered.is_err() {
            return;
        }
    }
}

/// The next request of a client: its id, class, time and text.
fn draw_request(rng: &mut Rng, longest: Duration) -> (String, usize, Duration, String) {
    let class = rng.usize(..CLASSES.len());
    let body = "b".repeat(rng.usize(..3_000));
    let text = match class {
        0 => status(),
        1 => notice(&body),
        _ => payout(&body),
    };
    let budget = longest.mul_f64(0.5 + 0.5 * rng.f64());
    let text = text.replace("X-Budget-Ms: 1900", &format!("X-Budget-Ms: {}", ms(budget)));
    let call = text.split("X-Call-Id: ").nth(1).unwrap().split('\r').next().unwrap().to_owned();
    (call, class, Duration::from_millis(ms(budget)), text)
}

/// Sends requests, one after another, over connections that it keeps for as long as they are open.
fn client(address: SocketAddr, record: &Record, stop: &AtomicBool, mut rng: Rng, longest: Duration) {
    let mut connection: Option<(BufReader<TcpStream>, bool)> = None;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(rng.u64(..30)));
        let Some((mut stream, is_new)) = connection.take().or_else(|| {
            let stream = TcpStream::connect(address).ok()?;
            stream.set_nodelay(true).ok()?;
            Some((BufReader::new(stream), true))
        }) else {
            continue;
        };
        let (call, class, budget, text) = draw_request(&mut rng, longest);
        let cut = if rng.u8(..100) < 10 { rng.usize(..text.len()) } else { 0 };
        let written = stream.get_mut().write_all(&text.as_bytes()[..cut]).and_then(|()| {
            thread::sleep(Duration::from_millis(if cut > 0 { rng.u64(..60) } else { 0 }));
            stream.get_mut().write_all(&text.as_bytes()[cut..])
        });
        if written.is_err() {
            continue;
        }
        let written = Instant::now();
        let end = if rng.u8(..100) < 8 {
            thread::sleep(Duration::from_millis(rng.u64(..100)));
            let left = Instant::now();
            drop(stream);
            End::Left(left)
        } else {
            stream.get_ref().set_read_timeout(Some(budget + Duration::from_secs(5))).unwrap();
            match read(&mut stream) {
                Some(answer) if answer.status() > 0 => {
                    let at = Instant::now();
                    if answer.header("connection") != "close" && answer.whole {
                        connection = Some((stream, false));
                    }
                    End::Answer { status: answer.status(), whole: answer.whole, at }
                }
                _ => End::Closed,
            }
        };
        let sent = Sent { call, class, budget, written, first_on_connection: is_new, end };
        record.sent.lock().unwrap().push(sent);
    }
}

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

/// Holds what was seen to the terms.
fn judge(record: &Record, crowded: bool) -> Vec<String> {
    let (sent, receipts) = (record.sent.lock().unwrap(), record.receipts.lock().unwrap());
    let mut by_call: HashMap<&str, Vec<&Receipt>> = HashMap::new();
    receipts.iter().for_each(|receipt| by_call.entry(&receipt.call).or_default().push(receipt));
    let mut faults = Vec::new();
    for request in sent.iter() {
        let attempts = by_call.get(request.call.as_str()).map_or(&[][..], Vec::as_slice);
        let before = faults.len();
        judge_end(request, attempts, crowded, &mut faults);
        judge_attempts(request, attempts, &mut faults);
        if faults.len() > before {
            let since_signal = record.since_signal(request.written);
            faults.push(format!(
                "  {request:?}, {since_signal:?} after the signal to stop, attempts {attempts:#?}"
            ));
        }
    }
    for receipt in receipts.iter() {
        let started = record.life_at(receipt.first_byte).map(|life| life.started);
        for (server, told, until) in record.drains.lock().unwrap().iter() {
            // What the agent has counts as told from the first moment of a new process.
            let told = started.map_or(*told, |started| started.max(*told));
            let late = receipt.first_byte > told + DRAIN_GRACE + MEASURED_LATE;
            if receipt.server == *server && late && until.is_none_or(|until| receipt.first_byte < until) {
                faults.push(format!("drain: {} sent {:?} after", receipt.call, receipt.first_byte - told));
            }
        }
    }
    faults
}

/// One final answer, in time, and no promise that is not true.
fn judge_end(request: &Sent, attempts: &[&Receipt], crowded: bool, faults: &mut Vec<String>) {
    let Sent { call, class, budget, written, first_on_connection, end } = request;
    let may_have_run = attempts.iter().any(|receipt| !receipt.rejected);
    let mut fault = |text: &str| faults.push(format!("{text}: {call}, {}", CLASSES[*class]));
    match end {
        End::Answer { status, whole, at } => {
            if *at > *written + *budget + LATE_ANSWER + MEASURED_LATE {
                fault(&format!("lost (answered after {:?} of {budget:?})", *at - *written));
            }
            if matches!(status, 429 | 503) && may_have_run && *class == 2 {
                fault("refused, though it may have run");
            }
            if *status == 200 && *whole && !may_have_run {
                fault("served by nobody");
            }
        }
        End::Closed if !attempts.is_empty() => fault("lost (forwarded, and closed with no answer)"),
        // Idle clients fill the descriptors: new connections may be shut unread then.
        End::Closed if *first_on_connection && !crowded => fault("lost (closed on a new connection)"),
        // The close crossed the request, which its client sends again.
        End::Closed | End::Left(_) => {}
    }
}

/// No duplicate effects, nothing for a departed client, no more time told than is left.
fn judge_attempts(request: &Sent, attempts: &[&Receipt], faults: &mut Vec<String>) {
    let Sent { call, class, budget, written, end, .. } = request;
    let mut fault = |text: String| faults.push(format!("{text}: {call}, {}", CLASSES[*class]));
    let mut in_order: Vec<&&Receipt> = attempts.iter().collect();
    in_order.sort_by_key(|receipt| receipt.first_byte);
    let first_run = in_order.iter().position(|receipt| !receipt.rejected);
    for later in first_run.map_or(&[][..], |first| &in_order[first + 1..]) {
        let first = in_order[first_run.unwrap_or(0)];
        let late = later.first_byte > first.first_byte + WINDOW + MEASURED_LATE;
        if *class == 2 || *class == 1 && (zone(later.server) != zone(first.server) || late) {
            fault("duplicate".to_owned());
        }
    }
    for receipt in attempts {
        let left = (*written + *budget).saturating_duration_since(receipt.whole);
        if receipt.told > left + TOLD_SLACK + MEASURED_LATE {
            fault(format!("told {:?} with {left:?} left", receipt.told));
        }
        if let End::Left(at) = end {
            if receipt.first_byte > *at + DEPARTURE_GRACE + MEASURED_LATE {
                fault(format!("lost (begun {:?} after its client left)", receipt.first_byte - *at));
            }
        }
    }
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
