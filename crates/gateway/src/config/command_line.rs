//! Command-line arguments of the gateway program.

use clap::Parser;
use std::path::PathBuf;

/// Environment variable with the path of the configuration file, used if `--config` is absent.
pub const CONFIG_VARIABLE: &str = "GW_CONFIG";

/// HTTP/1.1 gateway that enforces customers' quotas for a shared back end.
///
/// Without arguments, serves with the configuration file named by the environment variable GW_CONFIG.
#[derive(Debug, Parser)]
#[command(name = "grebehook", version)]
pub struct CommandLine {
    /// Serve with this configuration file instead of the one named by GW_CONFIG
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,

    /// Print each error of a configuration file on a line of its own; exit with code 2 if any, else with 0
    #[arg(long, value_name = "FILE", conflicts_with = "config")]
    pub check: Option<PathBuf>,
}

impl CommandLine {
    /// Returns the path of the configuration file, from the command line or else from the environment.
    pub fn config_path(self) -> Option<PathBuf> {
        self.config.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from))
    }
}
