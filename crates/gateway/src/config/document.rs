//! What a gateway is told at its start, by the JSON file of its configuration and the environment.

use crate::config::file::{ConfigFile, Named, TransportFile, TransportSettings};
use crate::config::names::WireNames;
use crate::control::endpoint_list::EndpointList;
use grebehook_core::{Settings, SettingsError};
use grebehook_simulator_adapter::fields::{self, FieldError};
use serde_json::Value;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The variable that names where operators call, where the file does not.
const OPS_VARIABLE: &str = "GW_OPS";
/// Descriptors, where the configuration does not limit them, and the bounds of what it may say.
const DEFAULT_SOCKETS: f64 = 1_024.0;
const MIN_SOCKETS: f64 = 64.0;
const MAX_SOCKETS: f64 = 65_536.0;
/// The same of memory, in millions of bytes.
const DEFAULT_MEMORY_MB: f64 = 64.0;
const MIN_MEMORY_MB: f64 = 16.0;
const MAX_MEMORY_MB: f64 = 65_536.0;
const BYTES_PER_MB: usize = 1_000_000;
/// As many units as the decision core can count, for settings that name no bound.
const DEFAULT_MAX_UNITS: f64 = 1e6;
const DEFAULT_NAME: &str = "gateway";

/// Everything that the gateway reads at its start.
pub struct Config {
    /// The gateway's name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call; absent where nobody does.
    pub ops: Option<SocketAddr>,
    /// The discovery agent.
    pub discovery: SocketAddr,
    /// The shared counter; absent where there is none.
    pub counter: Option<SocketAddr>,
    /// Where messages of other gateways arrive; absent where they are not allowed.
    pub peer_listen: Option<SocketAddr>,
    /// One address for each gateway of the tier, by its number.
    pub peers: Vec<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Most file descriptors.
    pub sockets: usize,
    /// Most memory, in bytes.
    pub memory: usize,
    /// The servers as this gateway last knew them.
    pub known: EndpointList,
    /// Most units that one request may take.
    pub most_units: f64,
    /// What the decision module is told.
    pub settings: Settings,
    /// WireNames on the wire, by their place in the settings.
    pub names: WireNames,
    /// Connections not established by then have failed.
    pub connect_timeout: Duration,
    /// Servers close connections that stood idle for so long.
    pub server_idle: Duration,
}

/// Why the configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{} cannot be read: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("the configuration is not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A field of the file is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The decision core does not take the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The environment names no address for operators.
    #[error("{OPS_VARIABLE} is not valid: {0}")]
    OpsVariable(AddrParseError),
}

impl Config {
    /// Reads a file. The environment adds where operators call, if the file does not say it.
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
        let file: ConfigFile = fields::read(document)?;
        let transport = fields::read::<TransportFile>(document)?.settings;
        let in_settings = |e: FieldError| FieldError { path: format!("settings.{}", e.path), ..e };
        let settings = file.settings.settings().map_err(in_settings)?;
        let most_units = transport.family_info.max_units.filter(|units| units.is_finite() && *units > 0.0);
        let limits = file.limits.unwrap_or_default();
        let sockets = limits.sockets.unwrap_or(DEFAULT_SOCKETS).clamp(MIN_SOCKETS, MAX_SOCKETS);
        let memory_mb = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB).clamp(MIN_MEMORY_MB, MAX_MEMORY_MB);
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
            sockets: sockets as usize,
            memory: memory_mb as usize * BYTES_PER_MB,
            known: file.known.into_list(&names),
            most_units: most_units.unwrap_or(DEFAULT_MAX_UNITS),
            settings,
            names,
            connect_timeout: transport.limits.connect_timeout,
            server_idle: transport.limits.server_idle,
        })
    }
}

fn names(settings: &TransportSettings) -> WireNames {
    let all = |named: &[Named]| named.iter().map(|Named(name)| name.clone()).collect();
    WireNames { classes: all(&settings.classes), plans: all(&settings.plans), zones: all(&settings.zones) }
}
