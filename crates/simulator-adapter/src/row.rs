//! Reads the values of a positional JSON array by column name. Values past the last named column are ignored.

use serde_json::Value;

/// A column that is missing or has the wrong type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'{column}' is missing or of the wrong type")]
pub struct ColumnError {
    /// Wire name of the column.
    pub column: &'static str,
}

/// A JSON array whose positions have column names.
#[derive(Clone, Copy)]
pub(crate) struct Row<'a> {
    /// Column names, in the order of the values.
    columns: &'static [&'static str],
    /// Column values; trailing ones may be absent.
    values: &'a [Value],
}

impl<'a> Row<'a> {
    /// Pairs column names with values.
    pub(crate) fn new(columns: &'static [&'static str], values: &'a [Value]) -> Row<'a> {
        Row { columns, values }
    }

    /// Returns the value of a column, or `None` if the row is too short to have one.
    pub(crate) fn value(&self, column: &'static str) -> Option<&'a Value> {
        let index = self.columns.iter().position(|name| *name == column);
        debug_assert!(index.is_some(), "the message has no column {column}");
        self.values.get(index?)
    }

    /// Returns a string.
    pub(crate) fn text(&self, column: &'static str) -> Result<&'a str, ColumnError> {
        self.value(column).and_then(Value::as_str).ok_or(ColumnError { column })
    }

    /// Returns a number, or an error if the value is absent or of another type.
    pub(crate) fn number(&self, column: &'static str) -> Result<f64, ColumnError> {
        self.optional_number(column).ok_or(ColumnError { column })
    }

    /// Returns a number, or `None` if the value is absent or of another type.
    pub(crate) fn optional_number(&self, column: &'static str) -> Option<f64> {
        self.value(column).and_then(Value::as_f64)
    }

    /// Returns a number truncated to an unsigned integer. Absent, null and negative values give 0.
    pub(crate) fn unsigned_or_zero(&self, column: &'static str) -> Result<u64, ColumnError> {
        match self.value(column) {
            None | Some(Value::Null) => Ok(0),
            Some(value) => truncated_unsigned(value).ok_or(ColumnError { column }),
        }
    }

    /// Returns the number that [`Self::unsigned_or_zero`] does, or `None` if that is 0.
    pub(crate) fn nonzero_unsigned(&self, column: &'static str) -> Result<Option<u64>, ColumnError> {
        let number = self.unsigned_or_zero(column)?;
        Ok(Some(number).filter(|number| *number > 0))
    }

    /// Returns a Boolean; absent values and values of another type give `false`.
    pub(crate) fn flag(&self, column: &'static str) -> bool {
        self.value(column).and_then(Value::as_bool).unwrap_or(false)
    }

    /// Returns an array; absent and null values give an empty one.
    pub(crate) fn list(&self, column: &'static str) -> Result<&'a [Value], ColumnError> {
        match self.value(column) {
            None | Some(Value::Null) => Ok(&[]),
            Some(value) => value.as_array().map(Vec::as_slice).ok_or(ColumnError { column }),
        }
    }
}

/// Returns a number truncated to an integer, with negative numbers raised to 0, or `None` if `value` is not a
/// number.
fn truncated_unsigned(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_f64().map(|number| number.max(0.0) as u64))
}
