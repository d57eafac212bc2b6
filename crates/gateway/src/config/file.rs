//! JSON form of the configuration file, which maps the names in the file to the code's terms. Unknown keys
//! are ignored.

use crate::control::endpoint_list::EndpointListMessage;
use grebehook_simulator_adapter::fields;
use grebehook_simulator_adapter::settings::SettingsMessage;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// Range of valid durations in microseconds: from 1 µs to less than 1e12 µs, about 11.6 days.
const VALID_DURATION_MICROS: Range<f64> = 1.0..1e12;

/// Configuration file, except for the part of its settings that [`TransportFile`] reads.
#[derive(Debug, Deserialize)]
pub struct ConfigFile {
    /// Name of the gateway in its log.
    pub name: Option<String>,
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Listen address for operators.
    #[serde(rename = "ops")]
    pub operations_listen: Option<SocketAddr>,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Address of the shared counter.
    pub counter: Option<SocketAddr>,
    /// Listen address for gossip.
    pub peer_listen: Option<SocketAddr>,
    /// Gossip addresses of all gateways, by gateway index.
    pub peers: Option<Vec<SocketAddr>>,
    /// Seed of the random number generators: 64 bits in hexadecimal.
    #[serde(deserialize_with = "hexadecimal")]
    pub seed: u64,
    /// Limits on the resources of the process.
    pub limits: Option<ProcessLimits>,
    /// Last known endpoint list, used until discovery responds.
    #[serde(rename = "known")]
    pub known_endpoints: EndpointListMessage,
    /// Settings of the decision core.
    pub settings: SettingsMessage,
}

/// Limits on the resources of the process.
#[derive(Debug, Default, Deserialize)]
pub struct ProcessLimits {
    /// Limit on file descriptors.
    #[serde(rename = "sockets")]
    pub max_descriptors: Option<f64>,
    /// Limit on memory, in megabytes.
    #[serde(rename = "memory_mb")]
    pub max_memory_mb: Option<f64>,
}

/// View of the same file that reads the names and connection limits in its settings.
#[derive(Debug, Deserialize)]
pub struct TransportFile {
    /// Part of the settings that the gateway program uses.
    pub settings: TransportSettings,
}

/// Settings that the gateway program uses itself rather than the decision core.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct TransportSettings {
    /// Request classes, in index order.
    pub classes: Vec<NamedItem>,
    /// Customers' plans, in index order.
    pub plans: Vec<NamedItem>,
    /// Zones in which gateways and servers run, in index order.
    pub zones: Vec<NamedItem>,
    /// Limits of connections to servers.
    pub limits: ConnectionLimits,
    /// Parameters of quota accounting.
    #[serde(rename = "familyInfo", default, deserialize_with = "fields::lenient_object")]
    pub quota_accounting: QuotaAccounting,
}

/// Limits of connections to servers.
#[derive(Debug, Deserialize)]
pub struct ConnectionLimits {
    /// Timeout for establishing a connection.
    #[serde(rename = "connectTimeoutUs", deserialize_with = "positive_micros")]
    pub connect_timeout: Duration,
    /// Idle time after which servers close a connection.
    #[serde(rename = "connIdleUs", deserialize_with = "positive_micros")]
    pub server_idle_timeout: Duration,
}

/// Parameters of quota accounting that the gateway program uses itself.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct QuotaAccounting {
    /// Maximum number of quota units that a request can use.
    #[serde(deserialize_with = "fields::lenient")]
    pub max_units: Option<f64>,
}

/// Name of an item, written as a string or as an object with the key `name`.
#[derive(Debug)]
pub struct NamedItem(pub String);

impl<'de> Deserialize<'de> for NamedItem {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<NamedItem, D::Error> {
        let value = Value::deserialize(deserializer)?;
        let name = value.as_str().or_else(|| value.get("name")?.as_str());
        name.map(|name| NamedItem(name.to_owned())).ok_or_else(|| D::Error::custom("has no name"))
    }
}

/// Deserializes a 64-bit number in hexadecimal.
fn hexadecimal<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let not_hexadecimal = || D::Error::custom("is not a string of up to 16 hexadecimal digits");
    let text = String::deserialize(deserializer).map_err(|_| not_hexadecimal())?;
    u64::from_str_radix(&text, 16).map_err(|_| not_hexadecimal())
}

/// Deserializes a duration in microseconds, within [`VALID_DURATION_MICROS`].
fn positive_micros<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let micros = fields::number(deserializer)?;
    if !VALID_DURATION_MICROS.contains(&micros) {
        return Err(D::Error::custom("is not between 1 and 1e12 microseconds"));
    }
    Ok(Duration::from_micros(micros as u64))
}
