//! Command line of `grebehook-scale`.

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
    /// Format of the log on standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    pub log_format: LogFormat,
    /// Command to execute.
    #[command(subcommand)]
    pub command: Command,
}

/// Format of log entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Human-readable lines.
    Text,
    /// One JSON object per line.
    Json,
}

/// Commands of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs an experiment and writes its results, report and plots.
    Run {
        /// Experiment file, or name of a built-in experiment.
        file: PathBuf,
        /// Folder in which the results folder, named after the experiment, is created.
        #[arg(long, default_value = "results/local")]
        results: PathBuf,
        /// Gateway program that experiments in real mode start.
        #[arg(long, default_value = "target/release/grebehook")]
        gateway_program: PathBuf,
    },
    /// Writes tables and plots for a results folder, or for every results folder directly in it.
    Report {
        /// Results folder, or folder that contains results folders.
        folder: PathBuf,
    },
    /// Lists the built-in experiments.
    List,
    /// Computes the capacity tables from committed results.
    Capacity {
        /// Folder with the results of all scale runs, in subfolders `before` and, optionally, `after`.
        folder: PathBuf,
        /// Page whose tables, between its markers, are replaced instead of printing the tables.
        #[arg(long)]
        page: Option<PathBuf>,
    },
}

/// Initializes logging to standard error.
pub fn init_logging(format: LogFormat) {
    let builder = tracing_subscriber::fmt().with_max_level(Level::INFO).with_writer(std::io::stderr);
    // Repeated initialization, as in tests, fails and leaves the first subscriber in place.
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

/// Executes a command; its output goes to standard output or to files.
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
            catalog::BUILT_IN_EXPERIMENTS.iter().for_each(|experiment| println!("{}", experiment.summary()));
            Ok(())
        }
        Command::Capacity { folder, page: Some(page) } => capacity::update_page(&folder, &page),
        Command::Capacity { folder, page: None } => {
            println!("{}", capacity::tables(&folder)?);
            Ok(())
        }
    }
}

/// Reads an experiment file, or the built-in experiment of this name if the file does not exist.
fn read_experiment(file: &Path) -> Result<Experiment> {
    let built_in = catalog::find(&file.to_string_lossy());
    match built_in {
        Some(built_in) if !file.exists() => Experiment::parse(file, built_in.toml),
        _ => Experiment::read(file),
    }
}
