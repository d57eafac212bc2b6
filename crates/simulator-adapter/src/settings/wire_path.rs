//! Translates the field paths of the decision core's settings errors to those of the settings object that
//! operators write.

use crate::fields::FieldError;
use grebehook_core::SettingsError;

/// Pairs of core path and wire path for fields whose paths differ, without list indices.
const RENAMED_FIELDS: &[(&str, &str)] = &[
    ("gateway_index", "me"),
    ("gateway_count", "siblings"),
    ("zone", "az"),
    ("batch_interval", "tickUs"),
    ("classes.latency_objective", "classes.aimUs"),
    ("classes.deadline", "classes.deadlineUs"),
    ("classes.late_priority_weight", "classes.lateWorth"),
    ("classes.priority_weight", "classes.value"),
    ("plans.burst", "plans.depth"),
    ("plans.max_concurrency", "plans.concurrency"),
    ("plans.weight_multiplier", "plans.valueFactor"),
    ("plans.overage_weight", "plans.excessWorth"),
    ("plans.overage_cost", "plans.excessCost"),
    ("plans.hard_limit_rate", "plans.ceilingRate"),
    ("plans.hard_limit_burst", "plans.neverOverDepth"),
    ("plans.hard_limit_overdraft", "plans.tolerance"),
    ("capabilities.max_retry_after", "limits.maxRetryAfterUs"),
    ("capabilities.max_attempts", "limits.attemptsCap"),
    ("capabilities.gossip_messages_per_s", "familyInfo.mailPerS"),
    ("capabilities.gossip_cost", "prices.peer"),
    ("capabilities.health_check_cost", "prices.probe"),
    ("capabilities.counter_call_cost", "familyInfo.countFee"),
    ("capabilities.counter_timeout", "familyInfo.countLimitUs"),
    ("capabilities.usage_report_period", "familyInfo.meterUs"),
    ("rules.response_grace", "rules.graceToAnswerUs"),
    ("rules.initial_capacity", "rules.coldFrom"),
    ("rules.warm_up", "rules.warmAfterUs"),
    ("rules.overload_multiple", "rules.fallMultiple"),
    ("rules.overload_window", "rules.tipAfterUs"),
];

/// Returns the wire path for the field path of a [`SettingsError`]: `classes[0].latency_objective` becomes
/// `classes[0].aimUs`. A path that is unknown or the same in the protocol is returned unchanged.
pub fn wire_path(core_path: &str) -> String {
    match IndexedPath::split(core_path) {
        Some(IndexedPath { list, index, field }) => {
            let path = format!("{list}{field}");
            match unindexed_wire_path(&path).split_once('.') {
                Some((list, field)) => format!("{list}[{index}].{field}"),
                None => core_path.to_owned(),
            }
        }
        None => unindexed_wire_path(core_path).to_owned(),
    }
}

/// Returns the wire path for a core path without list indices.
fn unindexed_wire_path(core_path: &str) -> &str {
    RENAMED_FIELDS.iter().find(|(core, _)| *core == core_path).map_or(core_path, |(_, wire)| wire)
}

/// The parts of a path into a list, such as `classes[0].deadline`.
struct IndexedPath<'a> {
    list: &'a str,
    index: &'a str,
    /// Rest of the path, including the leading dot.
    field: &'a str,
}

impl<'a> IndexedPath<'a> {
    /// Splits a path, or returns `None` if it has no index.
    fn split(path: &'a str) -> Option<IndexedPath<'a>> {
        let (list, rest) = path.split_once('[')?;
        let (index, field) = rest.split_once(']')?;
        Some(IndexedPath { list, index, field })
    }
}

impl From<SettingsError> for FieldError {
    /// Converts an error of the decision core, with the path of the field translated to its wire path.
    fn from(error: SettingsError) -> FieldError {
        FieldError { path: wire_path(&error.field), reason: error.reason.to_owned() }
    }
}
