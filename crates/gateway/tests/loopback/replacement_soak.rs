//! A seeded test of replacements: processes of one gateway follow each other while discovery tells drains, removals, joins
//! and returns, and fails for 8 s and longer. Times are drawn from all that the operators' pages allow.
//!
//! `REPLACEMENT_SEEDS=1-50` runs those seeds; without the variable a few default seeds are run.

use crate::rig::client::Client;
use crate::rig::deployment::Deployment;
use crate::rig::discovery_agent::DiscoveryAgent;
use crate::rig::endpoint::{Endpoint, EndpointStatus};
use crate::rig::files::TemporaryFolder;
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::request::idempotent_request;
use crate::rig::seeded_runs::check_seeds;
use crate::rig::server::{Reply, Server};
use fastrand::Rng;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Seeds that are run if `REPLACEMENT_SEEDS` is not set.
const DEFAULT_SEEDS: RangeInclusive<u64> = 1..=8;
/// Number of seeds that are run in parallel.
const PARALLEL_RUNS: usize = 8;
/// Number of servers; the last one joins during the run.
const SERVER_COUNT: usize = 5;
/// Number of servers whose drain or removal a run tells.
const TOLD_COUNT: usize = 2;
/// Number of clients that connect anew for each request. There are more than servers, so that a server that may be used
/// has requests.
const CONNECTING_CLIENTS: usize = 8;
/// Pause of a client between two requests.
const CLIENT_PAUSE: Duration = Duration::from_millis(10);
/// Time that a server takes for a response.
const RESPONSE_TIME: Duration = Duration::from_millis(60);
/// Latest time of an attempt after the gateway was told of a drain, with 50 ms for the sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
/// Time after the start of a successor at which what discovery tells becomes binding.
const BINDING_TIME: Duration = Duration::from_secs(2);
/// Time between the start of a successor and the SIGTERM to its predecessor, in milliseconds.
const STOP_DELAY_MS: RangeInclusive<u64> = 0..=6_000;
/// Duration of an outage of discovery, in milliseconds.
const OUTAGE_MS: RangeInclusive<u64> = 8_000..=10_000;
/// Time for which the outage lasts at least after the last replacement, so that there is something to judge.
const JUDGED_TIME: Duration = Duration::from_millis(4_500);
/// Time for which the clients go on after the servers have come back.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// A server that was told to be out of use for a while.
struct Absence {
    server: usize,
    told_at: Instant,
    ended_at: Option<Instant>,
}

/// What clients and servers observe, and what the test does, in one run.
#[derive(Default)]
struct Record {
    /// Server and time of each attempt.
    attempts: Mutex<Vec<(usize, Instant)>>,
    /// Time of each request on a new connection that got no 200, with what it got.
    failures: Mutex<Vec<(Range<Instant>, String)>>,
    absences: Mutex<Vec<Absence>>,
    /// Times at which a process said that it accepts clients.
    starts: Mutex<Vec<Instant>>,
    kills: Mutex<Vec<Instant>>,
}

/// What is done at a time of a run.
enum Step {
    Tell(usize, EndpointStatus),
    BeginOutage,
    EndOutage,
    Replace,
    /// Starts a successor and kills it.
    ReplaceAndKill,
    Stop(GatewayProcess),
}

/// The run of one seed.
struct Run {
    rng: Rng,
    record: Arc<Record>,
    endpoints: Vec<Endpoint>,
    agent: DiscoveryAgent,
    deployment: Deployment,
    current: Option<GatewayProcess>,
    /// Steps that are left, with their times.
    steps: Vec<(Instant, Step)>,
    /// Time at which discovery answers again.
    outage_end: Instant,
    /// Folder of the sockets between the processes.
    _folder: TemporaryFolder,
}

/// Starts a server that records its attempts.
fn start_server(number: usize, record: &Arc<Record>) -> Server {
    let record = record.clone();
    Server::start(move |_| {
        record.attempts.lock().unwrap().push((number, Instant::now()));
        thread::sleep(RESPONSE_TIME);
        Reply::ok("done")
    })
}

impl Run {
    /// Starts the servers, the agent and the first process, and draws the steps.
    fn prepare(seed: u64) -> Run {
        let record = Arc::new(Record::default());
        let endpoint = |number| Endpoint::ready(format!("s-{number}"), start_server(number, &record).address);
        let endpoints: Vec<Endpoint> = (0..SERVER_COUNT).map(endpoint).collect();
        let folder = TemporaryFolder::create();
        let deployment =
            Deployment::new(endpoints[..SERVER_COUNT - 1].to_vec()).control_folder(folder.path());
        let agent = deployment.agent.clone();
        let current = deployment.start();
        let deployment = deployment.listen(current.address);
        let now = Instant::now();
        let mut run = Run {
            rng: Rng::with_seed(seed),
            record,
            endpoints,
            agent,
            deployment,
            current: Some(current),
            steps: Vec::new(),
            outage_end: now,
            _folder: folder,
        };
        run.draw_steps(now);
        run
    }

