//! Configuration of a gateway, read from a JSON file and the environment.

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

/// Environment variable with the listen address for operators, used if the file has none.
const OPS_VARIABLE: &str = "GW_OPS";
/// Name of the gateway if the file has none.
const DEFAULT_NAME: &str = "gateway";
/// Limit on file descriptors if the file has none.
const DEFAULT_DESCRIPTORS: f64 = 1_024.0;
/// Minimum limit on file descriptors; a lower one in the file is raised to it.
const MIN_DESCRIPTORS: f64 = 64.0;
/// Maximum limit on file descriptors; a higher one in the file is lowered to it.
const MAX_DESCRIPTORS: f64 = 65_536.0;
/// Limit on memory, in megabytes, if the file has none.
const DEFAULT_MEMORY_MB: f64 = 64.0;
/// Minimum limit on memory, in megabytes; a lower one in the file is raised to it.
const MIN_MEMORY_MB: f64 = 16.0;
/// Maximum limit on memory, in megabytes; a higher one in the file is lowered to it.
const MAX_MEMORY_MB: f64 = 65_536.0;
/// Conversion factor for memory, which the file gives in megabytes.
const BYTES_PER_MB: usize = 1_000_000;
/// Maximum number of quota units of a request if the file sets none: the highest number that the decision
/// core can count.
const DEFAULT_MAX_UNITS: f64 = 1e6;

/// Configuration of a gateway, read at startup.
pub struct Config {
    /// Name of the gateway in its log.
    pub name: String,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Listen address for operators; `None` disables the operators' server.
    pub operations_listen: Option<SocketAddr>,
    /// Address of the discovery agent.
    pub discovery_address: SocketAddr,
    /// Address of the shared counter, if the gateway uses one.
    pub counter_address: Option<SocketAddr>,
    /// Listen address for gossip; `None` disables gossip.
    pub peer_listen: Option<SocketAddr>,
    /// Gossip addresses of all gateways, by gateway index.
    pub peers: Vec<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Limit on file descriptors.
    pub max_descriptors: usize,
    /// Limit on memory, in bytes.
    pub max_memory_bytes: usize,
    /// Last known endpoint list, used until discovery responds.
    pub known_endpoints: EndpointList,
    /// Maximum number of quota units that a request can use.
    pub max_units: f64,
    /// Settings of the decision core.
    pub settings: Settings,
    /// Names of classes, plans and zones in messages.
    pub names: WireNames,
    /// Timeout for establishing a connection to a server.
    pub connect_timeout: Duration,
    /// Idle time after which servers close a connection.
    pub server_idle_timeout: Duration,
}

/// Error of settings that the decision core rejects. Its text contains the path of the field below
/// `settings`.
#[derive(Debug, thiserror::Error)]
#[error("settings: {0}")]
pub struct RejectedSettings(FieldError);

impl From<SettingsError> for RejectedSettings {
    fn from(error: SettingsError) -> RejectedSettings {
        RejectedSettings(error.into())
    }
}

/// Error that makes the configuration unusable.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{} cannot be read", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    /// The file is not valid JSON.
    #[error("the configuration is not valid JSON")]
    NotJson(#[source] serde_json::Error),
    /// A field of the file is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The decision core rejects the settings.
    #[error(transparent)]
    Settings(#[from] RejectedSettings),
    /// The environment variable for the operators' address does not contain a valid address.
    #[error("{OPS_VARIABLE} is not a valid socket address")]
    OpsVariable(#[source] AddrParseError),
}

impl Config {
    /// Moves the last known endpoint list out of the configuration.
    pub fn take_known_endpoints(&mut self) -> EndpointList {
        let endpoints = std::mem::take(&mut self.known_endpoints.endpoints);
        EndpointList { endpoints, ..self.known_endpoints }
    }

    /// Reads a configuration file. If it has no operators' address, the one in the environment applies.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let unreadable = |source| ConfigError::Unreadable { path: path.to_owned(), source };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        let document = serde_json::from_str(&text).map_err(ConfigError::NotJson)?;
        let mut config = Config::from_document(&document)?;
        if let (None, Ok(address)) = (config.operations_listen, std::env::var(OPS_VARIABLE)) {
            config.operations_listen = Some(address.parse().map_err(ConfigError::OpsVariable)?);
        }
        Ok(config)
    }

    /// Reads a configuration from the JSON document of its file.
    pub fn from_document(document: &Value) -> Result<Config, ConfigError> {
        let file: ConfigFile = fields::deserialize(document)?;
        let transport = fields::deserialize::<TransportFile>(document)?.settings;
        let in_settings =
            |error: FieldError| FieldError { path: format!("settings.{}", error.path), ..error };
        let settings = file.settings.to_core_settings().map_err(in_settings)?;
        let limits = file.limits.unwrap_or_default();
        let names = wire_names(&transport);
        Ok(Config {
            name: file.name.unwrap_or_else(|| DEFAULT_NAME.to_owned()),
            listen: file.listen,
            operations_listen: file.operations_listen,
            discovery_address: file.discovery,
            counter_address: file.counter,
            peer_listen: file.peer_listen,
            peers: file.peers.unwrap_or_default(),
            seed: file.seed,
            max_descriptors: max_descriptors(limits.max_descriptors),
            max_memory_bytes: max_memory_bytes(limits.max_memory_mb),
            known_endpoints: file.known_endpoints.into_list(&names),
            max_units: max_units(transport.quota_accounting.max_units),
            settings,
            names,
            connect_timeout: transport.limits.connect_timeout,
            server_idle_timeout: transport.limits.server_idle_timeout,
        })
    }

    /// Returns the longest deadline of any request class.
    pub fn longest_deadline(&self) -> Duration {
        let deadlines = self.settings.classes.iter().map(|class| Duration::from_micros(class.deadline));
        deadlines.max().unwrap_or_default()
    }

    /// Returns the timeout of a call of the shared counter: the one in the settings, or else the connect
    /// timeout.
    pub fn counter_timeout(&self) -> Duration {
        let configured = self.settings.capabilities.counter_timeout;
        configured.map_or(self.connect_timeout, Duration::from_micros)
    }
}

/// Returns the limit on file descriptors, clamped to its bounds.
fn max_descriptors(configured: Option<f64>) -> usize {
    configured.unwrap_or(DEFAULT_DESCRIPTORS).clamp(MIN_DESCRIPTORS, MAX_DESCRIPTORS) as usize
}

/// Returns the limit on memory in bytes, clamped to its bounds.
fn max_memory_bytes(configured_mb: Option<f64>) -> usize {
    configured_mb.unwrap_or(DEFAULT_MEMORY_MB).clamp(MIN_MEMORY_MB, MAX_MEMORY_MB) as usize * BYTES_PER_MB
}

/// Returns the configured maximum number of quota units, or the default if that is not finite and positive.
fn max_units(configured: Option<f64>) -> f64 {
    configured.filter(|units| units.is_finite() && *units > 0.0).unwrap_or(DEFAULT_MAX_UNITS)
}

/// Returns the names that the settings define.
fn wire_names(settings: &TransportSettings) -> WireNames {
    let names_of = |items: &[NamedItem]| items.iter().map(|NamedItem(name)| name.clone()).collect();
    WireNames {
        classes: names_of(&settings.classes),
        plans: names_of(&settings.plans),
        zones: names_of(&settings.zones),
    }
}
