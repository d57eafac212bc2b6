//! The command line.

use clap::Parser;
use std::path::PathBuf;

/// A gateway that holds customers to their quotas before a shared back end.
///
/// Without arguments it serves with the configuration that the variable GW_CONFIG names.
#[derive(Debug, Parser)]
#[command(name = "grebehook", version)]
pub struct CommandLine {
    /// Serve with this configuration instead of the one that GW_CONFIG names
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,

    /// Say in one line each what is wrong with a configuration, and end: with code 2 if anything is, else with 0
    #[arg(long, value_name = "FILE", conflicts_with = "config")]
    pub check: Option<PathBuf>,
}
