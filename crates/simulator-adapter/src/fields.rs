//! Typed reading of JSON objects, with errors that name the field at fault by its path.

use serde::de::{DeserializeOwned, Error};
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// A field that is missing or malformed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path} {reason}")]
pub struct FieldError {
    /// The path from the object that was read, such as `classes[0].aimUs`.
    pub path: String,
    /// What is wrong with it.
    pub reason: String,
}

impl FieldError {
    /// An error of the field at a path.
    pub(crate) fn new(path: &str, reason: &str) -> FieldError {
        FieldError { path: path.to_owned(), reason: reason.to_owned() }
    }

    /// The same error, named from the object whose list holds the one that was read.
    pub(crate) fn below(&self, list: &str, index: usize) -> FieldError {
        FieldError { path: format!("{list}[{index}].{}", self.path), reason: self.reason.clone() }
    }

    /// An error that serde found at a path; `.` is the object that was read.
    fn from_serde(path: &str, message: &str) -> FieldError {
        // For a missing field, serde's path is that of the object that lacks it, and its message names the field.
        let missing = message.strip_prefix("missing field `").and_then(|rest| rest.strip_suffix('`'));
        let at_root = path == ".";
        match missing {
            Some(field) if at_root => FieldError::new(field, "is missing"),
            Some(field) => FieldError::new(&format!("{path}.{field}"), "is missing"),
            None if at_root => FieldError::new("the object", &format!("is not valid: {message}")),
            None if is_own_reason(message) => FieldError::new(path, message),
            None => FieldError::new(path, &format!("is not valid: {message}")),
        }
    }
}

/// Whether a message was written by a reader of this project, to follow the field's path.
fn is_own_reason(message: &str) -> bool {
    message.starts_with("is ") || message.starts_with("has ")
}

/// Reads a type from JSON.
pub fn read<T: DeserializeOwned>(value: &Value) -> Result<T, FieldError> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| FieldError::from_serde(&error.path().to_string(), &error.inner().to_string()))
}

/// A number.
pub fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    f64::deserialize(deserializer).map_err(|_| D::Error::custom("is no number"))
}

/// A number of microseconds; a fraction of one is dropped.
pub fn micros<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    match number(deserializer)? {
        negative if negative < 0.0 => Err(D::Error::custom("is negative")),
        micros => Ok(micros as u64),
    }
}

/// A value that counts as its default where it is of another type.
pub fn lenient<'de, D: Deserializer<'de>, T: DeserializeOwned + Default>(
    deserializer: D,
) -> Result<T, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(T::deserialize(value).unwrap_or_default())
}

/// Microseconds that count as 0 where they are no number or negative.
pub fn lenient_micros<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(micros(value).unwrap_or(0))
}

/// An object that counts as an empty one where it is of another type. serde takes a list for a struct, too.
pub fn lenient_object<'de, D: Deserializer<'de>, T: DeserializeOwned + Default>(
    deserializer: D,
) -> Result<T, D::Error> {
    match Value::deserialize(deserializer)? {
        object @ Value::Object(_) => Ok(T::deserialize(object).unwrap_or_default()),
        _ => Ok(T::default()),
    }
}
