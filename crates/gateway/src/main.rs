//! grebehook: an HTTP/1.1 gateway that enforces customers' quotas. The program parses its command line,
//! starts the gateway, serves clients until a stop signal arrives, and shuts down gracefully.

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

use crate::clients::request_head::RequestHeadParser;
use crate::clients::server::ClientServer;
use crate::config::command_line::{CommandLine, CONFIG_VARIABLE};
use crate::config::document::Config;
use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::error::RunError;
use crate::lifecycle::handover_role::HandoverRole;
use crate::lifecycle::reload::ConfigReloader;
use crate::lifecycle::resources::{ResourceBudget, ResourceLimits};
use crate::lifecycle::services::{self, Services};
use crate::lifecycle::serving::serve_until_stopped;
use crate::lifecycle::shared_memory::MemoryDivision;
use crate::lifecycle::shutdown::Shutdown;
use crate::lifecycle::signals::Signals;
use crate::lifecycle::startup::{self, ClientListener};
use crate::lifecycle::successor_listeners::SuccessorListeners;
use crate::logging::ErrorChain;
use crate::operations::server::OperationsServer;
use clap::Parser;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};
use tracing::{error, info};

/// Exit code for an invalid configuration; clap uses the same code for an invalid command line.
const EXIT_BAD_CONFIGURATION: u8 = 2;

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    if let Some(file) = &command_line.check {
        return check_config(file);
    }
    logging::init();
    let Some(path) = command_line.config_path() else {
        error!("configuration: {CONFIG_VARIABLE} is not set, and there is no --config");
        return ExitCode::from(EXIT_BAD_CONFIGURATION);
    };
    let config = match startup::load_config(&path) {
        Ok(config) => config,
        Err(error) => {
            let file = path.display();
            error!(%file, error = %ErrorChain(&error), "the configuration cannot be used; exiting");
            return ExitCode::from(EXIT_BAD_CONFIGURATION);
        }
    };
    match run(config, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!(error = %ErrorChain(&error), "the gateway cannot serve; exiting");
            ExitCode::FAILURE
        }
    }
}

/// Prints the errors of a configuration file and returns the exit code of `--check`.
fn check_config(path: &Path) -> ExitCode {
    let errors = config::check::validate_file(path);
    let mut output = std::io::stdout().lock();
    for error in &errors {
        // A write error, such as a closed pipe, is ignored: the exit code still gives the result.
        let _ = writeln!(output, "{error}");
    }
    if errors.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_BAD_CONFIGURATION)
    }
}

/// Creates the async runtime and runs the gateway on it.
fn run(config: Config, path: PathBuf) -> Result<(), RunError> {
    let runtime = startup::create_runtime()?;
    let local = LocalSet::new();
    // The gateway runs in a separate task because `block_on` polls the future passed to it whenever any task
    // wakes.
    let gateway = local.run_until(async { spawn_local(serve(config, path)).await });
    runtime.block_on(gateway)?
}

/// Starts the gateway, serves clients until a stop signal, and shuts down.
async fn serve(mut config: Config, path: PathBuf) -> Result<(), RunError> {
    let mut signals = Signals::install().map_err(RunError::Signal)?;
    let longest_deadline = config.longest_deadline();
    let limits = ResourceLimits::new(&config);
    let resources = ResourceBudget::new(limits);
    let Services { driver, counter, endpoints, discovery_address, mut tasks } =
        services::start(&mut config, &resources).await?;
    let name = config.name.clone();
    let operations_listen = config.operations_listen;

    let listener: ClientListener = tokio::select! {
        // The listener has priority over the stop signal: the predecessor may already have handed over, and
        // the clients connecting there need a graceful shutdown like any others.
        biased;
        listener = startup::open_client_listener(&driver, &endpoints, config.listen) => listener?,
        // No client has been accepted yet, and a predecessor that was asked to hand over resumes accepting.
        _ = &mut signals.stop => return Ok(()),
    };
    let address = listener.socket.local_addr().map_err(RunError::LocalAddress)?;
    let mut successors = SuccessorListeners::bind(address, driver.clone(), endpoints);
    spawn_local(ConfigReloader { path, discovery_address, counter }.run(signals.reload));
    let clients = start_client_server(config, &resources, &driver);
    let memory = MemoryDivision::new(limits, clients.clone(), driver.clone());
    if let Some(predecessor) = listener.predecessor_process {
        memory.follow(predecessor, HandoverRole::Predecessor);
    }
    info!(gateway = %name, %address, "accepting clients");
    resources.log();
    if let Some(address) = operations_listen {
        let operators = OperationsServer::new(clients.clone(), driver.clone());
        tasks.spawn(operators.run(bind_operators_listener(&name, address).await?));
    }

    let stop = &mut signals.stop;
    let end =
        serve_until_stopped(&clients, &driver, &memory, &listener.socket, &mut successors, stop).await?;
    successors.refuse_handovers();
    let shutdown = Shutdown::new(end.signalled_at, longest_deadline);
    shutdown.run(&clients, &driver, tasks, listener, &end).await;
    info!(gateway = %name, "stopped");
    Ok(())
}

/// Creates the server for clients and starts its task that closes expired connections.
fn start_client_server(
    config: Config,
    resources: &ResourceBudget,
    driver: &Rc<DecisionDriver>,
) -> Rc<ClientServer> {
    let head_parser =
        RequestHeadParser { settings: config.settings, names: config.names, max_units: config.max_units };
    let max_connections = resources.client_connections;
    let clients = ClientServer::new(driver.clone(), head_parser, max_connections, resources.request_bytes);
    spawn_local(clients.clone().close_expired_connections());
    clients
}

/// Binds the operators' listener, with retries after transient errors, and logs its address.
async fn bind_operators_listener(name: &str, address: SocketAddr) -> Result<TcpListener, RunError> {
    let listener = startup::retry_bind("operators", || TcpListener::bind(address)).await?;
    let address = listener.local_addr().map_err(RunError::LocalAddress)?;
    info!(gateway = %name, %address, "answering operators");
    Ok(listener)
}
