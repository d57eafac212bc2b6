//! grebehook: a quota gateway. This file starts it, waits for the signal to stop and sees it out.

mod attempt;
mod body_size;
mod client_connection;
mod clock;
mod command_line;
mod config;
mod config_check;
mod config_file;
mod core;
mod core_log;
mod counter;
mod counts;
mod discovery;
mod eviction;
mod front;
mod headers;
mod link;
mod logging;
mod members;
mod names;
mod ops;
mod peers;
mod pool;
mod repeat_limiter;
mod request;
mod request_table;
mod request_terms;
mod response;
mod socket;
mod stream;
mod takeover;
mod timers;
mod upstream;
mod wire;

use crate::clock::Clock;
use crate::command_line::CommandLine;
use crate::config::Config;
use crate::core::Core;
use crate::counter::SharedCounter;
use crate::counts::Counts;
use crate::discovery::Watch;
use crate::front::Front;
use crate::ops::Ops;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::request_terms::TermsReader;
use crate::takeover::Predecessor;
use crate::upstream::Upstream;
use clap::Parser;
use grebehook_core::{Gateway, ListKind, Reports};
use std::error::Error;
use std::future::Future;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, timeout};
use tracing::{error, info, warn};

/// Descriptors that are neither clients' nor servers': standard streams, event queues, discovery, the counter,
/// peers, operators.
const SPARE_SOCKETS: usize = 40 + ops::MOST;
/// The part of the memory that large answers may take on their way through...
const LARGE_PART: usize = 4;
/// ...and what is held of clients' bodies.
const HELD_PART: usize = 8;
/// How long clients may still come after the signal to stop, and how long after the last of them.
const STILL_COMING: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(200));
/// By then the listener closes whoever still comes.
const LISTEN_MOST: Duration = Duration::from_millis(800);
/// A gateway told to stop is killed once the longest deadline, counted as so much where it is longer, and so
/// much more have gone by.
const KILLED: (Duration, Duration) = (Duration::from_millis(3_000), Duration::from_millis(700));
/// So long before that every request has its final answer, to leave time to write it; and the process has ended.
const BEFORE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(50));
/// What the system holds of an answer that a client has not taken.
const SEND_BUFFER: u32 = 128 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// A restarted gateway may find its address in use for a moment.
const BIND_FOR: Duration = Duration::from_secs(2);

/// The variable that names the configuration where the command line does not.
const CONFIG_VARIABLE: &str = "GW_CONFIG";
/// The exit code for a configuration that cannot be used, as for a wrong command line.
const BAD_CONFIG: u8 = 2;

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    if let Some(file) = &command_line.check {
        return check(file);
    }
    logging::start();
    let path = command_line.config.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
    let Some(path) = path else {
        error!("configuration: {CONFIG_VARIABLE} is not set, and there is no --config");
        return ExitCode::from(BAD_CONFIG);
    };
    match Config::load(&path) {
        Ok(config) => serve(config, path),
        Err(e) => {
            error!("configuration: {e}");
            ExitCode::from(BAD_CONFIG)
        }
    }
}

/// Says what is wrong with a configuration.
fn check(path: &Path) -> ExitCode {
    let faults = config_check::faults_of_file(path);
    let mut output = std::io::stdout().lock();
    for fault in &faults {
        // Whoever closed the pipe wants no more lines; the code still tells.
        let _ = writeln!(output, "{fault}");
    }
    if faults.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(BAD_CONFIG)
    }
}

/// Serves until a signal ends it. The file is read again at SIGHUP.
fn serve(config: Config, path: PathBuf) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            error!(error = %e, "the runtime cannot be started");
            return ExitCode::FAILURE;
        }
    };
    let local = tokio::task::LocalSet::new();
    // As a task of its own: what block_on is given itself is polled anew whenever any task wakes.
    let gateway = local.run_until(async { tokio::task::spawn_local(run(config, path)).await });
    match runtime.block_on(gateway) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(e)) => {
            error!("{e}");
            ExitCode::FAILURE
        }
        Err(e) => {
            error!(error = %e, "the gateway's own task ended");
            ExitCode::FAILURE
        }
    }
}

