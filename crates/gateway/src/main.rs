//! grebehook: a quota gateway. This file starts it, waits for the signal to stop and sees it out.

mod bodies;
mod clients;
mod config;
mod control;
mod driver;
mod lifecycle;
mod logging;
mod network;
mod operations;
mod servers;

use crate::clients::request_head::RequestHeadReader;
use crate::clients::server::ClientServer;
use crate::config::command_line::CommandLine;
use crate::config::document::Config;
use crate::control::counter::SharedCounter;
use crate::control::discovery::EndpointWatch;
use crate::control::peers::Peers;
use crate::driver::clock::Clock;
use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::reload::Reload;
use crate::lifecycle::shutdown::Shutdown;
use crate::operations::request_counts::RequestCounters;
use crate::operations::server::OperationsServer;
use crate::servers::exchange::Upstream;
use crate::servers::pool::Pool;
use clap::Parser;
use grebehook_core::{Gateway, LoadReports, WatchEvent};
use std::error::Error;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tracing::{error, info, warn};

/// Descriptors that are neither clients' nor servers': standard streams, event queues, discovery, the counter,
/// peers, operators.
const SPARE_SOCKETS: usize = 40 + operations::server::MAX_CONNECTIONS;
/// The part of the memory that large answers may take on their way through...
const LARGE_PART: usize = 4;
/// ...and what is held of clients' bodies.
const HELD_PART: usize = 8;

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
    match lifecycle::startup::load(&path) {
        Ok(config) => serve(config, path),
        Err(e) => {
            error!("configuration: {e}");
            ExitCode::from(BAD_CONFIG)
        }
    }
}

/// Says what is wrong with a configuration.
fn check(path: &Path) -> ExitCode {
    let faults = config::check::faults_of_file(path);
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
    let runtime = match lifecycle::startup::runtime() {
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
    let longest_deadline = config.settings.classes.iter().map(|c| Duration::from_micros(c.deadline)).max();
    let hangup = signal(SignalKind::hangup())?;
    let clock = Clock::start();
    let gateway = Gateway::new(config.settings.clone(), config.seed, clock.now())?;
    let room = config.sockets - SPARE_SOCKETS.min(config.sockets / 2);
    // A client connection holds one attempt at most, so servers' connections in use never outnumber clients'
    // and an idle one can always be shed.
    let clients = room / 2;
    let (large, connect) = (config.memory / LARGE_PART, config.connect_timeout);
    let pool = Pool::new(room - clients, connect, config.server_idle);
    let upstream = Upstream::new(pool, large, config.most_units);
    let peers = match config.peer_listen {
        Some(at) => {
            let socket = lifecycle::startup::retry("peers", || Peers::bind(at, config.peers.clone())).await?;
            Some(Rc::new(socket))
        }
        None => None,
    };
    let reports = config.settings.capabilities.load_reports != LoadReports::None;
    // The module waits no longer for a call than the settings say; where they do not say, as for a connection.
    let limit = match config.settings.capabilities.counter_timeout {
        None => connect,
        Some(limit) => Duration::from_micros(limit),
    };
    let counter = config.counter.map(|at| Rc::new(SharedCounter::new(at, limit)));
    let counts = RequestCounters::new(config.names.classes.clone());
    let core = DecisionDriver::new(
        gateway,
        clock,
        Rc::new(upstream),
        peers.clone(),
        counter.clone(),
        reports,
        counts,
    );
    core.endpoints_changed(WatchEvent::CachedSnapshot, config.known.endpoints);
    tokio::task::spawn_local(core.clone().run_timers());
    if let Some(peers) = peers {
        let core = core.clone();
        tokio::task::spawn_local(peers.receive(move |from, data| core.gossip_received(from, data)));
    }
    let (agent, agents) = watch::channel(config.discovery);
    let watch =
        EndpointWatch::new(agents, config.names.clone(), config.known.index, &config.settings, config.seed);
    tokio::task::spawn_local(watch.run(core.clone()));

    // PendingRequest for as long as this process lives.
    let (listener, _held) = tokio::select! {
        // Who listens may have been asked already, and sees its clients out like any other.
        biased;
        listening = lifecycle::startup::client_listener(&core, config.listen) => listening?,
        // Nobody was taken in yet, and a process that was to hand over goes on.
        _ = &mut stop_signal => return Ok(()),
    };
    let socket_path = lifecycle::takeover::control_socket_path(listener.local_addr()?);
    let control_socket = socket_path.and_then(|path| match lifecycle::takeover::control_socket(&path) {
        Ok(socket) => Some(socket),
        Err(e) => {
            warn!(error = %e, "no process can take over but by listening beside this one");
            None
        }
    });
    tokio::task::spawn_local(Reload { path, agent, counter }.run(hangup));
    let held = config.memory / HELD_PART;
    let terms =
        RequestHeadReader { settings: config.settings, names: config.names, max_units: config.most_units };
    let front = ClientServer::new(core.clone(), terms, clients, held);
    tokio::task::spawn_local(front.clone().close_expired_connections());
    info!("{} listens on {}", config.name, listener.local_addr()?);
    if let Some(at) = config.ops {
        let listener = lifecycle::startup::retry("ops", || TcpListener::bind(at)).await?;
        info!("{} answers operators on {}", config.name, listener.local_addr()?);
        tokio::task::spawn_local(OperationsServer::new(front.clone(), core.clone()).run(listener));
    }
    let (handed_over, stopped) = loop {
        let mut successor = tokio::select! {
            () = front.accept(&listener) => break (false, Ok(Instant::now())),
            stopped = &mut stop_signal => break (false, stopped),
            successor = lifecycle::takeover::successor(control_socket.as_ref()) => successor,
        };
        front.hand_over(true);
        let lost = tokio::select! {
            lost = lifecycle::takeover::hand_over(&mut successor, &listener, &core) => lost,
            stopped = &mut stop_signal => break (true, stopped),
        };
        warn!(error = %lost, "the process that was to follow is gone, this one goes on");
        front.hand_over(false);
    };
    let shutdown = Shutdown::new(stopped?, longest_deadline.unwrap_or_default());
    core.shut_down_by(shutdown.answers_by());
    front.stop();
    if !handed_over {
        shutdown.accept_late(&front, listener).await;
    }
    // Otherwise whoever comes is the other process's, at the same listener.
    shutdown.drain_clients(&front).await;
    info!("{} stopped", config.name);
    Ok(())
}
