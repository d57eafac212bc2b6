//! Starts the gateway program with a configuration file, a descriptor limit and injected system call faults.

use super::fault_library;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// The launch options of a gateway process.
#[derive(Clone)]
pub struct Launch {
    /// The maximum number of open descriptors, set with `ulimit`.
    pub descriptor_limit: u32,
    /// The folder for the control socket; the system's default folder if `None`.
    pub control_folder: Option<PathBuf>,
    /// The system call faults; those of [`fault_library::DEFAULT_FAULTS_VARIABLE`] if `None`.
    pub faults: Option<String>,
}

impl Default for Launch {
    fn default() -> Launch {
        Launch { descriptor_limit: 1_024, control_folder: None, faults: None }
    }
}

impl Launch {
    /// Starts the gateway program with its standard error piped.
    pub fn spawn(&self, config_file: &Path) -> Child {
        let program = env!("CARGO_BIN_EXE_grebehook");
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &format!("ulimit -n {}; exec {program}", self.descriptor_limit)]);
        command.env_remove("TMPDIR").envs(self.control_folder.as_ref().map(|folder| ("TMPDIR", folder)));
        let faults =
            self.faults.clone().or_else(|| std::env::var(fault_library::DEFAULT_FAULTS_VARIABLE).ok());
        if let Some(faults) = faults {
            command.env(fault_library::FAULTS_VARIABLE, faults).env("LD_PRELOAD", fault_library::path());
        }
        command.env("GW_CONFIG", config_file).stderr(Stdio::piped()).spawn().unwrap()
    }
}

/// Sends a signal, such as `-TERM`, to a process.
pub fn send_signal(child: &Child, signal: &str) {
    let id = child.id().to_string();
    assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
}
