//! The envelope of the wire: a line is a batch of items, each an event of one instance.

use crate::row::ColumnError;
use grebehook_core::Micros;
use serde_json::Value;

/// Why a line cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// It is not JSON.
    #[error("a line is not a batch: {0}")]
    NotJson(#[source] serde_json::Error),
    /// It has no number by which to answer it.
    #[error("a batch lacks a whole number in 'serial'")]
    NoSerial,
    /// A field of the envelope is missing or malformed.
    #[error("batch {serial}: '{field}' is missing or of the wrong type")]
    Envelope {
        /// The batch.
        serial: u64,
        /// The field.
        field: &'static str,
    },
    /// A field of an item is missing or malformed.
    #[error("batch {serial}: {event}: {source}")]
    Item {
        /// The batch.
        serial: u64,
        /// The item's event, as the wire names it.
        event: String,
        /// The field.
        source: ColumnError,
    },
}

/// A batch whose items are still to be read.
pub(crate) struct Batch<'a> {
    /// The number that the reply repeats.
    pub(crate) serial: u64,
    /// The time at which all of its events happen.
    pub(crate) now: Micros,
    /// The items.
    pub(crate) items: &'a [Value],
}

impl<'a> Batch<'a> {
    /// Reads the envelope.
    pub(crate) fn read(document: &'a Value) -> Result<Batch<'a>, BatchError> {
        let serial = document.get("serial").and_then(Value::as_u64).ok_or(BatchError::NoSerial)?;
        let malformed = |field| BatchError::Envelope { serial, field };
        let now = document.get("atTimeUs").and_then(Value::as_u64).ok_or_else(|| malformed("atTimeUs"))?;
        let items = document.get("items").and_then(Value::as_array).ok_or_else(|| malformed("items"))?;
        Ok(Batch { serial, now, items })
    }

    /// Reads what all items have in common.
    pub(crate) fn item(&self, item: &'a Value) -> Result<Item<'a>, BatchError> {
        let malformed = |field| BatchError::Envelope { serial: self.serial, field };
        let item = item.as_array().ok_or_else(|| malformed("items"))?;
        let event = item.first().and_then(Value::as_str).ok_or_else(|| malformed("items[0]"))?;
        let instance = item.get(1).and_then(Value::as_u64);
        let instance = instance.ok_or_else(|| self.item_error(event, ColumnError { column: "i" }))?;
        Ok(Item { event, instance, fields: &item[2..] })
    }

    /// The error of an item with a bad field.
    pub(crate) fn item_error(&self, event: &str, source: ColumnError) -> BatchError {
        BatchError::Item { serial: self.serial, event: event.to_owned(), source }
    }
}

/// One event of one instance, with fields still to be read.
pub(crate) struct Item<'a> {
    /// The event's name on the wire.
    pub(crate) event: &'a str,
    /// The number of the instance.
    pub(crate) instance: u64,
    /// The fields after these two.
    pub(crate) fields: &'a [Value],
}