async fn bound<T, F: Future<Output = io::Result<T>>>(what: &str, bind: impl Fn() -> F) -> io::Result<T> {
    let start = Instant::now();
    loop {
        match bind().await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && start.elapsed() < BIND_FOR => {
                sleep(Duration::from_millis(20)).await;
            }
            bound => return bound.map_err(|e| io::Error::new(e.kind(), format!("{what}: {e}"))),
        }
    }
}

async fn run(config: Config, path: PathBuf) -> Result<(), Box<dyn Error>> {
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    // From here on, so that the time is that of the signal however long the start takes.
    let mut stop_signal = tokio::task::spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Instant::now()
    });
    let longest = config.settings.classes.iter().map(|c| Duration::from_micros(c.deadline)).max();
    let grace = longest.unwrap_or_default().min(KILLED.0) + KILLED.1;
    let hangup = signal(SignalKind::hangup())?;
    let clock = Clock::start();
    let gateway = Gateway::new(config.settings.clone(), config.seed, clock.now())?;
    let room = config.sockets - SPARE_SOCKETS.min(config.sockets / 2);
    // A client connection holds one attempt at most, so servers' connections in use never outnumber clients'
    // and an idle one can always be shed.
    let clients = room / 2;
    let (large, connect) = (config.memory / LARGE_PART, config.connect_timeout);
    let pool = Pool::new(clock, room - clients, connect, config.server_idle);
    let upstream = Upstream::new(pool, large, config.most_units);
    let peers = match config.peer_listen {
        Some(at) => {
            let socket = bound("peers", || Peers::bind(at, config.peers.clone())).await?;
            Some(Rc::new(socket))
        }
        None => None,
    };
    let reports = config.settings.allow.reports != Reports::None;
    // The module waits no longer for a call than the settings say; where they do not say, as for a connection.
    let limit = match config.settings.allow.count_limit {
        0 => connect,
        limit => Duration::from_micros(limit),
    };
    let counter = config.counter.map(|at| Rc::new(SharedCounter::new(at, limit)));
    let counts = Counts::new(config.names.classes.clone());
    let core = Core::new(gateway, clock, Rc::new(upstream), peers.clone(), counter.clone(), reports, counts);
    core.servers(ListKind::Cached, config.known.members);
    tokio::task::spawn_local(core.clone().run_timers());
    if let Some(peers) = peers {
        let core = core.clone();
        tokio::task::spawn_local(peers.run(move |from, data| core.heard(from, data)));
    }
    let (agent, agents) = watch::channel(config.discovery);
    let watch = Watch::new(agents, config.names.clone(), config.known.index, &config.settings, config.seed);
    tokio::task::spawn_local(watch.run(core.clone()));

    // Held for as long as this process lives.
    let (listener, _held) = tokio::select! {
        // Who listens may have been asked already, and sees its clients out like any other.
        biased;
        listening = begin(&core, config.listen) => listening?,
        // Nobody was taken in yet, and a process that was to hand over goes on.
        _ = &mut stop_signal => return Ok(()),
    };
    let socket_path = takeover::control_socket_path(listener.local_addr()?);
    let control_socket = socket_path.and_then(|path| match takeover::control_socket(&path) {
        Ok(socket) => Some(socket),
        Err(e) => {
            warn!(error = %e, "no process can take over but by listening beside this one");
            None
        }
    });
    tokio::task::spawn_local(reread(path, hangup, agent, counter));
    let held = config.memory / HELD_PART;
    let terms = TermsReader { settings: config.settings, names: config.names, max_units: config.most_units };
    let front = Front::new(core.clone(), terms, clients, held);
    tokio::task::spawn_local(front.clone().look_over());
    info!("{} listens on {}", config.name, listener.local_addr()?);
    if let Some(at) = config.ops {
        let listener = bound("ops", || TcpListener::bind(at)).await?;
        info!("{} answers operators on {}", config.name, listener.local_addr()?);
        tokio::task::spawn_local(Ops::new(front.clone(), core.clone()).run(listener));
    }
    let (handed_over, stopped) = loop {
        let mut successor = tokio::select! {
            () = front.accept(&listener) => break (false, Ok(Instant::now())),
            stopped = &mut stop_signal => break (false, stopped),
            successor = takeover::successor(control_socket.as_ref()) => successor,
        };
        front.hand_over(true);
        let lost = tokio::select! {
            lost = takeover::hand_over(&mut successor, &listener, &core) => lost,
            stopped = &mut stop_signal => break (true, stopped),
        };
        warn!(error = %lost, "the process that was to follow is gone, this one goes on");
        front.hand_over(false);
    };
    let stopped = stopped?;
    core.stop_by(stopped + grace - BEFORE.0);
    front.stop();
    if !handed_over {
        accept_late(&front, listener, stopped).await;
    }
    // Otherwise whoever comes is the other process's, at the same listener.
    see_out(&front, stopped + grace - BEFORE.1).await;
    info!("{} stopped", config.name);
    Ok(())
}

