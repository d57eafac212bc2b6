//! Tests of the settings object: the values that are parsed from it and the field paths in errors.

use grebehook_core::{DeduplicationScope, Gateway, Idempotency, LoadReports, SettingsError};
use grebehook_simulator_adapter::fields::FieldError;
use grebehook_simulator_adapter::settings::{parse, wire_path, InstanceSettings, LoadReportColumn};
use serde_json::{json, Value};

/// Returns a settings object that parses.
fn settings() -> Value {
    json!({
        "az": 1, "me": 0, "siblings": 2, "tickUs": 2000.7, "unknown_key": [1],
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

/// Returns the text of the error from parsing settings in which the value at a JSON pointer is replaced.
fn parse_error_with(pointer: &str, value: Value) -> String {
    let mut settings = settings();
    *settings.pointer_mut(pointer).unwrap() = value;
    parse(&settings).unwrap_err().to_string()
}

#[test]
fn known_fields_are_parsed_and_unknown_ones_are_ignored() {
    let InstanceSettings { core: settings, load_report_columns } = parse(&settings()).unwrap();
    assert_eq!((settings.gateway_count, settings.zone, settings.batch_interval), (2, 1, 2_000));
    let idempotency = Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, window: 1_000_000 };
    assert_eq!((settings.classes[0].idempotency, settings.plans[0].max_concurrency), (idempotency, Some(3)));
    assert_eq!(
        (settings.capabilities.load_reports, settings.capabilities.gossip_messages_per_s),
        (LoadReports::WithHealthChecks, 40.0)
    );
    assert!(
        settings.capabilities.cancellation
            && settings.capabilities.shared_counter
            && !settings.capabilities.polls_discovery
    );
    assert_eq!(load_report_columns, [LoadReportColumn::InFlight, LoadReportColumn::Unknown]);
}

#[test]
fn error_contains_the_path_of_the_field() {
    assert_eq!(parse_error_with("/classes/0/aimUs", json!("soon")), "classes[0].aimUs is no number");
    assert_eq!(parse_error_with("/classes/0/semantics", json!("odd")), "classes[0].semantics is not known");
    assert_eq!(parse_error_with("/classes/0/windowUs", json!(-1)), "classes[0].windowUs is negative");
    assert_eq!(parse_error_with("/rules/coldFrom", Value::Null), "rules.coldFrom is no number");
    assert_eq!(parse_error_with("/plans/0", json!({})), "plans[0].rate is missing");
    assert!(parse_error_with("/plans", json!(7)).starts_with("plans is not valid: "));
    let mut incomplete = settings();
    incomplete.as_object_mut().unwrap().remove("familyInfo");
    assert_eq!(parse(&incomplete).unwrap_err().to_string(), "familyInfo is missing");
    assert!(parse(&json!([])).unwrap_err().to_string().starts_with("the object is not valid: "));
}

#[test]
fn optional_fields_of_the_wrong_type_count_as_absent() {
    let mut mistyped = settings();
    mistyped["stats"] = Value::Null;
    mistyped["familyInfo"] = json!([1]);
    mistyped["limits"]["cancel"] = json!("yes");
    let InstanceSettings { core: settings, load_report_columns } = parse(&mistyped).unwrap();
    assert_eq!(
        (settings.capabilities.load_reports, settings.capabilities.gossip_messages_per_s),
        (LoadReports::None, 0.0)
    );
    assert!(!settings.capabilities.cancellation && load_report_columns.is_empty());
}

#[test]
fn load_report_columns_are_identified_by_their_wire_names() {
    let mut with_columns = settings();
    with_columns["stats"]["columns"] =
        json!(["recent_ms", "backlog", "utilization", "unknown_column", "outstanding"]);
    let columns = [
        LoadReportColumn::LatencyMs,
        LoadReportColumn::Queued,
        LoadReportColumn::Utilization,
        LoadReportColumn::Unknown,
        LoadReportColumn::InFlight,
    ];
    assert_eq!(parse(&with_columns).unwrap().load_report_columns, columns);
}

/// Returns the error of the decision core for settings in which the value at a JSON pointer is replaced.
fn core_error_with(pointer: &str, value: Value) -> SettingsError {
    let mut settings = settings();
    settings["prices"] = json!({"peer": 0.0, "probe": 0.0});
    settings["familyInfo"]["countFee"] = json!(0.0);
    *settings.pointer_mut(pointer).unwrap_or_else(|| panic!("no setting at {pointer}")) = value;
    let core_settings = parse(&settings).expect("the settings object is parsed").core;
    let rejection = Gateway::new(core_settings, 1, 0).err();
    rejection.unwrap_or_else(|| panic!("the core accepts the value at {pointer}"))
}

/// Covers every field whose value the decision core checks: the path in the core's error is translated to the
/// path in the settings object.
#[test]
fn field_rejected_by_the_core_is_reported_by_its_wire_path() {
    let cases = [
        ("/classes", json!([]), "classes", "classes"),
        ("/plans", json!([]), "plans", "plans"),
        ("/siblings", json!(0), "gateway_count", "siblings"),
        ("/me", json!(2), "gateway_index", "me"),
        ("/tickUs", json!(0), "batch_interval", "tickUs"),
        ("/classes/0/aimUs", json!(0), "classes[0].latency_objective", "classes[0].aimUs"),
        ("/classes/0/value", json!(-1), "classes[0].priority_weight", "classes[0].value"),
        ("/plans/0/rate", json!(-1), "plans[0].rate", "plans[0].rate"),
        ("/plans/0/depth", json!(-1), "plans[0].burst", "plans[0].depth"),
        ("/plans/0/valueFactor", json!(-1), "plans[0].weight_multiplier", "plans[0].valueFactor"),
        ("/plans/0/excessWorth", json!(-1), "plans[0].overage_weight", "plans[0].excessWorth"),
        ("/plans/0/excessCost", json!(-1), "plans[0].overage_cost", "plans[0].excessCost"),
        ("/plans/0/ceilingRate", json!(-1), "plans[0].hard_limit_rate", "plans[0].ceilingRate"),
        ("/plans/0/neverOverDepth", json!(-1), "plans[0].hard_limit_burst", "plans[0].neverOverDepth"),
        ("/plans/0/tolerance", json!(-1), "plans[0].hard_limit_overdraft", "plans[0].tolerance"),
        ("/familyInfo/mailPerS", json!(-1), "capabilities.gossip_messages_per_s", "familyInfo.mailPerS"),
        ("/prices/peer", json!(-1), "capabilities.gossip_cost", "prices.peer"),
        ("/prices/probe", json!(-1), "capabilities.health_check_cost", "prices.probe"),
        ("/familyInfo/countFee", json!(-1), "capabilities.counter_call_cost", "familyInfo.countFee"),
        ("/rules/coldFrom", json!(-1), "rules.initial_capacity", "rules.coldFrom"),
        ("/rules/fallMultiple", json!(-1), "rules.overload_multiple", "rules.fallMultiple"),
    ];
    for (pointer, value, core_path, expected_wire_path) in cases {
        let core_error = core_error_with(pointer, value);
        assert_eq!(core_error.field, core_path);
        assert_eq!(wire_path(&core_error.field), expected_wire_path);
        let error = FieldError::from(core_error.clone());
        assert_eq!(error.to_string(), format!("{expected_wire_path} {}", core_error.reason));
    }
}

#[test]
fn wire_path_keeps_the_index_of_a_list() {
    assert_eq!(wire_path("classes[12].latency_objective"), "classes[12].aimUs");
    assert_eq!(wire_path("plans[3].rate"), "plans[3].rate");
    assert_eq!(wire_path("plans[3]"), "plans[3]");
    assert_eq!(wire_path("unknown_key"), "unknown_key");
}
