//! All instances of one adapter process.

use crate::batch::{Batch, BatchError, Item};
use crate::fields::FieldError;
use crate::instance::{internal_error, Instance};
use crate::row::{ColumnError, Row};
use crate::{events, settings};
use grebehook_core::Micros;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashSet};

/// The columns of the event that starts an instance.
const LAUNCH: &[&str] = &["prng", "settings"];

/// All instances of one adapter process.
#[derive(Default)]
pub struct Host {
    /// The instances by their numbers.
    instances: BTreeMap<u64, Instance>,
    /// Unknown events that were reported once.
    reported_events: HashSet<String>,
}

impl Host {
    /// Plays one batch and returns the reply's line.
    pub fn batch(&mut self, line: &str) -> Result<String, BatchError> {
        let document = serde_json::from_str(line).map_err(BatchError::NotJson)?;
        let batch = Batch::read(&document)?;
        let mut replies = Vec::new();
        for item in batch.items {
            let item = batch.item(item)?;
            let played = self.play(batch.now, &item, &mut replies);
            played.map_err(|error| batch.item_error(item.event, error))?;
        }
        Ok(json!({ "serial": batch.serial, "out": replies }).to_string())
    }

    /// Plays one item. Events of an instance that does not run are ignored.
    fn play(&mut self, now: Micros, item: &Item, replies: &mut Vec<Value>) -> Result<(), ColumnError> {
        match item.event {
            "launch" => return self.launch(now, item, replies),
            "retire" => drop(self.instances.remove(&item.instance)),
            _ => {
                let Some(instance) = self.instances.get_mut(&item.instance) else { return Ok(()) };
                match events::read(instance, item.event, item.fields)? {
                    Some(event) => instance.play(now, event, replies),
                    None => self.report_unknown(item.event),
                }
            }
        }
        Ok(())
    }

    /// Starts an instance, in place of one that runs under its number.
    fn launch(&mut self, now: Micros, item: &Item, replies: &mut Vec<Value>) -> Result<(), ColumnError> {
        let row = Row::new(LAUNCH, item.fields);
        let seed = row.value("prng").and_then(seed).ok_or(ColumnError { column: "prng" })?;
        let settings = row.value("settings").filter(|value| value.is_object());
        let settings = settings.ok_or(ColumnError { column: "settings" })?;
        self.instances.remove(&item.instance);
        let launched = settings::read(settings).and_then(|settings| {
            Instance::launch(item.instance, settings, seed, now).map_err(FieldError::from)
        });
        match launched {
            Ok(instance) => drop(self.instances.insert(item.instance, instance)),
            Err(error) => replies.push(internal_error(item.instance, &format!("settings: {error}"))),
        }
        Ok(())
    }

    /// Reports an unknown event, the first time it comes.
    fn report_unknown(&mut self, event: &str) {
        if self.reported_events.insert(event.to_owned()) {
            eprintln!("unknown event '{event}' skipped");
        }
    }
}

/// A seed; a negative one counts as the unsigned number of the same bits.
fn seed(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_i64().map(i64::cast_unsigned))
}
