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
    match Indexed::split(core_path) {
        Some(Indexed { list, index, field }) => {
            let path = format!("{list}{field}");
            match wire_name(&path).split_once('.') {
                Some((list, field)) => format!("{list}[{index}].{field}"),
                None => core_path.to_owned(),
            }
        }
        None => wire_name(core_path).to_owned(),
    }
}

/// The wire's path of a field, both without the indices of lists.
fn wire_name(core_path: &str) -> &str {
    FIELDS.iter().find(|(core, _)| *core == core_path).map_or(core_path, |(_, wire)| wire)
}

/// The parts of a path into a list, such as `classes[0].deadline`.
struct Indexed<'a> {
    /// The list.
    list: &'a str,
    /// The index.
    index: &'a str,
    /// The field, after its point.
    field: &'a str,
}

impl<'a> Indexed<'a> {
    /// The parts of a path; `None` if it has no index.
    fn split(path: &'a str) -> Option<Indexed<'a>> {
        let (list, rest) = path.split_once('[')?;
        let (index, field) = rest.split_once(']')?;
        Some(Indexed { list, index, field })
    }
}

impl From<SettingsError> for FieldError {
    /// Names the field by its path on the wire.
    fn from(error: SettingsError) -> FieldError {
        FieldError { path: wire_path(&error.field), reason: error.reason.to_owned() }
    }
}
