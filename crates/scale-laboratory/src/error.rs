//! Errors of the laboratory and the exit codes that tell invalid use from a failed run.

use std::path::{Path, PathBuf};
use thiserror::Error;

/// Exit code of invalid use, where nothing was started.
const EXIT_INVALID_USE: u8 = 2;
/// Exit code of a run that failed.
const EXIT_FAILED_RUN: u8 = 1;

/// Failure of a laboratory command.
#[derive(Debug, Error)]
pub enum LaboratoryError {
    /// An experiment file that is not TOML of the expected form; the source names the field.
    #[error("{path}: {source}")]
    MalformedFile {
        /// Path of the experiment file.
        path: PathBuf,
        /// Error of the TOML parser.
        source: Box<toml::de::Error>,
    },
    /// An experiment file that cannot be read.
    #[error("{path} cannot be read: {source}")]
    UnreadableFile {
        /// Path of the experiment file.
        path: PathBuf,
        /// Error of the read.
        source: std::io::Error,
    },
    /// An invalid field of an experiment, or an invalid command-line option.
    #[error("{field}: {reason}")]
    InvalidField {
        /// Path of the field in the experiment file, or name of the option.
        field: &'static str,
        /// Violated constraint, worded to follow the field.
        reason: String,
    },
    /// An experiment that needs more memory than the laboratory may use.
    #[error(
        "{consumer} needs {needed_mib} MiB; the limit is {limit_mib} MiB (half of this machine's memory)"
    )]
    MemoryLimitExceeded {
        /// Size, experiment or run that needs the memory.
        consumer: String,
        /// Memory needed, estimated before a run or measured during it, in MiB.
        needed_mib: u64,
        /// Memory that the laboratory may use, in MiB.
        limit_mib: u64,
    },
    /// A results folder or capacity page that is missing, incomplete or unreadable.
    #[error("{path}: {reason}")]
    Results {
        /// Path of the folder or file.
        path: PathBuf,
        /// Defect of the folder or file.
        reason: String,
    },
    /// A gateway under test that no longer responds.
    #[error("gateway {gateway} stopped answering at {at_seconds:.1} s of the experiment: {symptom}")]
    GatewayStalled {
        /// Index of the gateway.
        gateway: usize,
        /// Time since the start of the point, in seconds.
        at_seconds: f64,
        /// Observation from which the stall was detected.
        symptom: String,
    },
    /// A run without progress for longer than the watchdog allows.
    #[error("run made no progress for {seconds} s: a hollow gateway did not return from an event")]
    NoProgress {
        /// Wall-clock time without progress, in seconds.
        seconds: u64,
    },
    /// A panic of the thread that measures the points.
    #[error("run panicked in a decision core or in the laboratory; the log above names the location")]
    Panicked,
    /// An interruption of the run by a signal.
    #[error("run interrupted; the points measured so far are kept")]
    Interrupted,
    /// A gateway process that could not be started or ended unexpectedly.
    #[error("gateway process {gateway}: {reason}")]
    Process {
        /// Index of the gateway.
        gateway: usize,
        /// Cause of the failure.
        reason: String,
    },
    /// Settings that the decision core rejected.
    #[error("decision core rejected {0}")]
    Settings(#[from] grebehook_core::SettingsError),
    /// A failed input or output operation.
    #[error("{context}: {source}")]
    Io {
        /// Path or operation that failed.
        context: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A plot or metrics file that cannot be rendered.
    #[error("cannot render {0}")]
    Rendering(String),
}

impl LaboratoryError {
    /// Returns the program's exit code for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::MalformedFile { .. }
            | Self::UnreadableFile { .. }
            | Self::InvalidField { .. }
            | Self::MemoryLimitExceeded { .. } => EXIT_INVALID_USE,
            _ => EXIT_FAILED_RUN,
        }
    }

    /// Creates an [`InvalidField`](Self::InvalidField) error.
    pub fn field(field: &'static str, reason: impl Into<String>) -> Self {
        Self::InvalidField { field, reason: reason.into() }
    }

    /// Creates a [`Results`](Self::Results) error.
    pub fn results(path: &Path, reason: impl ToString) -> Self {
        Self::Results { path: path.to_owned(), reason: reason.to_string() }
    }

    /// Creates an [`Io`](Self::Io) error.
    pub fn io(context: impl Into<String>, source: std::io::Error) -> Self {
        Self::Io { context: context.into(), source }
    }
}

/// Result of a laboratory operation.
pub type Result<T> = std::result::Result<T, LaboratoryError>;
