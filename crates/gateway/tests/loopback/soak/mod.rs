//! A soak test: two gateway processes, one after the other, serve misbehaving clients and forward requests to
//! misbehaving servers under failing system calls, clock steps, pauses, drains and series of signals. Clients
//! reuse open connections until SIGKILL, which is sent as early as the operators' requirements allow. The
//! observations are checked against these requirements, not against the gateway's own decisions. Some runs have the least
//! memory and a crowd of clients that fill it; in all of them clients come again with ids of requests that they left.
//!
//! `SOAK_SEEDS=1-50` runs those seeds; without the variable a few default seeds are run.

mod checks;
mod client;
mod crowd;
mod plan;
mod record;
mod server;

use crate::rig::deployment::Deployment;
use crate::rig::discovery_agent::WatchFault;
use crate::rig::endpoint::{Endpoint, EndpointStatus};
use crate::rig::gateway_process::GatewayProcess;
use crate::rig::seeded_runs::check_seeds;
use checks::violations;
use client::SoakClient;
use fastrand::Rng;
use plan::{zone, Plan, SERVER_COUNT};
use record::{Pause, Record};
use server::start_server;
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Seeds that are run if `SOAK_SEEDS` is not set.
const DEFAULT_SEEDS: RangeInclusive<u64> = 1..=16;
/// Number of seeds that are run in parallel.
const PARALLEL_RUNS: usize = 4;
/// Number of clients of a run.
const CLIENT_COUNT: usize = 8;
/// Number of gateway processes of a run, one after another.
const PROCESS_COUNT: usize = 2;
/// Time that a process serves before its first signal to stop.
const SERVICE_TIME: Duration = Duration::from_millis(2_500);
/// Duration of each pause of a process.
const PAUSE_DURATION: Duration = Duration::from_millis(100);
/// Time between SIGTERM and SIGKILL that is added to the longest deadline.
const KILL_GRACE: Duration = Duration::from_millis(700);

/// The run of one seed.
struct SoakRun {
    rng: Rng,
    plan: Plan,
    record: Arc<Record>,
    /// Servers with the status ready.
    endpoints: Vec<Endpoint>,
    /// Deployment of the current process.
    deployment: Deployment,
    /// Set when the clients are to stop.
    stop: Arc<AtomicBool>,
    /// Violations of the memory limit.
    memory_violations: Vec<String>,
}

impl SoakRun {
    /// Chooses a random plan, and starts the servers and the discovery agent.
    fn prepare(seed: u64) -> SoakRun {
        let mut rng = Rng::with_seed(seed);
        let plan = Plan::random(&mut rng, seed);
        let record = Arc::new(Record::default());
        let mut endpoint = |number: usize| {
            let address = start_server(number, record.clone(), rng.u64(..));
            Endpoint::ready(format!("s-{number}"), address).in_zone(zone(number))
        };
        let endpoints: Vec<Endpoint> = (0..SERVER_COUNT).map(&mut endpoint).collect();
        let deployment = plan.configure(Deployment::new(endpoints.clone()));
        SoakRun {
            rng,
            plan,
            record,
            endpoints,
            deployment,
            stop: Arc::default(),
            memory_violations: Vec::new(),
        }
    }

    /// Runs one process after another, and returns the violations of the requirements.
    fn run(mut self, seed: u64) -> Vec<String> {
        let mut clients: Vec<JoinHandle<()>> = Vec::new();
        for _ in 0..PROCESS_COUNT {
            self.record.process_started();
            let gateway = self.deployment.start();
            let _idle: Vec<TcpStream> = (0..self.plan.idle_connections)
                .map_while(|_| TcpStream::connect(gateway.address).ok())
                .collect();
            if clients.is_empty() {
                clients.extend((0..CLIENT_COUNT).map(|_| self.start_client(gateway.address)));
                clients.extend(self.start_crowd(seed, gateway.address));
            }
            let successor = self.deployment.clone().listen(gateway.address);
            self.inject_disruptions(&gateway);
            self.check_memory(&gateway);
            self.stop(gateway);
            self.deployment = successor;
        }
        self.stop.store(true, Ordering::SeqCst);
        clients.into_iter().for_each(|client| client.join().unwrap());
        self.report(seed)
    }

    /// Starts a client that sends requests until the run stops.
    fn start_client(&mut self, address: SocketAddr) -> JoinHandle<()> {
        let mut client = SoakClient {
            address,
            record: self.record.clone(),
            rng: self.rng.fork(),
            deadline: self.plan.deadline,
            connection: None,
        };
        let stop = self.stop.clone();
        thread::spawn(move || client.run(&stop))
    }

