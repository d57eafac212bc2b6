//! The settings object: what is read of it, and how an error names its field.

use grebehook_core::{DeduplicationScope, Idempotency, LoadReports};
use grebehook_simulator_adapter::settings::read;
use serde_json::{json, Value};

fn settings() -> Value {
    json!({
        "az": 1, "me": 0, "siblings": 2, "tickUs": 2000.7, "unheard_of": [1],
        "classes": [{"aimUs": 600000, "deadlineUs": 2000000, "group": "cell", "lateWorth": 0.2,
                     "semantics": "dedup", "value": 2, "windowUs": 1000000}],
        "plans": [{"ceilingRate": 0, "concurrency": 3, "depth": 12.0, "excessCost": 1.0, "excessWorth": 0.0,
                   "neverOverDepth": 0.0, "rate": 2.7, "tolerance": 0.0, "valueFactor": 1.1}],
        "familyInfo": {"mailPerS": 40.0, "sharedCounter": true},
        "limits": {"attemptsCap": 4, "cancel": true, "maxRetryAfterUs": 1000000},
        "rules": {"coldFrom": 0.15, "fallMultiple": 3.0, "graceToAnswerUs": 8000, "tipAfterUs": 1500000,
                  "warmAfterUs": 17000000},
        "stats": {"columns": ["outstanding", 7], "how": "probe"},
    })
}

/// The text of the error for settings in which a value was replaced.
fn error_with(pointer: &str, value: Value) -> String {
    let mut settings = settings();
    *settings.pointer_mut(pointer).unwrap() = value;
    read(&settings).unwrap_err().to_string()
}

#[test]
fn known_fields_are_read_and_unknown_ones_ignored() {
    let (settings, columns) = read(&settings()).unwrap();
    assert_eq!((settings.gateway_count, settings.zone, settings.batch_interval), (2, 1, 2_000));
    let keyed = Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: 1_000_000 };
    assert_eq!((settings.classes[0].idempotency, settings.plans[0].max_concurrency), (keyed, Some(3)));
    assert_eq!(
        (settings.capabilities.load_reports, settings.capabilities.gossip_messages_per_s),
        (LoadReports::WithHealthChecks, 40.0)
    );
    assert!(
        settings.capabilities.cancellation
            && settings.capabilities.shared_counter
            && !settings.capabilities.polls_discovery
    );
    assert_eq!(columns, ["outstanding", ""]);
}

#[test]
fn an_error_names_the_field_by_its_path() {
    assert_eq!(error_with("/classes/0/aimUs", json!("soon")), "classes[0].aimUs is no number");
    assert_eq!(error_with("/classes/0/semantics", json!("odd")), "classes[0].semantics is not known");
    assert_eq!(error_with("/classes/0/windowUs", json!(-1)), "classes[0].windowUs is negative");
    assert_eq!(error_with("/rules/coldFrom", Value::Null), "rules.coldFrom is no number");
    assert_eq!(error_with("/plans/0", json!({})), "plans[0].rate is missing");
    assert!(error_with("/plans", json!(7)).starts_with("plans is not valid: "));
    let mut lacking = settings();
    lacking.as_object_mut().unwrap().remove("familyInfo");
    assert_eq!(read(&lacking).unwrap_err().to_string(), "familyInfo is missing");
    assert!(read(&json!([])).unwrap_err().to_string().starts_with("the object is not valid: "));
}

#[test]
fn optional_fields_of_another_type_count_as_absent() {
    let mut odd = settings();
    odd["stats"] = Value::Null;
    odd["familyInfo"] = json!([1]);
    odd["limits"]["cancel"] = json!("yes");
    let (settings, columns) = read(&odd).unwrap();
    assert_eq!(
        (settings.capabilities.load_reports, settings.capabilities.gossip_messages_per_s),
        (LoadReports::None, 0.0)
    );
    assert!(!settings.capabilities.cancellation && columns.is_empty());
}
