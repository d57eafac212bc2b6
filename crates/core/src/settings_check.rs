//! Validation of [`Settings`].

use crate::api::{Capabilities, Class, Plan, ProtocolRules, Settings, SettingsError};

/// Maximum number of plans: gossip messages encode a plan's index in 1 byte.
const MAX_PLANS: usize = 256;
/// Maximum number of gateways: gossip messages encode a customer's gateway count in 2 bytes.
const MAX_GATEWAYS: usize = 65_535;

/// Error reason for a value that must be finite and at least 0.
const NEGATIVE_OR_NOT_FINITE: &str = "is negative or not finite";

/// Checks all settings and fails with the first invalid field.
pub(crate) fn validate(settings: &Settings) -> Result<(), SettingsError> {
    require(!settings.classes.is_empty(), "classes", "is empty")?;
    require(!settings.plans.is_empty(), "plans", "is empty")?;
    require(settings.plans.len() <= MAX_PLANS, "plans", "has more than 256 entries")?;
    let gateway_count = settings.gateway_count;
    require((1..=MAX_GATEWAYS).contains(&gateway_count), "gateway_count", "is not between 1 and 65535")?;
    require(settings.gateway_index < gateway_count, "gateway_index", "is not below the number of gateways")?;
    require(settings.batch_interval > 0, "batch_interval", "is zero")?;
    for (index, class) in settings.classes.iter().enumerate() {
        validate_class(index, class)?;
    }
    for (index, plan) in settings.plans.iter().enumerate() {
        validate_plan(index, plan)?;
    }
    validate_capabilities(&settings.capabilities)?;
    validate_rules(&settings.rules)
}

/// Fails with an error for the field unless the condition is met.
fn require(is_met: bool, field: &str, reason: &'static str) -> Result<(), SettingsError> {
    if is_met {
        return Ok(());
    }
    Err(SettingsError { field: field.to_owned(), reason })
}

/// Fails with an error for the first value that is negative or not finite.
fn require_non_negative(section: &str, values: &[(&str, f64)]) -> Result<(), SettingsError> {
    for (name, value) in values {
        let is_valid = value.is_finite() && *value >= 0.0;
        require(is_valid, &format!("{section}.{name}"), NEGATIVE_OR_NOT_FINITE)?;
    }
    Ok(())
}

fn validate_class(index: usize, class: &Class) -> Result<(), SettingsError> {
    let section = format!("classes[{index}]");
    require(class.latency_objective > 0, &format!("{section}.latency_objective"), "is zero")?;
    require_non_negative(&section, &[("priority_weight", class.priority_weight)])
}

fn validate_plan(index: usize, plan: &Plan) -> Result<(), SettingsError> {
    let values = [
        ("rate", plan.rate),
        ("burst", plan.burst),
        ("weight_multiplier", plan.weight_multiplier),
        ("overage_weight", plan.overage_weight),
        ("overage_cost", plan.overage_cost),
        ("hard_limit_rate", plan.hard_limit_rate),
        ("hard_limit_burst", plan.hard_limit_burst),
        ("hard_limit_overdraft", plan.hard_limit_overdraft),
    ];
    require_non_negative(&format!("plans[{index}]"), &values)
}

/// Checks the rates and costs among the capabilities.
fn validate_capabilities(capabilities: &Capabilities) -> Result<(), SettingsError> {
    let values = [
        ("gossip_messages_per_s", capabilities.gossip_messages_per_s),
        ("gossip_cost", capabilities.gossip_cost),
        ("health_check_cost", capabilities.health_check_cost),
        ("counter_call_cost", capabilities.counter_call_cost),
    ];
    require_non_negative("capabilities", &values)
}

fn validate_rules(rules: &ProtocolRules) -> Result<(), SettingsError> {
    let values =
        [("initial_capacity", rules.initial_capacity), ("overload_multiple", rules.overload_multiple)];
    require_non_negative("rules", &values)
}
