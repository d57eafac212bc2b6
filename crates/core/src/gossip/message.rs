//! The bytes of a gossip message. A message is a version, the sender's incarnation and an entry for each
//! customer.

use crate::api::CustomerId;

/// The version of the format, a message's first byte.
const VERSION: u8 = 1;
/// Bytes of a message before its entries.
const HEADER_BYTES: usize = 4;
/// Bytes of an entry.
const ENTRY_BYTES: usize = 15;
/// Bytes of a message at most.
const MAX_MESSAGE_BYTES: usize = 256;
/// Entries of a message at most.
pub(crate) const MAX_ENTRIES: usize = (MAX_MESSAGE_BYTES - HEADER_BYTES) / ENTRY_BYTES;
/// Bits of a running total that an entry carries.
pub(crate) const TOTAL_BITS: u32 = 24;
/// Fractions of the quota in which demand is sent.
const DEMAND_PARTS: f64 = 16.0;

/// One gateway's use of one customer's quota.
pub(crate) struct CustomerUsage {
    /// The customer.
    pub customer: CustomerId,
    /// Index of its plan.
    pub plan: usize,
    /// How many gateways serve it.
    pub gateway_count: usize,
    /// Running total of units used, in eighths, modulo 2^[`TOTAL_BITS`].
    pub total_eighths: u32,
    /// Demand in multiples of the quota, sent in sixteenths, up to 15.9.
    pub demand: f64,
}

/// A message that was received.
pub(crate) struct GossipMessage {
    /// Which start of the sender the totals belong to.
    pub incarnation: u32,
    /// Its entries.
    pub entries: Vec<CustomerUsage>,
}

/// The bytes of a message.
pub(crate) fn encode(incarnation: u32, entries: &[CustomerUsage]) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    bytes.extend(&incarnation.to_be_bytes()[1..]);
    for entry in entries {
        bytes.extend(entry.customer.0.to_be_bytes());
        bytes.push(entry.plan as u8);
        bytes.extend((entry.gateway_count as u16).to_be_bytes());
        bytes.extend(&entry.total_eighths.to_be_bytes()[1..]);
        bytes.push((entry.demand * DEMAND_PARTS).clamp(0.0, 255.0) as u8);
    }
    bytes
}

/// The message of some bytes, or `None` if it is cut short or of another version.
pub(crate) fn decode(bytes: &[u8]) -> Option<GossipMessage> {
    let (header, rows) =
        bytes.split_first_chunk::<HEADER_BYTES>().filter(|(header, _)| header[0] == VERSION)?;
    let entries = rows.chunks_exact(ENTRY_BYTES).map(decode_entry);
    Some(GossipMessage {
        incarnation: u32::from_be_bytes([0, header[1], header[2], header[3]]),
        entries: entries.collect::<Option<_>>()?,
    })
}

/// One entry.
fn decode_entry(row: &[u8]) -> Option<CustomerUsage> {
    Some(CustomerUsage {
        customer: CustomerId(u64::from_be_bytes(*row.first_chunk::<8>()?)),
        plan: usize::from(row[8]),
        gateway_count: usize::from(u16::from_be_bytes([row[9], row[10]])),
        total_eighths: u32::from_be_bytes([0, row[11], row[12], row[13]]),
        demand: f64::from(row[14]) / DEMAND_PARTS,
    })
}
