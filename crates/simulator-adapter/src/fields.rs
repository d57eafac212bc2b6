//! Deserializes JSON into typed values, with errors that give the path of the malformed field.

use serde::de::{DeserializeOwned, Error};
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// A field that is missing or malformed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path} {reason}")]
pub struct FieldError {
    /// Path of the field from the deserialized object, such as `classes[0].aimUs`.
    pub path: String,
    /// What is wrong with the field, worded to follow its path.
    pub reason: String,
}

impl FieldError {
    /// Creates an error for the field at a path, with a reason that is worded to follow the path.
    pub(crate) fn new(path: &str, reason: &str) -> FieldError {
        FieldError { path: path.to_owned(), reason: reason.to_owned() }
    }

    /// Returns the same error with a path that starts at the object that contains the list.
    pub(crate) fn within_list(&self, list: &str, index: usize) -> FieldError {
        FieldError { path: format!("{list}[{index}].{}", self.path), reason: self.reason.clone() }
    }

    /// Converts an error of serde. The path `.` denotes the deserialized object itself.
    fn from_serde(path: &str, message: &str) -> FieldError {
        // The path of a missing field is that of the object that lacks it; only the message contains its
        // name.
        let missing = message.strip_prefix("missing field `").and_then(|rest| rest.strip_suffix('`'));
        let at_root = path == ".";
        match missing {
            Some(field) if at_root => FieldError::new(field, "is missing"),
            Some(field) => FieldError::new(&format!("{path}.{field}"), "is missing"),
            None if at_root => FieldError::new("the object", &format!("is not valid: {message}")),
            None if is_field_reason(message) => FieldError::new(path, message),
            None => FieldError::new(path, &format!("is not valid: {message}")),
        }
    }
}

/// Returns whether an error message comes from a deserializer of this project rather than from serde. Such
/// messages are worded to follow the path of the field.
fn is_field_reason(message: &str) -> bool {
    message.starts_with("is ") || message.starts_with("has ")
}

/// Deserializes a value; the error gives the path of the missing or malformed field.
pub fn deserialize<T: DeserializeOwned>(value: &Value) -> Result<T, FieldError> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| FieldError::from_serde(&error.path().to_string(), &error.inner().to_string()))
}

/// Deserializes a number. The error for any other value is worded to follow the path of the field.
pub fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    f64::deserialize(deserializer).map_err(|_| D::Error::custom("is no number"))
}

/// Deserializes an unsigned integer. A fraction is truncated; a negative number is an error.
pub fn unsigned<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    match number(deserializer)? {
        negative if negative < 0.0 => Err(D::Error::custom("is negative")),
        number => Ok(number as u64),
    }
}

/// Deserializes a value, with the default in place of a value of the wrong type.
pub fn value_or_default<'de, D: Deserializer<'de>, T: DeserializeOwned + Default>(
    deserializer: D,
) -> Result<T, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(T::deserialize(value).unwrap_or_default())
}

/// Deserializes an unsigned integer, with 0 in place of a negative number or a value of the wrong type.
pub fn unsigned_or_zero<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(unsigned(value).unwrap_or(0))
}

/// Deserializes a struct from an object, with the default in place of a value of the wrong type. That
/// includes arrays, from which serde would also deserialize a struct.
pub fn object_or_default<'de, D: Deserializer<'de>, T: DeserializeOwned + Default>(
    deserializer: D,
) -> Result<T, D::Error> {
    match Value::deserialize(deserializer)? {
        object @ Value::Object(_) => Ok(T::deserialize(object).unwrap_or_default()),
        _ => Ok(T::default()),
    }
}
