//! Finds everything that is wrong with a configuration, not only the first of it.
//!
//! Reading stops at the first fault. So each faulty field is replaced by that of a sound example, and the
//! rest is read again, until all of it can be read.

use crate::config::document::{Config, ConfigError};
use grebehook_core::Gateway;
use serde_json::Value;
use std::path::Path;

/// A sound configuration with every field that is read.
const EXAMPLE: &str = include_str!("example.json");
/// Past so many faults no further one is looked for.
const MAX_FAULTS: usize = 100;

/// What is wrong with a configuration file, one line each.
pub fn faults_of_file(path: &Path) -> Vec<String> {
    match std::fs::read_to_string(path) {
        Ok(text) => faults(&text),
        Err(source) => vec![ConfigError::Unreadable { path: path.to_owned(), source }.to_string()],
    }
}

/// What is wrong with a configuration.
fn faults(text: &str) -> Vec<String> {
    let mut document = match serde_json::from_str(text) {
        Ok(document) => document,
        Err(e) => return vec![ConfigError::NotJson(e).to_string()],
    };
    let example = serde_json::from_str(EXAMPLE).unwrap_or_default();
    let mut faults = Vec::new();
    while let Err(error) = read(&document) {
        let line = error.to_string();
        let seen = faults.contains(&line);
        if !seen {
            faults.push(line);
        }
        let mended = match error {
            ConfigError::Field(error) => mend(&mut document, &example, &error.path),
            _ => false,
        };
        if seen || !mended || faults.len() >= MAX_FAULTS {
            break;
        }
    }
    faults
}

/// Reads a configuration as a start does, up to the decision core.
fn read(document: &Value) -> Result<(), ConfigError> {
    let config = Config::from_document(document)?;
    Gateway::new(config.settings, config.seed, 0)?;
    Ok(())
}

/// Puts the example's value at a path such as `settings.classes[0].aimUs`. Whether there was any.
fn mend(document: &mut Value, example: &Value, path: &str) -> bool {
    let (mut target, mut source) = (document, example);
    for step in path.split(['.', '[']) {
        let (next_target, next_source) = match step.strip_suffix(']') {
            Some(index) => {
                let index = index.parse::<usize>().ok();
                // One row of the example stands for all.
                (index.and_then(|index| target.get_mut(index)), source.get(0))
            }
            None => {
                let object = target.as_object_mut();
                (object.map(|object| object.entry(step).or_insert(Value::Null)), source.get(step))
            }
        };
        match (next_target, next_source) {
            (Some(next_target), Some(next_source)) => (target, source) = (next_target, next_source),
            _ => return false,
        }
    }
    *target = source.clone();
    true
}
