//! Validation of an experiment's values; each error names the invalid field.

use super::{Domain, Experiment, Fault, Fleet, Load, Mode};
use crate::error::{LaboratoryError, Result};

/// Most gateway processes of a real run; the laboratory itself is one more process.
const MAX_GATEWAY_PROCESSES: usize = 150;
/// Most server stubs of a real run, each with a listener of its own.
const MAX_REAL_SERVERS: usize = 2_000;
/// Most client connections of a real run.
const MAX_CONNECTIONS: usize = 2_000;
/// Longest warm-up and longest measured time of a point, in seconds.
const MAX_PHASE_SECONDS: f64 = 3_600.0;

/// Validates an experiment at one size.
pub fn check(experiment: &Experiment) -> Result<()> {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || letter == '-';
    if experiment.name.is_empty() || !experiment.name.chars().all(is_allowed) {
        return Err(LaboratoryError::field("name", "must consist of ASCII letters, digits and '-'"));
    }
    check_fleet(&experiment.fleet)?;
    check_load(&experiment.load)?;
    check_services(experiment)?;
    for fault in &experiment.faults {
        check_fault(fault, experiment)?;
    }
    if experiment.mode == Mode::Real {
        check_real_mode(experiment)?;
    }
    Ok(())
}

/// Validates the values of the sweep.
pub fn check_sweep(experiment: &Experiment) -> Result<()> {
    let Some(sweep) = &experiment.sweep else { return Ok(()) };
    if sweep.values.is_empty() {
        return Err(LaboratoryError::field("sweep.values", "must contain at least one size"));
    }
    if sweep.values.windows(2).any(|pair| pair[0] >= pair[1]) {
        return Err(LaboratoryError::field("sweep.values", "must be in strictly ascending order"));
    }
    Ok(())
}

