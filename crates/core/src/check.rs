//! Whether settings make sense; nothing is decided here.

use crate::api::{Settings, SettingsError};

/// Settings that make no sense, by the field at fault.
pub(crate) fn check(s: &Settings) -> Result<(), SettingsError> {
    let sound = |ok: bool, field: &str, reason| {
        if ok {
            return Ok(());
        }
        Err(SettingsError { field: field.to_owned(), reason })
    };
    sound(!s.classes.is_empty(), "classes", "is empty")?;
    sound(!s.plans.is_empty(), "plans", "is empty")?;
    sound(s.plans.len() <= 256, "plans", "is too long")?;
    sound(s.gateway_count > 0 && s.gateway_count <= 65_535, "gateway_count", "is not between 1 and 65535")?;
    sound(s.gateway_index < s.gateway_count, "gateway_index", "is outside the set of gateways")?;
    sound(s.batch_interval > 0, "batch_interval", "is zero")?;
    for (k, c) in s.classes.iter().enumerate() {
        sound(c.latency_objective > 0, &format!("classes[{k}].latency_objective"), "is zero")?;
        let worth = c.priority_weight.is_finite() && c.priority_weight >= 0.0;
        sound(worth, &format!("classes[{k}].priority_weight"), "is negative or not finite")?;
    }
    for (k, p) in s.plans.iter().enumerate() {
        let figures = [
            ("rate", p.rate),
            ("burst", p.burst),
            ("weight_multiplier", p.weight_multiplier),
            ("overage_weight", p.overage_weight),
            ("overage_cost", p.overage_cost),
            ("hard_limit_rate", p.hard_limit_rate),
            ("hard_limit_burst", p.hard_limit_burst),
            ("hard_limit_overdraft", p.hard_limit_overdraft),
        ];
        for (name, value) in figures {
            let ok = value.is_finite() && value >= 0.0;
            sound(ok, &format!("plans[{k}].{name}"), "is negative or not finite")?;
        }
    }
    let prices = [
        ("gossip_messages_per_s", s.capabilities.gossip_messages_per_s),
        ("gossip_cost", s.capabilities.gossip_cost),
        ("health_check_cost", s.capabilities.health_check_cost),
        ("counter_call_cost", s.capabilities.counter_call_cost),
    ];
    for (name, value) in prices {
        sound(
            value.is_finite() && value >= 0.0,
            &format!("capabilities.{name}"),
            "is negative or not finite",
        )?;
    }
    for (name, value) in
        [("initial_capacity", s.rules.initial_capacity), ("overload_multiple", s.rules.overload_multiple)]
    {
        sound(value.is_finite() && value >= 0.0, &format!("rules.{name}"), "is negative or not finite")?;
    }
    Ok(())
}
