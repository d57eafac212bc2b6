//! The JSON of the configuration file; unknown keys are ignored. The file's names are mapped to the code's terms
//! here.

use crate::control::endpoint_list::EndpointListMessage;
use grebehook_simulator_adapter::fields;
use grebehook_simulator_adapter::settings::SettingsMessage;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// The durations that are valid: from a microsecond to some days.
const VALID_MICROS: Range<f64> = 1.0..1e12;

/// The file, except for what [`TransportFile`] reads of its settings.
#[derive(Debug, Deserialize)]
pub struct ConfigFile {
    /// The gateway's name.
    pub name: Option<String>,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub ops: Option<SocketAddr>,
    /// The discovery agent.
    pub discovery: SocketAddr,
    /// The shared counter.
    pub counter: Option<SocketAddr>,
    /// Where gossip arrives.
    pub peer_listen: Option<SocketAddr>,
    /// The gossip addresses of all gateways, by their numbers.
    pub peers: Option<Vec<SocketAddr>>,
    /// The seed of random numbers: 64 bits in hexadecimal.
    #[serde(deserialize_with = "hexadecimal")]
    pub seed: u64,
    /// What the process may use of its machine.
    pub limits: Option<ProcessLimits>,
    /// The endpoint list as this gateway last knew it.
    #[serde(rename = "known")]
    pub known_endpoints: EndpointListMessage,
    /// The settings of the decision core.
    pub settings: SettingsMessage,
}

/// What the process may use of its machine.
#[derive(Debug, Default, Deserialize)]
pub struct ProcessLimits {
    /// Most file descriptors.
    #[serde(rename = "sockets")]
    pub max_descriptors: Option<f64>,
    /// Most memory, in megabytes.
    #[serde(rename = "memory_mb")]
    pub max_memory_mb: Option<f64>,
}

/// The same file, read for what its settings say about names and connections.
#[derive(Debug, Deserialize)]
pub struct TransportFile {
    /// The settings.
    pub settings: TransportSettings,
}

/// The settings that concern the gateway program and not the decision core.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct TransportSettings {
    /// The classes.
    pub classes: Vec<NamedItem>,
    /// The plans.
    pub plans: Vec<NamedItem>,
    /// The zones.
    pub zones: Vec<NamedItem>,
    /// Limits of connections to servers.
    pub limits: ConnectionLimits,
    /// The customers' interface.
    #[serde(rename = "familyInfo", default, deserialize_with = "fields::lenient_object")]
    pub customer_interface: CustomerInterface,
}

/// Limits of connections to servers.
#[derive(Debug, Deserialize)]
pub struct ConnectionLimits {
    /// How long a connection may take to be established.
    #[serde(rename = "connectTimeoutUs", deserialize_with = "positive_micros")]
    pub connect_timeout: Duration,
    /// After how long servers close idle connections.
    #[serde(rename = "connIdleUs", deserialize_with = "positive_micros")]
    pub server_idle_timeout: Duration,
}

/// What the customers' interface says about requests.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct CustomerInterface {
    /// Most units that one request may take.
    #[serde(deserialize_with = "fields::lenient")]
    pub max_units: Option<f64>,
}

/// The name of an item that is written as a string, or as an object with a name among other keys.
#[derive(Debug)]
pub struct NamedItem(pub String);

impl<'de> Deserialize<'de> for NamedItem {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<NamedItem, D::Error> {
        let value = Value::deserialize(deserializer)?;
        let name = value.as_str().or_else(|| value.get("name")?.as_str());
        name.map(|name| NamedItem(name.to_owned())).ok_or_else(|| D::Error::custom("has no name"))
    }
}

/// A 64-bit number in hexadecimal.
fn hexadecimal<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let not_hexadecimal = || D::Error::custom("is no text of up to 16 hexadecimal digits");
    let text = String::deserialize(deserializer).map_err(|_| not_hexadecimal())?;
    u64::from_str_radix(&text, 16).map_err(|_| not_hexadecimal())
}

/// A duration in microseconds, within [`VALID_MICROS`].
fn positive_micros<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let micros = fields::number(deserializer)?;
    if !VALID_MICROS.contains(&micros) {
        return Err(D::Error::custom("is not between 1 and 1e12 microseconds"));
    }
    Ok(Duration::from_micros(micros as u64))
}