    /// Draws a time of a range of milliseconds.
    fn milliseconds(&mut self, range: RangeInclusive<u64>) -> Duration {
        Duration::from_millis(self.rng.u64(range))
    }

    /// Draws the steps of the run: tells, an outage that begins with the last of them or up to 3 s later, and a series of
    /// one to three replacements before, at and after both.
    fn draw_steps(&mut self, start: Instant) {
        let mut last_told = start;
        for server in 0..TOLD_COUNT {
            let status = self.rng.choice([EndpointStatus::Draining, EndpointStatus::Removed]).unwrap();
            let at = start + self.milliseconds(500..=4_000);
            self.steps.push((at, Step::Tell(server, status)));
            last_told = last_told.max(at);
        }
        let joins_at = start + self.milliseconds(500..=4_000);
        self.steps.push((joins_at, Step::Tell(SERVER_COUNT - 1, EndpointStatus::Ready)));
        let outage_start = last_told.max(joins_at) + self.milliseconds(0..=3_000);
        self.outage_end = outage_start + self.milliseconds(OUTAGE_MS);
        self.steps.push((outage_start, Step::BeginOutage));
        self.steps.push((self.outage_end, Step::EndOutage));
        let mut at = start + self.milliseconds(500..=6_000);
        for _ in 0..self.rng.usize(1..=3) {
            let at_latest = self.outage_end - JUDGED_TIME;
            let step = if self.rng.u8(..4) == 0 { Step::ReplaceAndKill } else { Step::Replace };
            self.steps.push((at.min(at_latest), step));
            at += self.milliseconds(200..=3_000);
        }
        self.steps.push((self.outage_end - JUDGED_TIME, Step::Replace));
    }

    /// Runs the steps beside the clients, and returns the violations.
    fn run(mut self) -> Vec<String> {
        let stop = Arc::new(AtomicBool::new(false));
        let address = self.current.as_ref().unwrap().address;
        let clients: Vec<_> = (0..=CONNECTING_CLIENTS)
            .map(|number| {
                let (stop, record) = (stop.clone(), self.record.clone());
                thread::spawn(move || {
                    if number == 0 {
                        send_on_kept_connections(address, &stop);
                    } else {
                        send_on_new_connections(address, &record, &stop);
                    }
                })
            })
            .collect();
        while let Some((at, step)) = self.next_step() {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            self.execute(step);
        }
        let returned_at = self.return_all();
        thread::sleep(RETURN_TIME);
        stop.store(true, Ordering::SeqCst);
        clients.into_iter().for_each(|client| client.join().unwrap());
        self.violations(returned_at)
    }

