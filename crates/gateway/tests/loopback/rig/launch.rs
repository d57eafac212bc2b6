//! Starts the gateway program with a configuration file, a descriptor limit and failing system calls.

use super::fault_library;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// How a process is started.
#[derive(Clone)]
pub struct Launch {
    /// The process's limit of open descriptors.
    pub descriptors: u32,
    /// The folder for the process's control socket; the system's one if none is given.
    pub control_folder: Option<PathBuf>,
    /// The system calls that fail; those of [`fault_library::ALL_TESTS`] if none are given.
    pub faults: Option<String>,
}

impl Default for Launch {
    fn default() -> Launch {
        Launch { descriptors: 1_024, control_folder: None, faults: None }
    }
}

impl Launch {
    /// Starts the program with its error output piped.
    pub fn spawn(&self, config_file: &Path) -> Child {
        let program = env!("CARGO_BIN_EXE_grebehook");
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &format!("ulimit -n {}; exec {program}", self.descriptors)]);
        command.env_remove("TMPDIR").envs(self.control_folder.as_ref().map(|folder| ("TMPDIR", folder)));
        let faults = self.faults.clone().or_else(|| std::env::var(fault_library::ALL_TESTS).ok());
        if let Some(faults) = faults {
            command.env(fault_library::SPECIFICATION, faults).env("LD_PRELOAD", fault_library::path());
        }
        command.env("GW_CONFIG", config_file).stderr(Stdio::piped()).spawn().unwrap()
    }
}

/// Sends a signal, such as `-TERM`, to a process.
pub fn send_signal(child: &Child, signal: &str) {
    let id = child.id().to_string();
    assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
}
