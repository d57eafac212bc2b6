//! Dispatches batches to the gateway instances of one adapter process.

use crate::batch::{Batch, BatchError, Item};
use crate::fields::FieldError;
use crate::instance::{internal_error, Instance};
use crate::row::{ColumnError, Row};
use crate::{events, settings};
use grebehook_core::Micros;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashSet};

/// Columns of `launch`, which starts an instance.
const START_INSTANCE_COLUMNS: &[&str] = &["prng", "settings"];

/// The gateway instances of one adapter process.
#[derive(Default)]
pub struct InstanceHost {
    /// Running instances by their numbers.
    instances: BTreeMap<u64, Instance>,
    /// Unknown event names that have been logged, so that each is logged only once.
    logged_unknown_events: HashSet<String>,
}

impl InstanceHost {
    /// Handles one batch and returns the reply line, without a line break.
    pub fn handle_batch(&mut self, line: &str) -> Result<String, BatchError> {
        let document = serde_json::from_str(line).map_err(BatchError::NotJson)?;
        let batch = Batch::parse(&document)?;
        let mut replies = Vec::new();
        for item in batch.items {
            let item = batch.parse_item(item)?;
            let handled = self.handle_item(batch.now, &item, &mut replies);
            handled.map_err(|error| batch.item_error(item.event, error))?;
        }
        Ok(json!({ "serial": batch.serial, "out": replies }).to_string())
    }

    /// Handles one item. Ignores events for instances that are not running.
    fn handle_item(&mut self, now: Micros, item: &Item, replies: &mut Vec<Value>) -> Result<(), ColumnError> {
        match item.event {
            "launch" => return self.start_instance(now, item, replies),
            "retire" => drop(self.instances.remove(&item.instance_id)),
            _ => {
                let Some(instance) = self.instances.get_mut(&item.instance_id) else { return Ok(()) };
                match events::decode(instance, item.event, item.values)? {
                    Some(event) => instance.handle_event(now, event, replies),
                    None => self.log_unknown_event(item.event),
                }
            }
        }
        Ok(())
    }

    /// Starts an instance and replaces any running instance with the same number. Rejected settings are
    /// reported in `replies`.
    fn start_instance(
        &mut self,
        now: Micros,
        item: &Item,
        replies: &mut Vec<Value>,
    ) -> Result<(), ColumnError> {
        let row = Row::new(START_INSTANCE_COLUMNS, item.values);
        let seed = row.value("prng").and_then(parse_seed).ok_or(ColumnError { column: "prng" })?;
        let settings = row.value("settings").filter(|value| value.is_object());
        let settings = settings.ok_or(ColumnError { column: "settings" })?;
        self.instances.remove(&item.instance_id);
        let started = settings::parse(settings).and_then(|settings| {
            Instance::start(item.instance_id, settings, seed, now).map_err(FieldError::from)
        });
        match started {
            Ok(instance) => drop(self.instances.insert(item.instance_id, instance)),
            Err(error) => replies.push(internal_error(item.instance_id, &format!("settings: {error}"))),
        }
        Ok(())
    }

    /// Logs the name of an unknown event the first time that the event is received.
    fn log_unknown_event(&mut self, event: &str) {
        if self.logged_unknown_events.insert(event.to_owned()) {
            eprintln!("unknown event '{event}' ignored");
        }
    }
}

/// Parses a seed. A negative number is reinterpreted as the unsigned number with the same bits.
fn parse_seed(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_i64().map(i64::cast_unsigned))
}
