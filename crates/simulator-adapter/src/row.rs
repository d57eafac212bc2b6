//! Reads the fields of an item by the names of its columns. Further fields than the named ones are ignored.

use serde_json::Value;

/// A field of an item that is missing or of the wrong type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{column}' is missing or of the wrong type")]
pub struct ColumnError {
    /// The column's name on the wire.
    pub column: &'static str,
}

/// A JSON array whose places have names.
#[derive(Clone, Copy)]
pub(crate) struct Row<'a> {
    /// The names, in the order of the values.
    columns: &'static [&'static str],
    /// The values; trailing ones may be absent.
    values: &'a [Value],
}

impl<'a> Row<'a> {
    /// Values under these names.
    pub(crate) fn new(columns: &'static [&'static str], values: &'a [Value]) -> Row<'a> {
        Row { columns, values }
    }

    /// The value in a column; `None` if the row is too short.
    pub(crate) fn value(&self, column: &'static str) -> Option<&'a Value> {
        let index = self.columns.iter().position(|name| *name == column);
        debug_assert!(index.is_some(), "the message has no column {column}");
        self.values.get(index?)
    }

    /// A text.
    pub(crate) fn text(&self, column: &'static str) -> Result<&'a str, ColumnError> {
        self.value(column).and_then(Value::as_str).ok_or(ColumnError { column })
    }

    /// A number.
    pub(crate) fn number(&self, column: &'static str) -> Result<f64, ColumnError> {
        self.optional_number(column).ok_or(ColumnError { column })
    }

    /// A number; `None` if the value is absent or of another type.
    pub(crate) fn optional_number(&self, column: &'static str) -> Option<f64> {
        self.value(column).and_then(Value::as_f64)
    }

    /// A number without its fraction, at least 0; an absent one is 0.
    pub(crate) fn unsigned_or_zero(&self, column: &'static str) -> Result<u64, ColumnError> {
        match self.value(column) {
            None | Some(Value::Null) => Ok(0),
            Some(value) => unsigned(value).ok_or(ColumnError { column }),
        }
    }

    /// As [`Self::unsigned_or_zero`], where 0 stands for none.
    pub(crate) fn positive(&self, column: &'static str) -> Result<Option<u64>, ColumnError> {
        let number = self.unsigned_or_zero(column)?;
        Ok(Some(number).filter(|number| *number > 0))
    }

    /// A truth value; an absent one is false, and so is one of another type.
    pub(crate) fn flag(&self, column: &'static str) -> bool {
        self.value(column).and_then(Value::as_bool).unwrap_or(false)
    }

    /// A list; an absent one is empty.
    pub(crate) fn list(&self, column: &'static str) -> Result<&'a [Value], ColumnError> {
        match self.value(column) {
            None | Some(Value::Null) => Ok(&[]),
            Some(value) => value.as_array().map(Vec::as_slice).ok_or(ColumnError { column }),
        }
    }
}

/// A number without its fraction, at least 0.
fn unsigned(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_f64().map(|number| number.max(0.0) as u64))
}
