//! Whether settings make sense.

use crate::api::{Capabilities, Class, Plan, ProtocolRules, Settings, SettingsError};

/// Plans at most: a gossip message has a byte for a plan's index.
const MAX_PLANS: usize = 256;
/// Gateways at most: a gossip message has two bytes for their number.
const MAX_GATEWAYS: usize = 65_535;

/// What is wrong with a figure that has to be finite and at least 0.
const BAD_FIGURE: &str = "is negative or not finite";

/// The first field that makes no sense, if there is one.
pub(crate) fn check(settings: &Settings) -> Result<(), SettingsError> {
    require(!settings.classes.is_empty(), "classes", "is empty")?;
    require(!settings.plans.is_empty(), "plans", "is empty")?;
    require(settings.plans.len() <= MAX_PLANS, "plans", "is too long")?;
    let gateway_count = settings.gateway_count;
    require((1..=MAX_GATEWAYS).contains(&gateway_count), "gateway_count", "is not between 1 and 65535")?;
    require(settings.gateway_index < gateway_count, "gateway_index", "is outside the set of gateways")?;
    require(settings.batch_interval > 0, "batch_interval", "is zero")?;
    for (index, class) in settings.classes.iter().enumerate() {
        check_class(index, class)?;
    }
    for (index, plan) in settings.plans.iter().enumerate() {
        check_plan(index, plan)?;
    }
    check_capabilities(&settings.capabilities)?;
    check_rules(&settings.rules)
}

/// An error of a field unless a condition holds.
fn require(is_met: bool, field: &str, reason: &'static str) -> Result<(), SettingsError> {
    if is_met {
        return Ok(());
    }
    Err(SettingsError { field: field.to_owned(), reason })
}

/// An error of the first figure that is negative or not finite.
fn require_figures(section: &str, figures: &[(&str, f64)]) -> Result<(), SettingsError> {
    for (name, figure) in figures {
        let is_sound = figure.is_finite() && *figure >= 0.0;
        require(is_sound, &format!("{section}.{name}"), BAD_FIGURE)?;
    }
    Ok(())
}

/// Checks a class.
fn check_class(index: usize, class: &Class) -> Result<(), SettingsError> {
    let section = format!("classes[{index}]");
    require(class.latency_objective > 0, &format!("{section}.latency_objective"), "is zero")?;
    require_figures(&section, &[("priority_weight", class.priority_weight)])
}

/// Checks a plan.
fn check_plan(index: usize, plan: &Plan) -> Result<(), SettingsError> {
    let figures = [
        ("rate", plan.rate),
        ("burst", plan.burst),
        ("weight_multiplier", plan.weight_multiplier),
        ("overage_weight", plan.overage_weight),
        ("overage_cost", plan.overage_cost),
        ("hard_limit_rate", plan.hard_limit_rate),
        ("hard_limit_burst", plan.hard_limit_burst),
        ("hard_limit_overdraft", plan.hard_limit_overdraft),
    ];
    require_figures(&format!("plans[{index}]"), &figures)
}

/// Checks the rates and costs of the capabilities.
fn check_capabilities(capabilities: &Capabilities) -> Result<(), SettingsError> {
    let figures = [
        ("gossip_messages_per_s", capabilities.gossip_messages_per_s),
        ("gossip_cost", capabilities.gossip_cost),
        ("health_check_cost", capabilities.health_check_cost),
        ("counter_call_cost", capabilities.counter_call_cost),
    ];
    require_figures("capabilities", &figures)
}

/// Checks the rules' figures.
fn check_rules(rules: &ProtocolRules) -> Result<(), SettingsError> {
    let figures =
        [("initial_capacity", rules.initial_capacity), ("overload_multiple", rules.overload_multiple)];
    require_figures("rules", &figures)
}
