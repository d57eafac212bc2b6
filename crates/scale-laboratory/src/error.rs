//! The errors of the laboratory; the exit code distinguishes invalid use from a failed run.

use std::path::{Path, PathBuf};
use thiserror::Error;

/// Exit code of invalid use: nothing was started.
const EXIT_INVALID_USE: u8 = 2;
/// Exit code of a run that failed.
const EXIT_FAILED_RUN: u8 = 1;

/// An error of the laboratory.
#[derive(Debug, Error)]
pub enum LaboratoryError {
    /// The experiment file is not TOML of the expected form; the source names the field.
    #[error("{path}: {source}")]
    MalformedFile {
        /// The file.
        path: PathBuf,
        /// What the parser says.
        source: Box<toml::de::Error>,
    },
    /// The experiment file cannot be read.
    #[error("{path} cannot be read: {source}")]
    UnreadableFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A field of the experiment is invalid.
    #[error("{field}: {reason}")]
    InvalidField {
        /// The field, as a path in the file.
        field: &'static str,
        /// What is wrong with it.
        reason: String,
    },
    /// The experiment needs more memory than the laboratory may use.
    #[error(
        "{what} needs {needed_mib} MiB, and the bound is {bound_mib} MiB (half of this machine's memory)"
    )]
    MemoryBound {
        /// What needs it.
        what: String,
        /// An estimate of the need.
        needed_mib: u64,
        /// The bound.
        bound_mib: u64,
    },
    /// A results folder is missing, incomplete or unreadable.
    #[error("{path}: {reason}")]
    Results {
        /// The folder or file.
        path: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// A gateway under test does not respond any more.
    #[error("gateway {gateway} stopped answering at {at_seconds:.1} s of the experiment: {symptom}")]
    GatewayStalled {
        /// Its number.
        gateway: usize,
        /// Time since the start of the point.
        at_seconds: f64,
        /// What was seen.
        symptom: String,
    },
    /// The simulation itself makes no progress.
    #[error("no progress for {seconds} s: a hollow gateway never returned from an event")]
    NoProgress {
        /// Wall time without progress.
        seconds: u64,
    },
    /// The thread that plays the points panicked.
    #[error("the run panicked, in a decision core or in the laboratory; the log above says where")]
    Panicked,
    /// The run was interrupted.
    #[error("interrupted; the results so far are kept")]
    Interrupted,
    /// A gateway process could not be started or has ended by itself.
    #[error("gateway process {gateway}: {reason}")]
    Process {
        /// Its number.
        gateway: usize,
        /// What happened.
        reason: String,
    },
    /// The decision core refused its settings.
    #[error("the decision core refused {0}")]
    Settings(#[from] grebehook_core::SettingsError),
    /// Input or output failed.
    #[error("{context}: {source}")]
    Io {
        /// What was being done.
        context: String,
        /// Why it failed.
        source: std::io::Error,
    },
    /// A plot could not be drawn.
    #[error("plot: {0}")]
    Plot(String),
}

impl LaboratoryError {
    /// The program's exit code for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::MalformedFile { .. }
            | Self::UnreadableFile { .. }
            | Self::InvalidField { .. }
            | Self::MemoryBound { .. } => EXIT_INVALID_USE,
            _ => EXIT_FAILED_RUN,
        }
    }

    /// An invalid field.
    pub fn field(field: &'static str, reason: impl Into<String>) -> Self {
        Self::InvalidField { field, reason: reason.into() }
    }

    /// An unusable results folder.
    pub fn results(path: &Path, reason: impl ToString) -> Self {
        Self::Results { path: path.to_owned(), reason: reason.to_string() }
    }

    /// A failure of input or output.
    pub fn io(context: impl Into<String>, source: std::io::Error) -> Self {
        Self::Io { context: context.into(), source }
    }
}

/// A result of the laboratory.
pub type Result<T> = std::result::Result<T, LaboratoryError>;