    /// Removes and returns the earliest step.
    fn next_step(&mut self) -> Option<(Instant, Step)> {
        let earliest = (0..self.steps.len()).min_by_key(|&index| self.steps[index].0)?;
        Some(self.steps.swap_remove(earliest))
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Tell(server, status) => self.tell(server, status),
            Step::BeginOutage => self.agent.fail_silently(),
            Step::EndOutage => self.agent.restore(),
            Step::Replace => self.replace(),
            Step::ReplaceAndKill => self.replace_and_kill(),
            Step::Stop(process) => {
                process.terminate();
                thread::spawn(move || assert!(process.wait().success()));
            }
        }
    }

    fn tell(&mut self, server: usize, status: EndpointStatus) {
        let told = self.endpoints[server].clone().with_status(status);
        let is_absent = !matches!(status, EndpointStatus::Ready);
        self.agent.publish(vec![told]);
        if is_absent {
            let absence = Absence { server, told_at: Instant::now(), ended_at: None };
            self.record.absences.lock().unwrap().push(absence);
        }
    }

    /// Starts a successor, and has its predecessor stopped or killed at a time that the pages allow.
    fn replace(&mut self) {
        let successor = self.deployment.start();
        let started_at = Instant::now();
        self.record.starts.lock().unwrap().push(started_at);
        let predecessor = self.current.replace(successor).unwrap();
        let stop_at = started_at + self.milliseconds(STOP_DELAY_MS);
        self.steps.push((stop_at, Step::Stop(predecessor)));
    }

    /// Starts a successor, which is killed while its predecessor is left.
    fn replace_and_kill(&mut self) {
        let successor = self.deployment.start();
        self.record.starts.lock().unwrap().push(Instant::now());
        thread::sleep(self.milliseconds(0..=300));
        self.record.kills.lock().unwrap().push(Instant::now());
        successor.kill();
        self.current.as_ref().unwrap().wait_for_log("continuing to accept clients");
    }

    /// Tells that all servers are ready. Returns when the gateway was told.
    fn return_all(&mut self) -> Instant {
        let endpoints = self.endpoints.clone();
        let record = self.record.clone();
        self.agent.publish_and(endpoints, || {
            let now = Instant::now();
            record.absences.lock().unwrap().iter_mut().for_each(|absence| absence.ended_at = Some(now));
        });
        Instant::now()
    }

    /// Returns the violations of the requirements.
    fn violations(&self, returned_at: Instant) -> Vec<String> {
        let attempts = self.record.attempts.lock().unwrap();
        let starts = self.record.starts.lock().unwrap();
        let kills = self.record.kills.lock().unwrap();
        let mut violations = Vec::new();
        for absence in self.record.absences.lock().unwrap().iter() {
            let late = |at: Instant| {
                at > latest_attempt(absence.told_at, &starts, at)
                    && absence.ended_at.is_none_or(|ended_at| at < ended_at)
            };
            let count = attempts.iter().filter(|(server, at)| *server == absence.server && late(*at)).count();
            if count > 0 {
                violations
                    .push(format!("{count} late attempts at server {}, which is out of use", absence.server));
            }
        }
        let judged_from = *starts.last().unwrap() + BINDING_TIME;
        for server in TOLD_COUNT..SERVER_COUNT {
            let is_used = |(number, at): &(usize, Instant)| *number == server && *at > judged_from;
            if !attempts.iter().any(|attempt| is_used(attempt) && attempt.1 < self.outage_end) {
                violations.push(format!("server {server} is ready and not used after the last replacement"));
            }
        }
        for server in 0..TOLD_COUNT {
            if !attempts.iter().any(|(number, at)| *number == server && *at > returned_at) {
                violations.push(format!("server {server} has come back and is not used"));
            }
        }
        for (during, seen) in self.record.failures.lock().unwrap().iter() {
            // A request of a process that is killed is lost.
            if !kills.iter().any(|kill| during.contains(kill)) {
                violations.push(format!("a request failed: {seen}"));
            }
        }
        violations
    }
}

/// Returns the time of the latest attempt, seen at a time, at a server that is out of use since `told_at`.
fn latest_attempt(told_at: Instant, starts: &[Instant], seen_at: Instant) -> Instant {
    let last_start = starts.iter().copied().filter(|start| *start <= seen_at).max();
    let binding_at = last_start.map(|start| start + BINDING_TIME).filter(|binding_at| told_at < *binding_at);
    binding_at.unwrap_or(told_at).max(told_at) + DRAIN_GRACE
}

/// Sends requests until stopped, each on a new connection, and records those without a 200.
fn send_on_new_connections(address: SocketAddr, record: &Record, stop: &AtomicBool) {
    while !stop.load(Ordering::SeqCst) {
        let began_at = Instant::now();
        if let Err(seen) = call_once(address) {
            let during = began_at..Instant::now();
            record.failures.lock().unwrap().push((during, seen));
        }
        thread::sleep(CLIENT_PAUSE);
    }
}

/// Sends one request on a new connection. Returns what was seen in place of a 200.
fn call_once(address: SocketAddr) -> Result<(), String> {
    let mut client = Client::connect(address).map_err(|error| error.to_string())?;
    if !client.try_write_bytes(idempotent_request().as_bytes()) {
        return Err("the connection is closed before the request".to_owned());
    }
    match client.response() {
        Some(response) if response.status() == 200 => Ok(()),
        Some(response) => Err(response.start_line),
        None => Err("the connection is closed before a response".to_owned()),
    }
}

/// Sends requests until stopped on a connection that is kept while the gateway keeps it, so that a predecessor has some,
/// too.
fn send_on_kept_connections(address: SocketAddr, stop: &AtomicBool) {
    let mut kept: Option<Client> = None;
    while !stop.load(Ordering::SeqCst) {
        let mut client = match kept.take() {
            Some(client) => client,
            None => match Client::connect(address) {
                Ok(client) => client,
                Err(_) => continue,
            },
        };
        if client.try_write_bytes(idempotent_request().as_bytes()) && client.response().is_some() {
            kept = Some(client);
        }
        thread::sleep(CLIENT_PAUSE);
    }
}

/// Guards against what one process was told, and the next one, or the other one of a hand-over, does not know: attempts at
/// servers that drain or are gone, servers that are not used, and requests that are lost, at any time of a replacement.
#[test]
fn what_discovery_tells_holds_through_replacements() {
    check_seeds("REPLACEMENT_SEEDS", DEFAULT_SEEDS, PARALLEL_RUNS, |seed| {
        let violations = Run::prepare(seed).run();
        eprintln!("replacement seed {seed}: {violations:?}");
        violations
    });
}
