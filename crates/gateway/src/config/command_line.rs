//! The command line.

use clap::Parser;
use std::path::PathBuf;

/// The environment variable that names the configuration where the command line does not.
pub const CONFIG_VARIABLE: &str = "GW_CONFIG";

/// An HTTP/1.1 gateway that enforces customers' quotas for a shared back end.
///
/// Without arguments it serves with the configuration that the environment variable GW_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "grebehook", version)]
pub struct CommandLine {
    /// Serve with this configuration instead of the one that GW_CONFIG names
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,

    /// Print each fault of a configuration on a line, and exit with code 2 if there is any, else with 0
    #[arg(long, value_name = "FILE", conflicts_with = "config")]
    pub check: Option<PathBuf>,
}

impl CommandLine {
    /// The path of the configuration to serve with.
    pub fn config_path(self) -> Option<PathBuf> {
        self.config.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from))
    }
}
