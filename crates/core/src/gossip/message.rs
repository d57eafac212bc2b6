//! The binary encoding of gossip messages. A message holds the version of the format, the sender's
//! incarnation and one entry per customer, with all integers in big-endian order.

use crate::api::CustomerId;

/// Version of the format, the first byte of a message.
const VERSION: u8 = 1;
/// Length of a message's header, the version and the incarnation.
const HEADER_BYTES: usize = 4;
/// Length of an entry.
const ENTRY_BYTES: usize = 15;
/// Maximum length of a message.
const MAX_MESSAGE_BYTES: usize = 256;
/// Maximum number of entries in a message.
pub(crate) const MAX_ENTRIES: usize = (MAX_MESSAGE_BYTES - HEADER_BYTES) / ENTRY_BYTES;
/// Number of bits of a running total that an entry carries.
pub(crate) const TOTAL_BITS: u32 = 24;
/// Resolution of demand in an entry: steps per multiple of the quota.
const DEMAND_STEPS_PER_QUOTA: f64 = 16.0;

/// The usage of one customer's quota at the sending gateway, one entry of a message.
pub(crate) struct CustomerUsage {
    /// The customer whose usage the entry reports.
    pub customer: CustomerId,
    /// Index of the customer's plan, sent as one byte.
    pub plan: usize,
    /// Number of gateways that serve the customer, sent as two bytes.
    pub gateway_count: usize,
    /// Running total of units used, in eighths of a unit, modulo 2^[`TOTAL_BITS`].
    pub total_eighths: u32,
    /// Demand as a multiple of the quota, sent in sixteenths up to 15.9.
    pub demand: f64,
}

/// A decoded message.
pub(crate) struct GossipMessage {
    /// Distinguishes the starts of the sender; totals of different incarnations are not comparable.
    pub incarnation: u32,
    /// Usage of the customers that the message reports.
    pub entries: Vec<CustomerUsage>,
}

/// Encodes a message; callers pass at most [`MAX_ENTRIES`] entries.
pub(crate) fn encode(incarnation: u32, entries: &[CustomerUsage]) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    bytes.extend(&incarnation.to_be_bytes()[1..]);
    for entry in entries {
        bytes.extend(entry.customer.0.to_be_bytes());
        bytes.push(entry.plan as u8);
        bytes.extend((entry.gateway_count as u16).to_be_bytes());
        bytes.extend(&entry.total_eighths.to_be_bytes()[1..]);
        bytes.push((entry.demand * DEMAND_STEPS_PER_QUOTA).clamp(0.0, 255.0) as u8);
    }
    bytes
}

/// Decodes a message; `None` if its header is truncated or its version is unknown. Ignores a truncated entry
/// at the end.
pub(crate) fn decode(bytes: &[u8]) -> Option<GossipMessage> {
    let (header, entry_bytes) =
        bytes.split_first_chunk::<HEADER_BYTES>().filter(|(header, _)| header[0] == VERSION)?;
    let entries = entry_bytes.chunks_exact(ENTRY_BYTES).map(decode_entry);
    Some(GossipMessage {
        incarnation: u32::from_be_bytes([0, header[1], header[2], header[3]]),
        entries: entries.collect::<Option<_>>()?,
    })
}

/// Decodes one entry of [`ENTRY_BYTES`] bytes.
fn decode_entry(bytes: &[u8]) -> Option<CustomerUsage> {
    Some(CustomerUsage {
        customer: CustomerId(u64::from_be_bytes(*bytes.first_chunk::<8>()?)),
        plan: usize::from(bytes[8]),
        gateway_count: usize::from(u16::from_be_bytes([bytes[9], bytes[10]])),
        total_eighths: u32::from_be_bytes([0, bytes[11], bytes[12], bytes[13]]),
        demand: f64::from(bytes[14]) / DEMAND_STEPS_PER_QUOTA,
    })
}
