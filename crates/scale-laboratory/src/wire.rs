//! The messages of the protocol as they stand on the wire, for the length that they have. Headers of TCP and IP
//! are not counted.

use serde::Serialize;

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
    pub machine: &'static str,
    /// The group of servers that share what they have seen.
    pub group: u32,
    /// `ready`, `draining` or `gone`.
    pub status: &'static str,
    /// A figure to compare with other servers'.
    pub weight: f64,
    /// Last start, Unix time.
    pub since_ms: u64,
}

/// The body of an answer of discovery.
#[derive(Clone, Debug, Serialize)]
pub struct Listing {
    /// The version.
    pub index: u64,
    /// The whole list.
    pub snapshot: bool,
    /// The entries.
    pub endpoints: Vec<EndpointMessage>,
}

/// The length of a value as JSON.
pub fn json_length<T: Serialize>(value: &T) -> u64 {
    serde_json::to_vec(value).map_or(0, |text| text.len() as u64)
}

/// A watch call of a discovery agent.
pub fn watch_call(agent: &str, index: u64, wait_milliseconds: u64) -> String {
    format!("GET /catalog/members?index={index}&wait={wait_milliseconds} HTTP/1.1\r\nhost: {agent}\r\n\r\n")
}

/// The head of an answer with a JSON body.
pub fn answer_head(body_length: u64) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {body_length}\r\n\
         date: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n"
    )
}

/// A call of the counter.
pub fn counter_call(counter: &str, name: u64, amount: f64, life_milliseconds: u64) -> String {
    format!(
        "POST /v2/numbers/{name:x}?delta={amount}&life_ms={life_milliseconds} HTTP/1.1\r\nhost: {counter}\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// The counter's answer with a total.
pub fn counter_answer(total: f64) -> String {
    let body = total.to_string();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\ndate: Thu, 01 Jan 1970 00:00:00 GMT\r\n\r\n{body}",
        body.len()
    )
}
