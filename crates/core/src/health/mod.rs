//! The health of servers: outlier detection, slow start with its budgets, and health checks.

mod health_check;
pub(crate) mod outlier;
pub(crate) mod slow_start;
mod slow_start_budget;
