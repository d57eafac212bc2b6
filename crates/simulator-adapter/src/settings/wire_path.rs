//! Names the field at fault as operators wrote it, where the decision core refuses settings.

use crate::fields::FieldError;
use grebehook_core::SettingsError;

/// The fields whose names differ, without the indices of lists: in the core, on the wire.
const FIELDS: &[(&str, &str)] = &[
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

/// The wire's path of a field that a [`SettingsError`] names: `classes[0].latency_objective` is `classes[0].aimUs`.
/// A path that is the same on the wire, or not known, stays as it is.
pub fn wire_path(core_path: &str) -> String {
    let (index, path) = split_index(core_path);
    let wire = FIELDS.iter().find(|(core, _)| *core == path).map_or(path.as_str(), |(_, wire)| wire);
    match (index, wire.split_once('.')) {
        (Some(index), Some((list, field))) => format!("{list}{index}.{field}"),
        (Some(_), None) => core_path.to_owned(),
        (None, _) => wire.to_owned(),
    }
}

/// A path's index with its brackets, if it has one, and the path without it.
fn split_index(path: &str) -> (Option<&str>, String) {
    let brackets = path.find('[').zip(path.find(']'));
    match brackets {
        Some((open, close)) => {
            (Some(&path[open..=close]), format!("{}{}", &path[..open], &path[close + 1..]))
        }
        None => (None, path.to_owned()),
    }
}

impl From<SettingsError> for FieldError {
    /// Names the field by its path on the wire.
    fn from(error: SettingsError) -> FieldError {
        FieldError { path: wire_path(&error.field), reason: error.reason.to_owned() }
    }
}
