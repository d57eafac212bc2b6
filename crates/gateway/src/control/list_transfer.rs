//! Transfer of endpoint lists between the processes of a gateway: lines of JSON, one for the header of an update and one
//! for each of its entries. A reader ignores fields that it does not know.

use crate::config::names::WireNames;
use crate::control::current_list::{ListUpdate, UpdateHeader};
use crate::control::endpoint_list::{zone_from_key, zone_key, ListedEndpoint};
use grebehook_core::{Endpoint, EndpointState, NonZeroMicros, ServerId};
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: u64 = 1_024;
/// Maximum number of entries of an update: more than the longest answer of discovery can hold.
const MAX_ENDPOINTS: usize = 65_536;
/// Number of bytes after which encoded lines are written.
const WRITE_CHUNK_BYTES: usize = 16 << 10;

/// Error of a transfer between processes.
#[derive(Debug, thiserror::Error)]
pub enum TransferError {
    /// The connection failed.
    #[error("the connection failed")]
    Connection(#[from] io::Error),
    /// The connection ended within an update.
    #[error("the connection ended within an update")]
    CutOff,
    /// A line exceeds the bound that keeps a misbehaving process from filling the memory.
    #[error("a line has more than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// A line is not a header or an entry.
    #[error("a line is malformed")]
    Malformed(#[source] serde_json::Error),
    /// An update has too many entries.
    #[error("an update has {0} entries")]
    TooManyEndpoints(usize),
}

impl TransferError {
    /// Returns the error, unless it only says that the other process has closed the connection.
    pub fn ignore_disconnect(self) -> Result<(), TransferError> {
        match &self {
            TransferError::Connection(error)
                if matches!(error.kind(), io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionReset) =>
            {
                Ok(())
            }
            _ => Err(self),
        }
    }
}

/// JSON form of one entry.
#[derive(Serialize, Deserialize)]
struct EndpointRecord {
    id: u64,
    address: SocketAddr,
    state: StateRecord,
    /// Start time by the fleet's clock, in microseconds.
    #[serde(default)]
    started_at: Option<NonZeroMicros>,
    relative_size: f64,
    /// Key of the zone's name; the zones' numbers differ between settings.
    #[serde(default)]
    zone: Option<u32>,
    cell: u32,
}

/// JSON form of the state of a server.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateRecord {
    /// The server accepts new requests.
    Ready,
    /// The server completes its requests in flight and accepts no new ones.
    Draining,
    /// The server has been removed from the list.
    Removed,
}

impl From<EndpointState> for StateRecord {
    fn from(state: EndpointState) -> StateRecord {
        match state {
            EndpointState::Ready => StateRecord::Ready,
            EndpointState::Draining => StateRecord::Draining,
            EndpointState::Removed => StateRecord::Removed,
        }
    }
}

impl From<StateRecord> for EndpointState {
    fn from(state: StateRecord) -> EndpointState {
        match state {
            StateRecord::Ready => EndpointState::Ready,
            StateRecord::Draining => EndpointState::Draining,
            StateRecord::Removed => EndpointState::Removed,
        }
    }
}

impl EndpointRecord {
    fn new(listed: &ListedEndpoint, names: &WireNames) -> EndpointRecord {
        let ListedEndpoint { address, endpoint } = listed;
        EndpointRecord {
            id: endpoint.server.0,
            address: *address,
            state: endpoint.state.into(),
            started_at: endpoint.started_at,
            relative_size: endpoint.relative_size,
            zone: zone_key(endpoint.zone, names),
            cell: endpoint.cell,
        }
    }

    fn into_listed(self, names: &WireNames) -> ListedEndpoint {
        let endpoint = Endpoint {
            server: ServerId(self.id),
            state: self.state.into(),
            started_at: self.started_at,
            relative_size: self.relative_size,
            zone: zone_from_key(self.zone, names),
            cell: self.cell,
        };
        ListedEndpoint { address: self.address, endpoint }
    }
}

/// Sends a header and its entries, in chunks that bound the memory that a long list needs.
pub async fn write_update(
    stream: &mut (impl AsyncWrite + Unpin),
    update: &ListUpdate,
    names: &WireNames,
) -> Result<(), TransferError> {
    let mut chunk = encode(&update.header)?;
    for listed in &update.endpoints {
        if chunk.len() >= WRITE_CHUNK_BYTES {
            stream.write_all(&chunk).await?;
            chunk.clear();
        }
        chunk.extend(encode(&EndpointRecord::new(listed, names))?);
    }
    stream.write_all(&chunk).await?;
    Ok(())
}

/// Encodes one line.
fn encode(record: &impl Serialize) -> Result<Vec<u8>, TransferError> {
    let mut line = serde_json::to_vec(record).map_err(TransferError::Malformed)?;
    line.push(b'\n');
    Ok(line)
}

/// Receiving side of a connection, which reads a header and then its entries, or skips them.
pub struct UpdateReader<R> {
    stream: BufReader<R>,
    names: WireNames,
    line: Vec<u8>,
}

impl<R: AsyncRead + Unpin> UpdateReader<R> {
    /// Creates a reader that translates zones by the names of this process's settings.
    pub fn new(stream: R, names: WireNames) -> UpdateReader<R> {
        UpdateReader { stream: BufReader::new(stream), names, line: Vec::new() }
    }

    /// Reads the header of the next update; `None` once the connection has ended.
    pub async fn read_header(&mut self) -> Result<Option<UpdateHeader>, TransferError> {
        if !self.read_line().await? {
            return Ok(None);
        }
        let header: UpdateHeader = serde_json::from_slice(&self.line).map_err(TransferError::Malformed)?;
        if header.endpoint_count > MAX_ENDPOINTS {
            return Err(TransferError::TooManyEndpoints(header.endpoint_count));
        }
        Ok(Some(header))
    }

    /// Reads the entries of an update.
    pub async fn read_endpoints(&mut self, count: usize) -> Result<Vec<ListedEndpoint>, TransferError> {
        let mut endpoints = Vec::new();
        for _ in 0..count {
            self.read_entry_line().await?;
            let record: EndpointRecord =
                serde_json::from_slice(&self.line).map_err(TransferError::Malformed)?;
            endpoints.push(record.into_listed(&self.names));
        }
        Ok(endpoints)
    }

    /// Discards the entries of an update.
    pub async fn skip_endpoints(&mut self, count: usize) -> Result<(), TransferError> {
        for _ in 0..count {
            self.read_entry_line().await?;
        }
        Ok(())
    }

    /// Reads the line of an entry, which has to follow.
    async fn read_entry_line(&mut self) -> Result<(), TransferError> {
        if self.read_line().await? {
            Ok(())
        } else {
            Err(TransferError::CutOff)
        }
    }

    /// Reads a line; returns false if the connection has ended before it.
    async fn read_line(&mut self) -> Result<bool, TransferError> {
        self.line.clear();
        let mut limited = (&mut self.stream).take(MAX_LINE_BYTES);
        limited.read_until(b'\n', &mut self.line).await?;
        match self.line.last() {
            None => Ok(false),
            Some(b'\n') => Ok(true),
            Some(_) if self.line.len() as u64 == MAX_LINE_BYTES => Err(TransferError::LineTooLong),
            Some(_) => Err(TransferError::CutOff),
        }
    }
}

#[cfg(test)]
mod tests;
