//! The command line.

use crate::capacity;
use crate::catalog;
use crate::error::Result;
use crate::experiment::Experiment;
use crate::report;
use crate::results::run_folders;
use crate::runner::{self, RunOptions};
use clap::{Parser, Subcommand, ValueEnum};
use std::path::{Path, PathBuf};
use tracing::Level;

/// Scale experiments of the grebehook gateway.
#[derive(Debug, Parser)]
#[command(name = "grebehook-scale", version, about)]
pub struct Arguments {
    /// Form of the log on standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    pub log_format: LogFormat,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Form of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Lines for people.
    Text,
    /// A JSON object a line.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Plays an experiment and writes its results, report and plots.
    Run {
        /// The experiment's file, or the name of one that ships.
        file: PathBuf,
        /// Where to put the folder of results, which bears the experiment's name.
        #[arg(long, default_value = "results/local")]
        results: PathBuf,
        /// The gateway program of real experiments.
        #[arg(long, default_value = "target/release/grebehook")]
        gateway_program: PathBuf,
    },
    /// Writes tables and plots for a folder of results, or for all folders in it.
    Report {
        /// The folder.
        folder: PathBuf,
    },
    /// Names the experiments that ship.
    List,
    /// Computes the capacity tables from committed results.
    Capacity {
        /// The folder with the results of all scale runs, `before` and `after`.
        folder: PathBuf,
        /// Replaces the tables between the markers of this page instead of printing them.
        #[arg(long)]
        page: Option<PathBuf>,
    },
}

/// Starts the log on standard error.
pub fn start_log(format: LogFormat) {
    let builder = tracing_subscriber::fmt().with_max_level(Level::INFO).with_writer(std::io::stderr);
    // A second start, as in tests, leaves the first log in place.
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

/// Carries out a command.
pub fn execute(command: Command) -> Result<()> {
    match command {
        Command::Run { file, results, gateway_program } => {
            let experiment = read_experiment(&file)?;
            let folder = results.join(&experiment.name);
            runner::run(experiment, &RunOptions { folder: folder.clone(), gateway_program })?;
            report::write(&folder)?;
            tracing::info!(folder = %folder.display(), "report written");
            Ok(())
        }
        Command::Report { folder } => run_folders(&folder)?.iter().try_for_each(|run| report::write(run)),
        Command::List => {
            catalog::SHIPPED.iter().for_each(|shipped| println!("{}", shipped.line()));
            Ok(())
        }
        Command::Capacity { folder, page: Some(page) } => capacity::update_page(&folder, &page),
        Command::Capacity { folder, page: None } => {
            println!("{}", capacity::tables(&folder)?);
            Ok(())
        }
    }
}

/// Reads an experiment from a file, or a built-in one of this name where there is no such file.
fn read_experiment(file: &Path) -> Result<Experiment> {
    let shipped = catalog::find(&file.to_string_lossy());
    match shipped {
        Some(shipped) if !file.exists() => Experiment::parse(file, shipped.text),
        _ => Experiment::read(file),
    }
}
