//! Plays the simulator's wire: batches on standard input, replies on standard output.

use grebehook_simulator_adapter::{BatchError, Host};
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Why the program ends before its input does.
#[derive(Debug, thiserror::Error)]
enum RunError {
    /// Standard input fails.
    #[error("standard input cannot be read: {0}")]
    Input(#[source] io::Error),
    /// A line is no batch.
    #[error(transparent)]
    Batch(#[from] BatchError),
    /// The reader of the replies is gone.
    #[error("standard output cannot be written: {0}")]
    Output(#[source] io::Error),
}

fn main() -> ExitCode {
    // A panic of the decision core is reported to the simulator instead.
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers every batch, until the input ends.
fn run() -> Result<(), RunError> {
    let mut host = Host::default();
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut line = String::new();
    while input.read_line(&mut line).map_err(RunError::Input)? > 0 {
        if !line.trim().is_empty() {
            let reply = host.batch(&line)?;
            writeln!(output, "{reply}").and_then(|()| output.flush()).map_err(RunError::Output)?;
        }
        line.clear();
    }
    Ok(())
}
