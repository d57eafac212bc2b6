//! The settings object of a launch, read into the decision core's settings.

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

/// A column of load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadColumn {
    /// Requests in flight.
    InFlight,
    /// Requests queued.
    Queued,
    /// Busy share of the server's cores.
    Utilization,
    /// Recent service time, milliseconds.
    LatencyMs,
    /// One that the decision core does not use.
    Unknown,
}

impl LoadColumn {
    /// The column that a settings object names.
    fn named(name: &Value) -> LoadColumn {
        match name.as_str() {
            Some("outstanding") => LoadColumn::InFlight,
            Some("backlog") => LoadColumn::Queued,
            Some("utilization") => LoadColumn::Utilization,
            Some("recent_ms") => LoadColumn::LatencyMs,
            _ => LoadColumn::Unknown,
        }
    }
}

/// What a settings object says.
#[derive(Clone, Debug)]
pub struct LaunchSettings {
    /// The settings of the decision core.
    pub core: Settings,
    /// The columns of load reports, in their order.
    pub load_columns: Vec<LoadColumn>,
}

/// Reads a settings object.
pub fn read(info: &Value) -> Result<LaunchSettings, FieldError> {
    let message: SettingsMessage = fields::read(info)?;
    Ok(LaunchSettings { core: message.settings()?, load_columns: message.load_columns() })
}

impl SettingsMessage {
    /// The decision core's settings.
    pub fn settings(&self) -> Result<Settings, FieldError> {
        Ok(Settings {
            gateway_index: self.gateway_index as usize,
            gateway_count: self.gateway_count as usize,
            zone: self.zone as u32,
            batch_interval: self.batch_interval,
            classes: self.classes()?,
            plans: self.plans.iter().map(PlanMessage::plan).collect(),
            capabilities: self.capabilities(),
            rules: self.rules.rules(),
        })
    }

    /// The columns of load reports, in their order.
    fn load_columns(&self) -> Vec<LoadColumn> {
        self.load_reports.columns.iter().map(LoadColumn::named).collect()
    }

    /// The classes; an error names the one at fault.
    fn classes(&self) -> Result<Vec<Class>, FieldError> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(index, class)| class.class().map_err(|error| error.below("classes", index))).collect()
    }

    /// What is allowed, and what it costs.
    fn capabilities(&self) -> Capabilities {
        Capabilities {
            health_checks: self.limits.health_checks,
            gossip: self.limits.gossip,
            cancellation: self.limits.cancellation,
            hedged_requests: self.limits.hedged_requests,
            retry_after: self.limits.retry_after,
            max_retry_after: self.limits.max_retry_after,
            max_attempts: self.limits.max_attempts as u32,
            gossip_messages_per_s: self.customer_interface.gossip_messages_per_s,
            gossip_cost: self.costs.gossip,
            health_check_cost: self.costs.health_check,
            shared_counter: self.customer_interface.shared_counter,
            counter_call_cost: self.customer_interface.counter_call_cost,
            counter_timeout: positive(self.customer_interface.counter_timeout),
            marks_retries: self.clients.marks_retries,
            usage_report_period: positive(self.customer_interface.usage_report_period),
            settles_units: self.customer_interface.settles_units,
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
    /// The decision core's class; the path of an error starts at the class.
    fn class(&self) -> Result<Class, FieldError> {
        Ok(Class {
            latency_objective: self.latency_objective,
            deadline: self.deadline,
            late_priority_weight: self.late_priority_weight,
            priority_weight: self.priority_weight,
            idempotency: self.idempotency()?,
            streaming: self.streaming,
        })
    }

    /// Whether a request may run again.
    fn idempotency(&self) -> Result<Idempotency, FieldError> {
        match self.idempotency.as_str() {
            "retryable" => Ok(Idempotency::Idempotent),
            "dedup" => Ok(Idempotency::IdempotencyKey { scope: self.scope(), window: self.window()? }),
            "fragile" => Ok(Idempotency::NonIdempotent),
            _ => Err(FieldError::new("semantics", "is not known")),
        }
    }

    /// Which servers drop repeats.
    fn scope(&self) -> DeduplicationScope {
        match self.deduplication_scope.as_str() {
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ => DeduplicationScope::All,
        }
    }

    /// How long they do.
    fn window(&self) -> Result<Micros, FieldError> {
        let window = fields::micros(&self.deduplication_window);
        window.map_err(|error| FieldError::new("windowUs", &error.to_string()))
    }
}

impl PlanMessage {
    /// The decision core's plan.
    fn plan(&self) -> Plan {
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
    /// The decision core's rules.
    fn rules(&self) -> ProtocolRules {
        ProtocolRules {
            response_grace: self.response_grace,
            initial_capacity: self.initial_capacity,
            warm_up: self.warm_up,
            overload_multiple: self.overload_multiple,
            overload_window: self.overload_window,
        }
    }
}

/// A time that the wire leaves out by 0.
fn positive(time: Micros) -> Option<Micros> {
    Some(time).filter(|time| *time > 0)
}
