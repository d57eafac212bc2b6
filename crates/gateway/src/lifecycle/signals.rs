//! Handling of SIGTERM, SIGINT and SIGHUP.

use std::io;
use std::time::Instant;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::JoinHandle;

/// Future that completes at SIGTERM or SIGINT with the time of the signal.
pub type StopSignal = JoinHandle<Instant>;

/// Handlers of the signals that stop the process or reload its configuration.
pub struct Signals {
    /// Completes at SIGTERM or SIGINT, which shut the process down.
    pub stop: StopSignal,
    /// Receives SIGHUP, which reloads the configuration.
    pub reload: Signal,
}

impl Signals {
    /// Installs the signal handlers. A separate task records the time of a stop signal, so that the time is
    /// correct however long startup takes.
    pub fn install() -> io::Result<Signals> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let reload = signal(SignalKind::hangup())?;
        let stop = tokio::task::spawn_local(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            Instant::now()
        });
        Ok(Signals { stop, reload })
    }
}