/// Validates the sizes of the fleet.
fn check_fleet(fleet: &Fleet) -> Result<()> {
    let at_least_one: [(&'static str, usize); 8] = [
        ("fleet.gateways", fleet.gateways),
        ("fleet.services", fleet.services),
        ("fleet.servers_per_service", fleet.servers_per_service),
        ("fleet.tenants", fleet.tenants),
        ("fleet.gateways_per_tenant", fleet.gateways_per_tenant),
        ("fleet.regions", fleet.regions),
        ("fleet.zones_per_region", fleet.zones_per_region),
        ("fleet.racks_per_zone", fleet.racks_per_zone),
    ];
    match at_least_one.iter().find(|(_, value)| *value == 0) {
        Some((field, _)) => Err(LaboratoryError::field(field, "must be at least 1")),
        None => Ok(()),
    }
}

/// Validates the load.
fn check_load(load: &Load) -> Result<()> {
    let within = |field, value: f64, max: f64| {
        if value.is_finite() && value >= 0.0 && value <= max {
            return Ok(());
        }
        Err(LaboratoryError::field(field, format!("must be between 0 and {max}")))
    };
    within("load.requests_per_second", load.requests_per_second, 1e7)?;
    within("load.duration_seconds", load.duration_seconds, MAX_PHASE_SECONDS)?;
    within("load.warm_up_seconds", load.warm_up_seconds, MAX_PHASE_SECONDS)?;
    within("load.quota_rate", load.quota_rate, 1e9)?;
    within("load.quota_burst", load.quota_burst, 1e9)?;
    within("load.hot_share", load.hot_share, 1.0)?;
    if load.duration_seconds == 0.0 {
        return Err(LaboratoryError::field("load.duration_seconds", "must be more than 0"));
    }
    if load.timed_requests == 0 {
        return Err(LaboratoryError::field("load.timed_requests", "must be at least 1"));
    }
    if load.hot_share > 0.0 && load.hot_tenants == 0 {
        return Err(LaboratoryError::field(
            "load.hot_tenants",
            "must be at least 1 if load.hot_share is above 0",
        ));
    }
    Ok(())
}

/// Validates the settings of servers, shared counter and discovery.
fn check_services(experiment: &Experiment) -> Result<()> {
    let positive: [(&'static str, f64); 4] = [
        ("backend.service_milliseconds", experiment.backend.service_milliseconds),
        ("backend.concurrency", experiment.backend.concurrency as f64),
        ("counter.capacity_per_second", experiment.counter.capacity_per_second),
        ("counter.limit_milliseconds", experiment.counter.limit_milliseconds),
    ];
    let non_negative: [(&'static str, f64); 4] = [
        ("counter.latency_milliseconds", experiment.counter.latency_milliseconds),
        ("discovery.region_milliseconds", experiment.discovery.region_milliseconds),
        ("discovery.relay_milliseconds", experiment.discovery.relay_milliseconds),
        ("discovery.notice_milliseconds", experiment.discovery.notice_milliseconds),
    ];
    if let Some((field, _)) = positive.iter().find(|(_, value)| !value.is_finite() || *value <= 0.0) {
        return Err(LaboratoryError::field(field, "must be more than 0"));
    }
    if let Some((field, _)) = non_negative.iter().find(|(_, value)| !value.is_finite() || *value < 0.0) {
        return Err(LaboratoryError::field(field, "must not be negative"));
    }
    Ok(())
}

/// Validates a fault against the fleet and the measured time.
fn check_fault(fault: &Fault, experiment: &Experiment) -> Result<()> {
    let start = fault.at_seconds();
    let duration = fault.lasts_seconds();
    if !start.is_finite() || start < 0.0 || start >= experiment.load.duration_seconds {
        return Err(LaboratoryError::field(
            "fault.at_seconds",
            "must be at least 0 and less than load.duration_seconds",
        ));
    }
    if !duration.is_finite() || duration < 0.0 {
        return Err(LaboratoryError::field("fault.lasts_seconds", "must not be negative"));
    }
    let fleet = &experiment.fleet;
    match fault {
        Fault::KillGateways { count, .. } if *count == 0 || *count > fleet.gateways => {
            Err(LaboratoryError::field("fault.count", "must be between 1 and the number of gateways"))
        }
        Fault::ChangeEndpoints { count, .. } if *count == 0 || *count > fleet.servers() => {
            Err(LaboratoryError::field("fault.count", "must be between 1 and the number of servers"))
        }
        Fault::StopDomain { domain, index, .. } if *index >= domain_count(*domain, fleet) => {
            Err(LaboratoryError::field(
                "fault.index",
                "must be less than the fleet's number of domains of this kind",
            ))
        }
        Fault::PartitionRegions { first, second, .. }
            if first == second || *first.max(second) >= fleet.regions =>
        {
            Err(LaboratoryError::field(
                "fault.second",
                "must differ from fault.first, and both must be regions of the fleet",
            ))
        }
        Fault::StallGateway { gateway, .. } if *gateway >= fleet.gateways => {
            Err(LaboratoryError::field("fault.gateway", "must be less than fleet.gateways"))
        }
        _ => Ok(()),
    }
}

/// Returns the number of domains of a kind in a fleet.
fn domain_count(domain: Domain, fleet: &Fleet) -> usize {
    match domain {
        Domain::Rack => fleet.racks(),
        Domain::Zone => fleet.regions * fleet.zones_per_region,
        Domain::Region => fleet.regions,
    }
}

/// Validates the limits of real mode.
fn check_real_mode(experiment: &Experiment) -> Result<()> {
    let fleet = &experiment.fleet;
    let load = &experiment.load;
    if fleet.gateways > MAX_GATEWAY_PROCESSES {
        let reason = format!("must be at most {MAX_GATEWAY_PROCESSES} in real mode");
        return Err(LaboratoryError::field("fleet.gateways", reason));
    }
    if fleet.servers() > MAX_REAL_SERVERS {
        let reason = format!("must give at most {MAX_REAL_SERVERS} servers of all services in real mode");
        return Err(LaboratoryError::field("fleet.servers_per_service", reason));
    }
    if load.connections == 0 || load.connections > MAX_CONNECTIONS {
        let reason = format!("must be between 1 and {MAX_CONNECTIONS} in real mode");
        return Err(LaboratoryError::field("load.connections", reason));
    }
    let hollow_only =
        |fault: &Fault| matches!(fault, Fault::PartitionRegions { .. } | Fault::StallGateway { .. });
    if experiment.faults.iter().any(hollow_only) {
        return Err(LaboratoryError::field("fault.kind", "is supported in hollow mode only"));
    }
    Ok(())
}
