//! Runs simulated gateways: reads event batches from standard input and writes replies to standard output.

use grebehook_simulator_adapter::{BatchError, InstanceHost};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// An error that stops the program before the end of its input.
#[derive(Debug, thiserror::Error)]
enum RunError {
    #[error("cannot read standard input: {0}")]
    Input(#[source] io::Error),
    /// An input line is not a valid batch.
    #[error(transparent)]
    Batch(#[from] BatchError),
    /// A reply cannot be written, for example because its reader has exited.
    #[error("cannot write a reply to standard output: {0}")]
    Output(#[source] io::Error),
}

fn main() -> ExitCode {
    // Panics of the decision core are caught and reported to the simulator, so the default hook's message on
    // standard error is suppressed.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to every batch until the end of standard input.
fn run() -> Result<(), RunError> {
    let mut host = InstanceHost::default();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    while input.read_line(&mut line).map_err(RunError::Input)? > 0 {
        if !line.trim().is_empty() {
            let reply = host.handle_batch(&line)?;
            writeln!(output, "{reply}").and_then(|()| output.flush()).map_err(RunError::Output)?;
        }
        line.clear();
    }
    Ok(())
}
