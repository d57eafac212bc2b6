//! The health of servers: which are ejected for their failures, how much those that warm up may get, and
//! health checks.

mod health_check;
pub(crate) mod outlier;
pub(crate) mod slow_start;
mod slow_start_budget;
