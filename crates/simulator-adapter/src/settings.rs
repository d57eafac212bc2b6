//! The settings object of a launch, read into the decision core's settings. Unknown keys are ignored.

use crate::fields::{self, FieldError};
use grebehook_core::{
    Capabilities, Class, DeduplicationScope, Idempotency, LoadReports, Plan, ProtocolRules, Settings,
};
use serde::Deserialize;
use serde_json::Value;

/// The settings object as the simulator and a gateway's configuration give it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SettingsMessage {
    #[serde(deserialize_with = "fields::micros")]
    me: u64,
    #[serde(deserialize_with = "fields::micros")]
    siblings: u64,
    #[serde(deserialize_with = "fields::micros")]
    az: u64,
    #[serde(deserialize_with = "fields::micros")]
    tick_us: u64,
    #[serde(default, deserialize_with = "fields::lenient")]
    discovery: String,
    classes: Vec<ClassMessage>,
    plans: Vec<PlanMessage>,
    limits: LimitsMessage,
    rules: RulesMessage,
    #[serde(deserialize_with = "fields::lenient_object")]
    family_info: FamilyMessage,
    #[serde(deserialize_with = "fields::lenient_object")]
    stats: StatsMessage,
    #[serde(default, deserialize_with = "fields::lenient_object")]
    prices: PricesMessage,
    #[serde(default, deserialize_with = "fields::lenient_object")]
    callers: CallersMessage,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassMessage {
    #[serde(deserialize_with = "fields::micros")]
    aim_us: u64,
    #[serde(deserialize_with = "fields::micros")]
    deadline_us: u64,
    #[serde(deserialize_with = "fields::number")]
    late_worth: f64,
    #[serde(deserialize_with = "fields::number")]
    value: f64,
    #[serde(default, deserialize_with = "fields::lenient")]
    semantics: String,
    #[serde(default, deserialize_with = "fields::lenient")]
    group: String,
    /// Of a class with `dedup` semantics alone.
    #[serde(default)]
    window_us: Value,
    #[serde(default, deserialize_with = "fields::lenient")]
    stream: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct PlanMessage {
    #[serde(deserialize_with = "fields::number")]
    rate: f64,
    #[serde(deserialize_with = "fields::number")]
    depth: f64,
    #[serde(deserialize_with = "fields::number")]
    concurrency: f64,
    #[serde(deserialize_with = "fields::number")]
    value_factor: f64,
    #[serde(deserialize_with = "fields::number")]
    excess_worth: f64,
    #[serde(deserialize_with = "fields::number")]
    excess_cost: f64,
    #[serde(deserialize_with = "fields::number")]
    ceiling_rate: f64,
    #[serde(deserialize_with = "fields::number")]
    never_over_depth: f64,
    #[serde(deserialize_with = "fields::number")]
    tolerance: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct LimitsMessage {
    #[serde(default, deserialize_with = "fields::lenient")]
    may_probe: bool,
    #[serde(default, deserialize_with = "fields::lenient")]
    peers: bool,
    #[serde(default, deserialize_with = "fields::lenient")]
    cancel: bool,
    #[serde(default, deserialize_with = "fields::lenient")]
    second_copies: bool,
    #[serde(default, deserialize_with = "fields::lenient")]
    retry_after: bool,
    #[serde(deserialize_with = "fields::micros")]
    max_retry_after_us: u64,
    #[serde(deserialize_with = "fields::number")]
    attempts_cap: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RulesMessage {
    #[serde(deserialize_with = "fields::micros")]
    grace_to_answer_us: u64,
    #[serde(deserialize_with = "fields::number")]
    cold_from: f64,
    #[serde(deserialize_with = "fields::micros")]
    warm_after_us: u64,
    #[serde(deserialize_with = "fields::number")]
    fall_multiple: f64,
    #[serde(deserialize_with = "fields::micros")]
    tip_after_us: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct FamilyMessage {
    #[serde(deserialize_with = "fields::lenient")]
    mail_per_s: f64,
    #[serde(deserialize_with = "fields::lenient")]
    shared_counter: bool,
    #[serde(deserialize_with = "fields::lenient")]
    count_fee: f64,
    #[serde(deserialize_with = "fields::lenient_micros")]
    count_limit_us: u64,
    #[serde(deserialize_with = "fields::lenient_micros")]
    meter_us: u64,
    #[serde(deserialize_with = "fields::lenient")]
    trued_up: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct StatsMessage {
    #[serde(deserialize_with = "fields::lenient")]
    columns: Vec<Value>,
    #[serde(deserialize_with = "fields::lenient")]
    how: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct PricesMessage {
    #[serde(deserialize_with = "fields::lenient")]
    peer: f64,
    #[serde(deserialize_with = "fields::lenient")]
    probe: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct CallersMessage {
    #[serde(deserialize_with = "fields::lenient")]
    marks_retry: bool,
}

impl ClassMessage {
    fn class(&self) -> Result<Class, (&'static str, String)> {
        let group = match self.group.as_str() {
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ => DeduplicationScope::All,
        };
        let effect = match self.semantics.as_str() {
            "retryable" => Idempotency::Idempotent,
            "dedup" => Idempotency::IdempotencyKey { scope: group, window: self.window()? },
            "fragile" => Idempotency::NonIdempotent,
            _ => return Err(("semantics", "is not known".to_owned())),
        };
        Ok(Class {
            latency_objective: self.aim_us,
            deadline: self.deadline_us,
            late_priority_weight: self.late_worth,
            priority_weight: self.value,
            idempotency: effect,
            streaming: self.stream,
        })
    }

    fn window(&self) -> Result<u64, (&'static str, String)> {
        fields::micros(&self.window_us).map_err(|e| ("windowUs", e.to_string()))
    }
}

impl PlanMessage {
    fn plan(&self) -> Plan {
        Plan {
            rate: self.rate,
            burst: self.depth,
            max_concurrency: Some(self.concurrency as u32).filter(|limit| *limit > 0),
            weight_multiplier: self.value_factor,
            overage_weight: self.excess_worth,
            overage_cost: self.excess_cost,
            hard_limit_rate: self.ceiling_rate,
            hard_limit_burst: self.never_over_depth,
            hard_limit_overdraft: self.tolerance,
        }
    }
}

impl SettingsMessage {
    /// The settings that the decision core knows.
    pub fn settings(&self) -> Result<Settings, FieldError> {
        Ok(Settings {
            gateway_index: self.me as usize,
            gateway_count: self.siblings as usize,
            zone: self.az as u32,
            batch_interval: self.tick_us,
            classes: self.classes()?,
            plans: self.plans.iter().map(PlanMessage::plan).collect(),
            capabilities: self.allow(),
            rules: self.rules(),
        })
    }

    /// The names of the columns of load reports, in their order.
    fn load_columns(&self) -> Vec<String> {
        self.stats.columns.iter().map(|column| column.as_str().unwrap_or("").to_owned()).collect()
    }

    fn classes(&self) -> Result<Vec<Class>, FieldError> {
        let place = |index, (field, reason)| FieldError { path: format!("classes[{index}].{field}"), reason };
        let classes = self.classes.iter().enumerate();
        classes.map(|(index, class)| class.class().map_err(|e| place(index, e))).collect()
    }

    fn allow(&self) -> Capabilities {
        let (limits, family) = (&self.limits, &self.family_info);
        Capabilities {
            health_checks: limits.may_probe,
            gossip: limits.peers,
            cancellation: limits.cancel,
            hedged_requests: limits.second_copies,
            retry_after: limits.retry_after,
            max_retry_after: limits.max_retry_after_us,
            max_attempts: limits.attempts_cap as u32,
            gossip_messages_per_s: family.mail_per_s,
            gossip_cost: self.prices.peer,
            health_check_cost: self.prices.probe,
            shared_counter: family.shared_counter,
            counter_call_cost: family.count_fee,
            counter_timeout: Some(family.count_limit_us).filter(|limit| *limit > 0),
            marks_retries: self.callers.marks_retry,
            usage_report_period: Some(family.meter_us).filter(|period| *period > 0),
            settles_units: family.trued_up,
            load_reports: match self.stats.how.as_str() {
                "answers" => LoadReports::WithResponses,
                "probe" => LoadReports::WithHealthChecks,
                _ => LoadReports::None,
            },
            polls_discovery: self.discovery == "ask",
        }
    }

    fn rules(&self) -> ProtocolRules {
        ProtocolRules {
            response_grace: self.rules.grace_to_answer_us,
            initial_capacity: self.rules.cold_from,
            warm_up: self.rules.warm_after_us,
            overload_multiple: self.rules.fall_multiple,
            overload_window: self.rules.tip_after_us,
        }
    }
}

/// The settings and the names of the columns of load reports.
pub fn read(info: &Value) -> Result<(Settings, Vec<String>), FieldError> {
    let message: SettingsMessage = fields::read(info)?;
    Ok((message.settings()?, message.load_columns()))
}
