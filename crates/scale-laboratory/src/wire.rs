//! Messages of the discovery and counter protocols as sent on the wire, used to compute their length. TCP and
//! IP headers are not counted.

use serde::Serialize;

/// Machine type of all servers.
pub const MACHINE_TYPE: &str = "std";

/// Returns the name of a server on the wire.
pub fn server_name(server: usize) -> String {
    format!("s-{server:08x}")
}

/// Entry of a server in the endpoint list.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointMessage {
    /// Name of the server, the same at every gateway.
    pub name: String,
    /// Address that the server listens on.
    pub address: String,
    /// Name of the server's zone.
    pub zone: String,
    /// Machine type of the server.
    #[serde(rename = "type")]
    pub machine_type: &'static str,
    /// Group of servers that share the idempotency keys they have seen.
    pub group: u32,
    /// State of the server: `ready`, `draining` or `gone`.
    pub status: &'static str,
    /// Capacity relative to that of other servers.
    pub weight: f64,
    /// Time of the last start, in milliseconds since the Unix epoch.
    #[serde(rename = "since_ms")]
    pub started_at_ms: u64,
}

/// Body of a discovery response.
#[derive(Clone, Debug, Serialize)]
pub struct EndpointListMessage {
    /// Version of the endpoint list.
    pub index: u64,
    /// Whether this is the complete list rather than a delta.
    pub snapshot: bool,
    /// Entries of the list or of the delta.
    pub endpoints: Vec<EndpointMessage>,
}

/// Returns the length of a value as JSON, in bytes.
pub fn json_length<T: Serialize>(value: &T) -> u64 {
    serde_json::to_vec(value).map_or(0, |text| text.len() as u64)
}

/// Returns a watch request to a discovery agent.
pub fn watch_call(agent: &str, index: u64, wait_ms: u64) -> String {
    format!("GET /catalog/members?index={index}&wait={wait_ms} HTTP/1.1\r\nhost: {agent}\r\n\r\n")
}

/// Returns the head of a response with a JSON body.
pub fn response_head(body_length: u64) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {body_length}\r\n\
         date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n"
    )
}

/// Returns a request to the shared counter.
pub fn counter_call(address: &str, key: u64, amount: f64, ttl_ms: u64) -> String {
    format!(
        "POST /v2/numbers/{key:x}?delta={amount}&life_ms={ttl_ms} HTTP/1.1\r\nhost: {address}\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// Returns the shared counter's response with a total.
pub fn counter_reply(total: f64) -> String {
    let body = total.to_string();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\ndate: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n{body}",
        body.len()
    )
}
