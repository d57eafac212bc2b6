//! The messages of the protocol as they stand on the wire, for the length that they have. Headers of TCP and IP
//! are not counted.

use serde::Serialize;

/// The machine type of all servers.
pub const MACHINE_TYPE: &str = "std";

/// A server's name on the wire.
pub fn server_name(server: usize) -> String {
    format!("s-{server:08x}")
}

/// One server as discovery names it.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointMessage {
    /// The same at every gateway.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its machine type.
    #[serde(rename = "type")]
    pub machine_type: &'static str,
    /// The group of servers that share the idempotency keys they have seen.
    pub group: u32,
    /// `ready`, `draining` or `gone`.
    pub status: &'static str,
    /// Its capacity relative to other servers'.
    pub weight: f64,
    /// Last start, Unix time.
    #[serde(rename = "since_ms")]
    pub started_at_ms: u64,
}

/// The body of a response of discovery.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointListMessage {
    /// The version.
    pub index: u64,
    /// Whether this is the complete list.
    pub snapshot: bool,
    /// The entries.
    pub endpoints: Vec<EndpointMessage>,
}

/// The length of a value as JSON.
pub fn json_length<T: Serialize>(value: &T) -> u64 {
    serde_json::to_vec(value).map_or(0, |text| text.len() as u64)
}

/// A watch call of a discovery agent.
pub fn watch_call(agent: &str, index: u64, wait_ms: u64) -> String {
    format!("GET /catalog/members?index={index}&wait={wait_ms} HTTP/1.1\r\nhost: {agent}\r\n\r\n")
}

/// The head of a response with a JSON body.
pub fn response_head(body_length: u64) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {body_length}\r\n\
         date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n"
    )
}

/// A counter call.
pub fn counter_call(address: &str, key: u64, amount: f64, ttl_ms: u64) -> String {
    format!(
        "POST /v2/numbers/{key:x}?delta={amount}&life_ms={ttl_ms} HTTP/1.1\r\nhost: {address}\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// The counter's reply with a total.
pub fn counter_reply(total: f64) -> String {
    let body = total.to_string();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\ndate: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n{body}",
        body.len()
    )
}
