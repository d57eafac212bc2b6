//! The configuration of a gateway, read from its JSON file and the environment.

use crate::config::file::{ConfigFile, NamedItem, TransportFile, TransportSettings};
use crate::config::names::WireNames;
use crate::control::endpoint_list::EndpointList;
use grebehook_core::{Settings, SettingsError};
use grebehook_simulator_adapter::fields::{self, FieldError};
use serde_json::Value;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The environment variable that names the operators' address where the file does not.
const OPS_VARIABLE: &str = "GW_OPS";
/// The gateway's name where the file gives none.
const DEFAULT_NAME: &str = "gateway";
/// File descriptors where the file gives no limit.
const DEFAULT_DESCRIPTORS: f64 = 1_024.0;
/// A lower limit in the file counts as this one.
const MIN_DESCRIPTORS: f64 = 64.0;
/// A higher limit in the file counts as this one.
const MAX_DESCRIPTORS: f64 = 65_536.0;
/// Memory where the file gives no limit.
const DEFAULT_MEMORY_MB: f64 = 64.0;
/// A lower limit in the file counts as this one.
const MIN_MEMORY_MB: f64 = 16.0;
/// A higher limit in the file counts as this one.
const MAX_MEMORY_MB: f64 = 65_536.0;
/// The file gives memory in megabytes.
const BYTES_PER_MB: usize = 1_000_000;
/// The units of one request where the file gives no limit: as many as the decision core can count.
const DEFAULT_MAX_UNITS: f64 = 1e6;

/// Everything that the gateway reads at its start.
pub struct Config {
    /// The gateway's name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators connect; `None` where nobody does.
    pub ops: Option<SocketAddr>,
    /// The discovery agent.
    pub discovery: SocketAddr,
    /// The shared counter, where there is one.
    pub counter: Option<SocketAddr>,
    /// Where gossip arrives; `None` where it is not allowed.
    pub peer_listen: Option<SocketAddr>,
    /// The gossip addresses of all gateways, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// Most file descriptors.
    pub max_descriptors: usize,
    /// Most memory.
    pub max_memory_bytes: usize,
    /// The endpoint list as this gateway last knew it.
    pub known_endpoints: EndpointList,
    /// Most units that one request may take.
    pub max_units: f64,
    /// The settings of the decision core.
    pub settings: Settings,
    /// The names that messages carry.
    pub names: WireNames,
    /// How long a connection to a server may take to be established.
    pub connect_timeout: Duration,
    /// After how long servers close idle connections.
    pub server_idle_timeout: Duration,
}

/// The field of the settings that the decision core rejects, by its path in the file.
#[derive(Debug, thiserror::Error)]
#[error("settings: {0}")]
pub struct RejectedSettings(FieldError);

impl From<SettingsError> for RejectedSettings {
    fn from(error: SettingsError) -> RejectedSettings {
        RejectedSettings(error.into())
    }
}

/// Why the configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{} cannot be read", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("the configuration is not JSON")]
    NotJson(#[source] serde_json::Error),
    /// A field of the file is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The decision core rejects the settings.
    #[error(transparent)]
    Settings(#[from] RejectedSettings),
    /// The environment names no valid address for operators.
    #[error("{OPS_VARIABLE} is not valid")]
    OpsVariable(#[source] AddrParseError),
}

impl Config {
    /// Reads a file. The environment adds the operators' address if the file does not name it.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let unreadable = |source| ConfigError::Unreadable { path: path.to_owned(), source };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        let document = serde_json::from_str(&text).map_err(ConfigError::NotJson)?;
        let mut config = Config::from_document(&document)?;
        if let (None, Ok(ops)) = (config.ops, std::env::var(OPS_VARIABLE)) {
            config.ops = Some(ops.parse().map_err(ConfigError::OpsVariable)?);
        }
        Ok(config)
    }

    /// Reads the file's JSON.
    pub fn from_document(document: &Value) -> Result<Config, ConfigError> {
        let file: ConfigFile = fields::deserialize(document)?;
        let transport = fields::deserialize::<TransportFile>(document)?.settings;
        let in_settings =
            |error: FieldError| FieldError { path: format!("settings.{}", error.path), ..error };
        let settings = file.settings.to_core_settings().map_err(in_settings)?;
        let limits = file.limits.unwrap_or_default();
        let names = names(&transport);
        Ok(Config {
            name: file.name.unwrap_or_else(|| DEFAULT_NAME.to_owned()),
            listen: file.listen,
            ops: file.ops,
            discovery: file.discovery,
            counter: file.counter,
            peer_listen: file.peer_listen,
            peers: file.peers.unwrap_or_default(),
            seed: file.seed,
            max_descriptors: max_descriptors(limits.max_descriptors),
            max_memory_bytes: max_memory_bytes(limits.max_memory_mb),
            known_endpoints: file.known_endpoints.into_list(&names),
            max_units: max_units(transport.customer_interface.max_units),
            settings,
            names,
            connect_timeout: transport.limits.connect_timeout,
            server_idle_timeout: transport.limits.server_idle_timeout,
        })
    }

    /// The longest time that the settings let a client wait.
    pub fn longest_deadline(&self) -> Duration {
        let deadlines = self.settings.classes.iter().map(|class| Duration::from_micros(class.deadline));
        deadlines.max().unwrap_or_default()
    }

    /// How long a call of the shared counter may take: as long as the settings say, or else as a connection.
    pub fn counter_timeout(&self) -> Duration {
        let configured = self.settings.capabilities.counter_timeout;
        configured.map_or(self.connect_timeout, Duration::from_micros)
    }
}

/// The limit on file descriptors, within its bounds.
fn max_descriptors(configured: Option<f64>) -> usize {
    configured.unwrap_or(DEFAULT_DESCRIPTORS).clamp(MIN_DESCRIPTORS, MAX_DESCRIPTORS) as usize
}

/// The limit on memory, within its bounds.
fn max_memory_bytes(configured_mb: Option<f64>) -> usize {
    configured_mb.unwrap_or(DEFAULT_MEMORY_MB).clamp(MIN_MEMORY_MB, MAX_MEMORY_MB) as usize * BYTES_PER_MB
}

/// The limit on the units of one request, if it is usable.
fn max_units(configured: Option<f64>) -> f64 {
    configured.filter(|units| units.is_finite() && *units > 0.0).unwrap_or(DEFAULT_MAX_UNITS)
}

/// The names that the settings define.
fn names(settings: &TransportSettings) -> WireNames {
    let names_of = |items: &[NamedItem]| items.iter().map(|NamedItem(name)| name.clone()).collect();
    WireNames {
        classes: names_of(&settings.classes),
        plans: names_of(&settings.plans),
        zones: names_of(&settings.zones),
    }
}