    /// Starts the crowd of the run, if its plan has one.
    fn start_crowd(&self, seed: u64, address: SocketAddr) -> Option<JoinHandle<()>> {
        let (count, timeout) = (self.plan.crowd_size, self.plan.deadline);
        let stop = self.stop.clone();
        let run = move || crowd::run(address, count, timeout, Rng::with_seed(seed), &stop);
        (count > 0).then(|| thread::spawn(run))
    }

    /// Records a violation if a process has had more memory than its settings allow.
    fn check_memory(&mut self, gateway: &GatewayProcess) {
        let peak = gateway.peak_resident_kib() * 1_024;
        let exceeded = self.plan.memory_limit().filter(|limit| peak > *limit);
        self.memory_violations.extend(exceeded.map(|limit| format!("{peak} of {limit} bytes of memory")));
    }

    /// Injects disruptions at random intervals while a process serves.
    fn inject_disruptions(&mut self, gateway: &GatewayProcess) {
        let start = Instant::now();
        while start.elapsed() < SERVICE_TIME {
            thread::sleep(Duration::from_millis(self.rng.u64(50..500)));
            self.inject_disruption(gateway);
        }
    }

    /// Changes the endpoint list, fails the watch, reloads the configuration or pauses the process.
    fn inject_disruption(&mut self, gateway: &GatewayProcess) {
        let number = self.rng.usize(1..SERVER_COUNT);
        let endpoint = self.endpoints[number].clone();
        let agent = &self.deployment.agent;
        match self.rng.u8(..7) {
            0 | 1 => {
                self.record.drain_started(number);
                agent.publish(vec![endpoint.with_status(EndpointStatus::Draining)]);
            }
            2 => {
                agent.publish_and(vec![endpoint], || self.record.drain_ended(number));
            }
            3 => agent.inject(WatchFault::Unanswered),
            4 => agent.inject(WatchFault::CloseConnection),
            5 => {
                let text = self.deployment.config_text();
                gateway.reload_with(&text[..self.rng.usize(..text.len())]);
                gateway.reload_with(&text);
            }
            _ => {
                let from = Instant::now();
                gateway.pause();
                thread::sleep(PAUSE_DURATION);
                gateway.resume();
                self.record.pauses.lock().unwrap().push(Pause { from, to: Instant::now() });
            }
        }
    }

    /// Stops a process with a series of signals, and kills it as early as the requirements allow.
    fn stop(&mut self, gateway: GatewayProcess) {
        let signaled_at = Instant::now();
        self.record.stop_signal_sent(signaled_at);
        gateway.terminate();
        let kill_at = signaled_at + self.plan.deadline + KILL_GRACE;
        for _ in 0..self.rng.usize(..4) {
            thread::sleep(Duration::from_millis(self.rng.u64(..100)));
            if gateway.has_exited() {
                break;
            }
            match self.rng.u8(..3) {
                0 => gateway.terminate(),
                1 => gateway.interrupt(),
                _ => gateway.reload_with(&self.deployment.config_text()),
            }
        }
        thread::sleep(kill_at.saturating_duration_since(Instant::now()));
        self.record.process_killed();
        gateway.kill_unless_exited();
    }

    /// Prints a summary of the run, and returns the violations of the requirements.
    fn report(&self, seed: u64) -> Vec<String> {
        let mut violations = violations(&self.record, &self.plan);
        violations.extend(self.memory_violations.iter().cloned());
        let requests = self.record.requests.lock().unwrap().len();
        let attempts = self.record.attempts.lock().unwrap().len();
        let faults = &self.plan.faults;
        eprintln!(
            "seed {seed} ({faults}, crowd of {}): {requests} requests, {attempts} attempts received, {violations:?}",
            self.plan.crowd_size
        );
        violations
    }
}

/// Guards against lost, duplicate or wrongly rejected requests, excessive forwarded timeouts and attempts at
/// draining servers while system calls, clients and servers fail. Runs all seeds before it reports the
/// violations.
#[test]
fn requirements_hold_under_failing_system_calls_signals_and_misbehaving_peers() {
    check_seeds("SOAK_SEEDS", DEFAULT_SEEDS, PARALLEL_RUNS, |seed| SoakRun::prepare(seed).run(seed));
}
