//! `grebehook-scale`: runs scale experiments, writes their reports and computes the capacity page's tables.

use clap::Parser;
use grebehook_scale_laboratory::cli::{execute, init_logging, Arguments};
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    init_logging(arguments.log_format);
    match execute(arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
