//! Parses the envelope of the simulator's protocol: each line is a batch of items, and each item is an event
//! of one instance.

use crate::row::ColumnError;
use grebehook_core::Micros;
use serde_json::Value;

/// An error in an input line.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The line is not valid JSON.
    #[error("input line is not a batch: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The line has no serial number, so no reply can refer to it.
    #[error("batch has no unsigned integer in 'serial'")]
    NoSerial,
    /// A field of the envelope is missing or has the wrong type.
    #[error("batch {serial}: '{field}' is missing or of the wrong type")]
    Envelope {
        /// Serial number of the batch.
        serial: u64,
        /// Wire name of the field.
        field: &'static str,
    },
    /// A column of an item is missing or has the wrong type.
    #[error("batch {serial}: {event}: {source}")]
    Item {
        /// Serial number of the batch.
        serial: u64,
        /// Wire name of the item's event.
        event: String,
        /// The error in the column.
        source: ColumnError,
    },
}

/// A batch with a parsed envelope and unparsed items.
pub(crate) struct Batch<'a> {
    /// Serial number, repeated in the reply.
    pub(crate) serial: u64,
    /// Simulated time at which every event of the batch happens.
    pub(crate) now: Micros,
    /// Unparsed items, in the order in which they are handled.
    pub(crate) items: &'a [Value],
}

impl<'a> Batch<'a> {
    /// Parses the envelope of a batch.
    pub(crate) fn parse(document: &'a Value) -> Result<Batch<'a>, BatchError> {
        let serial = document.get("serial").and_then(Value::as_u64).ok_or(BatchError::NoSerial)?;
        let malformed = |field| BatchError::Envelope { serial, field };
        let now = document.get("atTimeUs").and_then(Value::as_u64).ok_or_else(|| malformed("atTimeUs"))?;
        let items = document.get("items").and_then(Value::as_array).ok_or_else(|| malformed("items"))?;
        Ok(Batch { serial, now, items })
    }

    /// Parses the event name and the instance number, which every item starts with.
    pub(crate) fn parse_item(&self, item: &'a Value) -> Result<Item<'a>, BatchError> {
        let malformed = |field| BatchError::Envelope { serial: self.serial, field };
        let item = item.as_array().ok_or_else(|| malformed("items"))?;
        let event = item.first().and_then(Value::as_str).ok_or_else(|| malformed("items[0]"))?;
        let instance_id = item.get(1).and_then(Value::as_u64);
        let instance_id = instance_id.ok_or_else(|| self.item_error(event, ColumnError { column: "i" }))?;
        Ok(Item { event, instance_id, values: &item[2..] })
    }

    /// Returns the error for an item of this batch with a missing or malformed column.
    pub(crate) fn item_error(&self, event: &str, source: ColumnError) -> BatchError {
        BatchError::Item { serial: self.serial, event: event.to_owned(), source }
    }
}

/// One event of one instance, with unparsed columns.
pub(crate) struct Item<'a> {
    /// Wire name of the event.
    pub(crate) event: &'a str,
    /// Number of the instance in the simulator's protocol.
    pub(crate) instance_id: u64,
    /// Column values after the event name and the instance number.
    pub(crate) values: &'a [Value],
}
