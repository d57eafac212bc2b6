//! Finds every fault of a configuration, not only the first one.
//!
//! Reading stops at the first fault. So each faulty field is replaced by that of a valid example and the document
//! is read again, until all of it can be read.

use crate::config::document::{Config, ConfigError, RejectedSettings};
use crate::logging::ErrorChain;
use grebehook_core::Gateway;
use serde_json::Value;
use std::path::Path;

/// A valid configuration with every field that is read.
const EXAMPLE: &str = include_str!("example.json");
/// The check stops after this many faults.
const MAX_FAULTS: usize = 100;

/// The faults of a configuration file, one line each.
pub fn faults_of_file(path: &Path) -> Vec<String> {
    match std::fs::read_to_string(path) {
        Ok(text) => faults(&text),
        Err(source) => vec![describe(&ConfigError::Unreadable { path: path.to_owned(), source })],
    }
}

/// The faults of a configuration.
fn faults(text: &str) -> Vec<String> {
    let mut document = match serde_json::from_str(text) {
        Ok(document) => document,
        Err(error) => return vec![describe(&ConfigError::NotJson(error))],
    };
    let example = serde_json::from_str(EXAMPLE).unwrap_or_default();
    let mut faults = Vec::new();
    while let Err(error) = read(&document) {
        let fault = describe(&error);
        let is_repeated = faults.contains(&fault);
        if !is_repeated {
            faults.push(fault);
        }
        let is_replaced = match error {
            ConfigError::Field(error) => replace_field(&mut document, &example, &error.path),
            _ => false,
        };
        if is_repeated || !is_replaced || faults.len() >= MAX_FAULTS {
            break;
        }
    }
    faults
}

/// The line that reports an error.
fn describe(error: &ConfigError) -> String {
    ErrorChain(error).to_string()
}

/// Reads a configuration as a start does, including the decision core's checks.
fn read(document: &Value) -> Result<(), ConfigError> {
    let config = Config::from_document(document)?;
    Gateway::new(config.settings, config.seed, 0).map_err(RejectedSettings::from)?;
    Ok(())
}

/// Replaces the value at a path such as `settings.classes[0].aimUs` by the example's. Returns whether the example
/// has one.
fn replace_field(document: &mut Value, example: &Value, path: &str) -> bool {
    let mut target = document;
    let mut source = example;
    for step in path.split(['.', '[']) {
        let Some(child) = child_to_replace(target, step) else { return false };
        target = child;
        let Some(child) = child_of_example(source, step) else { return false };
        source = child;
    }
    *target = source.clone();
    true
}

/// The value at one step of a path, such as `classes` or `0]`; a field that is missing is added.
fn child_to_replace<'a>(parent: &'a mut Value, step: &str) -> Option<&'a mut Value> {
    match step.strip_suffix(']') {
        Some(index) => parent.get_mut(index.parse::<usize>().ok()?),
        None => Some(parent.as_object_mut()?.entry(step).or_insert(Value::Null)),
    }
}

/// The example's value at one step of a path. The first element of its arrays stands for all.
fn child_of_example<'a>(parent: &'a Value, step: &str) -> Option<&'a Value> {
    match step.strip_suffix(']') {
        Some(_) => parent.get(0),
        None => parent.get(step),
    }
}
