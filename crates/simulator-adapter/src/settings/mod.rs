//! Converts the settings object of the simulator's protocol to the settings of the decision core.

mod message;
mod wire_path;

pub use message::SettingsMessage;
pub use wire_path::wire_path;

use crate::fields::{self, FieldError};
use grebehook_core::{
    Capabilities, Class, DeduplicationScope, Idempotency, LoadReports, Micros, Plan, ProtocolRules, Settings,
};
use message::{ClassMessage, PlanMessage, RulesMessage};
use serde_json::Value;

/// A column of servers' load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportColumn {
    /// Number of requests in flight.
    InFlight,
    /// Number of queued requests.
    Queued,
    /// Share of the server's CPU cores that are busy.
    Utilization,
    /// Recent service time, in milliseconds.
    LatencyMs,
    /// A column that the decision core does not use.
    Unknown,
}

impl LoadReportColumn {
    /// Returns the column with the given wire name.
    fn from_wire_name(name: &Value) -> LoadReportColumn {
        match name.as_str() {
            Some("outstanding") => LoadReportColumn::InFlight,
            Some("backlog") => LoadReportColumn::Queued,
            Some("utilization") => LoadReportColumn::Utilization,
            Some("recent_ms") => LoadReportColumn::LatencyMs,
            _ => LoadReportColumn::Unknown,
        }
    }
}

/// The settings of one simulated gateway.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// Settings of the decision core.
    pub core: Settings,
    /// Columns of load reports, in the order of their values.
    pub load_report_columns: Vec<LoadReportColumn>,
}

/// Parses a settings object.
pub fn parse(settings: &Value) -> Result<InstanceSettings, FieldError> {
    let message: SettingsMessage = fields::deserialize(settings)?;
    Ok(InstanceSettings {
        core: message.to_core_settings()?,
        load_report_columns: message.load_report_columns(),
    })
}

impl SettingsMessage {
    /// Converts the message to the decision core's settings.
    pub fn to_core_settings(&self) -> Result<Settings, FieldError> {
        Ok(Settings {
            gateway_index: self.gateway_index as usize,
            gateway_count: self.gateway_count as usize,
            zone: self.zone as u32,
            batch_interval: self.batch_interval,
            classes: self.to_core_classes()?,
            plans: self.plans.iter().map(PlanMessage::to_core_plan).collect(),
            capabilities: self.capabilities(),
            rules: self.rules.to_core_rules(),
        })
    }

    fn load_report_columns(&self) -> Vec<LoadReportColumn> {
        self.load_reports.columns.iter().map(LoadReportColumn::from_wire_name).collect()
    }

    /// Converts the classes; the path of an error contains the index of the malformed class.
    fn to_core_classes(&self) -> Result<Vec<Class>, FieldError> {
        let classes = self.classes.iter().enumerate();
        classes
            .map(|(index, class)| class.to_core_class().map_err(|error| error.within_list("classes", index)))
            .collect()
    }

    /// Collects the allowed features and their costs from several sections of the message.
    fn capabilities(&self) -> Capabilities {
        Capabilities {
            health_checks: self.limits.health_checks,
            gossip: self.limits.gossip,
            cancellation: self.limits.cancellation,
            hedged_requests: self.limits.hedged_requests,
            retry_after: self.limits.retry_after,
            max_retry_after: self.limits.max_retry_after,
            max_attempts: self.limits.max_attempts as u32,
            gossip_messages_per_s: self.quota_accounting.gossip_messages_per_s,
            gossip_cost: self.costs.gossip,
            health_check_cost: self.costs.health_check,
            shared_counter: self.quota_accounting.shared_counter,
            counter_call_cost: self.quota_accounting.counter_call_cost,
            counter_timeout: nonzero_time(self.quota_accounting.counter_timeout),
            marks_retries: self.clients.marks_retries,
            usage_report_period: nonzero_time(self.quota_accounting.usage_report_period),
            settles_units: self.quota_accounting.settles_units,
            load_reports: match self.load_reports.delivery.as_str() {
                "answers" => LoadReports::WithResponses,
                "probe" => LoadReports::WithHealthChecks,
                _ => LoadReports::None,
            },
            polls_discovery: self.discovery == "ask",
        }
    }
}

impl ClassMessage {
    /// Converts the class; the path of an error starts at the class.
    fn to_core_class(&self) -> Result<Class, FieldError> {
        Ok(Class {
            latency_objective: self.latency_objective,
            deadline: self.deadline,
            late_priority_weight: self.late_priority_weight,
            priority_weight: self.priority_weight,
            idempotency: self.idempotency()?,
            streaming: self.streaming,
        })
    }

    fn idempotency(&self) -> Result<Idempotency, FieldError> {
        match self.idempotency.as_str() {
            "retryable" => Ok(Idempotency::Idempotent),
            "dedup" => Ok(Idempotency::IdempotencyKey {
                scope: self.deduplication_scope(),
                window: self.deduplication_window()?,
            }),
            "fragile" => Ok(Idempotency::NonIdempotent),
            _ => Err(FieldError::new("semantics", "is not known")),
        }
    }

    /// Returns the set of servers that share their seen idempotency keys.
    fn deduplication_scope(&self) -> DeduplicationScope {
        match self.deduplication_scope.as_str() {
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ => DeduplicationScope::All,
        }
    }

    /// Returns how long servers remember an idempotency key.
    fn deduplication_window(&self) -> Result<Micros, FieldError> {
        let window = fields::unsigned(&self.deduplication_window);
        window.map_err(|error| FieldError::new("windowUs", &error.to_string()))
    }
}

impl PlanMessage {
    fn to_core_plan(&self) -> Plan {
        Plan {
            rate: self.rate,
            burst: self.burst,
            max_concurrency: Some(self.max_concurrency as u32).filter(|limit| *limit > 0),
            weight_multiplier: self.weight_multiplier,
            overage_weight: self.overage_weight,
            overage_cost: self.overage_cost,
            hard_limit_rate: self.hard_limit_rate,
            hard_limit_burst: self.hard_limit_burst,
            hard_limit_overdraft: self.hard_limit_overdraft,
        }
    }
}

impl RulesMessage {
    fn to_core_rules(&self) -> ProtocolRules {
        ProtocolRules {
            response_grace: self.response_grace,
            initial_capacity: self.initial_capacity,
            warm_up: self.warm_up,
            overload_multiple: self.overload_multiple,
            overload_window: self.overload_window,
        }
    }
}

/// Converts the protocol's 0 for an absent time to `None`.
fn nonzero_time(time: Micros) -> Option<Micros> {
    Some(time).filter(|time| *time > 0)
}
