//! Rejection of invalid settings, with the path of the invalid field.

mod common;

use common::settings::settings;
use grebehook_core::{Gateway, Settings};

/// Returns the path of the field that is rejected after a change of the default settings, or `None` if the
/// settings are accepted.
fn invalid_field(change: fn(&mut Settings)) -> Option<String> {
    let mut settings = settings();
    change(&mut settings);
    Gateway::new(settings, 1, 0).err().map(|error| error.field)
}

#[test]
fn invalid_classes_plans_and_rules_are_rejected_by_field_name() {
    assert_eq!(invalid_field(|_| {}), None);
    assert_eq!(invalid_field(|settings| settings.classes.clear()).as_deref(), Some("classes"));
    assert_eq!(invalid_field(|settings| settings.plans.clear()).as_deref(), Some("plans"));
    assert_eq!(invalid_field(|settings| settings.plans[0].rate = -1.0).as_deref(), Some("plans[0].rate"));
    assert_eq!(
        invalid_field(|settings| settings.plans[0].hard_limit_rate = f64::NAN).as_deref(),
        Some("plans[0].hard_limit_rate")
    );
    assert_eq!(invalid_field(|settings| settings.gateway_index = 2).as_deref(), Some("gateway_index"));
    assert_eq!(invalid_field(|settings| settings.batch_interval = 0).as_deref(), Some("batch_interval"));
    assert_eq!(
        invalid_field(|settings| settings.rules.overload_multiple = f64::INFINITY).as_deref(),
        Some("rules.overload_multiple")
    );
}

#[test]
fn invalid_gateway_numbers_and_costs_are_rejected_by_field_name() {
    assert_eq!(invalid_field(|settings| settings.gateway_count = 65_536).as_deref(), Some("gateway_count"));
    assert_eq!(invalid_field(|settings| settings.gateway_count = 65_535), None);
    assert_eq!(invalid_field(|settings| settings.gateway_index = 2).as_deref(), Some("gateway_index"));
    assert_eq!(
        invalid_field(|settings| settings.capabilities.counter_call_cost = -0.1).as_deref(),
        Some("capabilities.counter_call_cost")
    );
    assert_eq!(
        invalid_field(|settings| settings.capabilities.gossip_cost = f64::NAN).as_deref(),
        Some("capabilities.gossip_cost")
    );
}