/// A listener for clients: that of the process which serves, with what it knows, where there is one.
async fn begin(
    core: &Rc<Core>,
    at: SocketAddr,
) -> io::Result<(TcpListener, Option<takeover::ControlConnection>)> {
    let predecessor = match takeover::control_socket_path(at) {
        Some(path) => takeover::take_over(&path).await,
        None => None,
    };
    match predecessor {
        Some(Predecessor { listener, state, held }) => {
            core.take_over(&state);
            Ok((listener, Some(held)))
        }
        None => Ok((bound("listen", || async { listen(at) }).await?, None)),
    }
}

/// A listener for clients. A process that is to replace this one listens beside it, at the same address.
fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    // What a slow client has not taken yet stays with its server: its connection can be written to often
    // enough to see that it goes on, and the system holds little of it.
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

/// Reads the configuration again at every SIGHUP, for as long as the gateway lives. Another discovery agent and
/// another address of the counter are taken up; the rest of the file holds from the next start on.
async fn reread(
    path: PathBuf,
    mut hangup: Signal,
    agent: watch::Sender<SocketAddr>,
    counter: Option<Rc<SharedCounter>>,
) {
    while hangup.recv().await.is_some() {
        match Config::load(&path) {
            Ok(config) => {
                let describe = |moved| if moved { "moves" } else { "stays" };
                let agent = agent.send_if_modified(|old| std::mem::replace(old, config.discovery) != *old);
                let counter = counter.as_ref().zip(config.counter).is_some_and(|(c, at)| c.relocate(at));
                let (agent, counter) = (describe(agent), describe(counter));
                info!("configuration read again; discovery {agent}, the counter {counter}");
            }
            Err(e) => warn!("configuration: {e}; the old one stays in use"),
        }
    }
}

/// Takes in the clients that still come to a gateway after the signal to stop.
async fn accept_late(front: &Rc<Front>, listener: TcpListener, stopped: Instant) {
    loop {
        let quiet = front.last_accepted() + STILL_COMING.1;
        let until = (stopped + STILL_COMING.0).max(quiet).min(stopped + LISTEN_MOST);
        if timeout(until.saturating_duration_since(Instant::now()), front.accept(&listener)).await.is_err()
            && (front.last_accepted() + STILL_COMING.1 <= Instant::now() || until >= stopped + LISTEN_MOST)
        {
            break;
        }
    }
    front.accept_rest(listener);
}

/// Waits until no client is left, and closes those who have nothing open.
async fn see_out(front: &Rc<Front>, end: Instant) {
    // What came last may have its request on the way; give it a moment before idle connections close.
    let late = async {
        sleep(STILL_COMING.1).await;
        loop {
            front.close_idle();
            sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::select! {
        () = front.emptied() => {}
        () = late => {}
        () = sleep_until(end.into()) => warn!("stopped with requests still open"),
    }
}
