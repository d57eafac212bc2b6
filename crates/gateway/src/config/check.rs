//! Validation that finds every error of a configuration, not only the first one.
//!
//! Deserialization stops at the first error. Each invalid field is therefore replaced with the one of a valid
//! example, and the document is read again until no error is left.

use crate::config::document::{Config, ConfigError, RejectedSettings};
use crate::logging::ErrorChain;
use grebehook_core::Gateway;
use serde_json::Value;
use std::path::Path;

/// Valid configuration with every field that the gateway reads.
const EXAMPLE: &str = include_str!("example.json");
/// Number of errors after which validation stops.
const MAX_ERRORS: usize = 100;

/// Returns the errors of a configuration file, one line each.
pub fn validate_file(path: &Path) -> Vec<String> {
    match std::fs::read_to_string(path) {
        Ok(text) => validate(&text),
        Err(source) => vec![describe(&ConfigError::Unreadable { path: path.to_owned(), source })],
    }
}

/// Returns the errors of a configuration, one line each.
fn validate(text: &str) -> Vec<String> {
    let mut document = match serde_json::from_str(text) {
        Ok(document) => document,
        Err(error) => return vec![describe(&ConfigError::NotJson(error))],
    };
    let example = serde_json::from_str(EXAMPLE).unwrap_or_default();
    let mut errors = Vec::new();
    while let Err(error) = read(&document) {
        let description = describe(&error);
        let is_repeated = errors.contains(&description);
        if !is_repeated {
            errors.push(description);
        }
        let is_replaced = match error {
            ConfigError::Field(error) => replace_field(&mut document, &example, &error.path),
            _ => false,
        };
        if is_repeated || !is_replaced || errors.len() >= MAX_ERRORS {
            break;
        }
    }
    errors
}

/// Returns the line that reports an error with its sources.
fn describe(error: &ConfigError) -> String {
    ErrorChain(error).to_string()
}

/// Reads a configuration as at startup, including the decision core's checks of the settings.
fn read(document: &Value) -> Result<(), ConfigError> {
    let config = Config::from_document(document)?;
    Gateway::new(config.settings, config.seed, 0).map_err(RejectedSettings::from)?;
    Ok(())
}

/// Replaces the value at a path such as `settings.classes[0].aimUs` with the example's. Returns whether the
/// path exists in the example.
fn replace_field(document: &mut Value, example: &Value, path: &str) -> bool {
    let mut target = document;
    let mut source = example;
    for segment in path.split(['.', '[']) {
        let Some(child) = child_to_replace(target, segment) else { return false };
        target = child;
        let Some(child) = child_of_example(source, segment) else { return false };
        source = child;
    }
    *target = source.clone();
    true
}

/// Returns the child at one segment of a path, such as `classes` or `0]`. A missing field is added as null.
fn child_to_replace<'a>(parent: &'a mut Value, segment: &str) -> Option<&'a mut Value> {
    match segment.strip_suffix(']') {
        Some(index) => parent.get_mut(index.parse::<usize>().ok()?),
        None => Some(parent.as_object_mut()?.entry(segment).or_insert(Value::Null)),
    }
}

/// Returns the example's child at one segment of a path. The first element of an array stands for every
/// index.
fn child_of_example<'a>(parent: &'a Value, segment: &str) -> Option<&'a Value> {
    match segment.strip_suffix(']') {
        Some(_) => parent.get(0),
        None => parent.get(segment),
    }
}
