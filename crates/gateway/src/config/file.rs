//! The configuration as the platform writes it: the types of its JSON. Unknown keys are ignored.

use crate::control::endpoint_list::EndpointListMessage;
use grebehook_simulator_adapter::fields;
use grebehook_simulator_adapter::settings::SettingsMessage;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// The whole file, but for what [`TransportFile`] reads of its settings.
#[derive(Debug, Deserialize)]
pub struct ConfigFile {
    /// The gateway's name.
    pub name: Option<String>,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call.
    pub ops: Option<SocketAddr>,
    /// The discovery agent.
    pub discovery: SocketAddr,
    /// The shared counter.
    pub counter: Option<SocketAddr>,
    /// Where messages of other gateways arrive.
    pub peer_listen: Option<SocketAddr>,
    /// One address for each gateway.
    pub peers: Option<Vec<SocketAddr>>,
    /// For random numbers: 64 bits in hexadecimal.
    #[serde(deserialize_with = "hexadecimal")]
    pub seed: u64,
    /// What the process may use.
    pub limits: Option<LimitsSection>,
    /// The list of servers as this gateway last had it.
    pub known: EndpointListMessage,
    /// What the decision core is told.
    pub settings: SettingsMessage,
}

/// What the process may use of its machine.
#[derive(Debug, Default, Deserialize)]
pub struct LimitsSection {
    /// Most file descriptors.
    pub sockets: Option<f64>,
    /// Most memory, in millions of bytes.
    pub memory_mb: Option<f64>,
}

/// The same file, read for what the settings say of names and connections.
#[derive(Debug, Deserialize)]
pub struct TransportFile {
    /// The settings.
    pub settings: TransportSettings,
}

/// What the gateway needs of the settings besides the decision core.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct TransportSettings {
    /// The classes.
    pub classes: Vec<Named>,
    /// The plans.
    pub plans: Vec<Named>,
    /// The zones.
    pub zones: Vec<Named>,
    /// What bounds connections.
    pub limits: TransportLimits,
    /// What the customers' interface says.
    #[serde(default, deserialize_with = "fields::lenient_object")]
    pub family_info: TransportFamily,
}

/// What bounds connections to servers.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct TransportLimits {
    /// Connections not established by then have failed.
    #[serde(rename = "connectTimeoutUs", deserialize_with = "positive_micros")]
    pub connect_timeout: Duration,
    /// Servers close connections that stood idle for so long.
    #[serde(rename = "connIdleUs", deserialize_with = "positive_micros")]
    pub server_idle: Duration,
}

/// What the customers' interface says of requests.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct TransportFamily {
    /// Most units that one request may take.
    #[serde(deserialize_with = "fields::lenient")]
    pub max_units: Option<f64>,
}

/// The name of something: a text, or an object with its name among other keys.
#[derive(Debug)]
pub struct Named(pub String);

impl<'de> Deserialize<'de> for Named {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Named, D::Error> {
        let value = Value::deserialize(deserializer)?;
        let name = value.as_str().or_else(|| value.get("name")?.as_str());
        name.map(|name| Named(name.to_owned())).ok_or_else(|| D::Error::custom("has no name"))
    }
}

fn hexadecimal<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let not_hexadecimal = || D::Error::custom("is no text of up to 16 hexadecimal digits");
    let text = String::deserialize(deserializer).map_err(|_| not_hexadecimal())?;
    u64::from_str_radix(&text, 16).map_err(|_| not_hexadecimal())
}

/// Microseconds from 1 to some days.
fn positive_micros<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let micros = fields::number(deserializer)?;
    if !(1.0..1e12).contains(&micros) {
        return Err(D::Error::custom("is not between 1 and 1e12 microseconds"));
    }
    Ok(Duration::from_micros(micros as u64))
}
