//! The signals that the process handles.

use std::io;
use std::time::Instant;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::JoinHandle;

/// Completes at SIGTERM or SIGINT, with the time of the signal.
pub type StopSignal = JoinHandle<Instant>;

/// The signals that the process handles.
pub struct Signals {
    /// SIGTERM or SIGINT: shut down.
    pub stop: StopSignal,
    /// SIGHUP: read the configuration again.
    pub reload: Signal,
}

impl Signals {
    /// Handles the signals from now on. The time of a stop signal is recorded by a task of its own, so that it is
    /// right however long the start takes.
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
