//! Schedule of a real run: the actions that start and end the experiment's faults, changes and restarts.

use crate::experiment::{Experiment, FailureDomain, Fault};
use crate::topology::Topology;
use std::time::Duration;

/// Action on a real fleet. The log shows actions under these names.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    KillGateways(Vec<usize>),
    StartGateways(Vec<usize>),
    /// Makes the servers of a domain leave requests unanswered, as if they had stopped.
    StopServers {
        /// Kind of the failure domain.
        domain: FailureDomain,
        /// Index of the domain among those of its kind.
        index: usize,
    },
    /// Removes the servers of a domain from the endpoint list, as discovery does once it detects a stop.
    PublishStop {
        /// Kind of the failure domain.
        domain: FailureDomain,
        /// Index of the domain among those of its kind.
        index: usize,
    },
    /// Makes the servers of a domain respond again and publishes their entries with a new start time.
    RestoreServers {
        /// Kind of the failure domain.
        domain: FailureDomain,
        /// Index of the domain among those of its kind.
        index: usize,
    },
    /// Sets whether both counters leave calls unanswered.
    SetCounterUnresponsive(bool),
    /// Sets whether the discovery agents leave calls unanswered.
    SetDiscoveryUnresponsive(bool),
    /// Publishes entries with a new start time for this number of servers, from the first server on.
    ChangeEndpoints(usize),
    /// Makes all gateways reload a configuration that contains the address of the second counter.
    ChangeConfiguration,
}

/// Action and the time at which it is applied.
#[derive(Clone, Debug)]
pub struct ScheduledAction {
    /// Time after the start of the measurement period.
    pub at: Duration,
    /// Action to apply.
    pub action: FleetAction,
}

impl ScheduledAction {
    /// Schedules an action at a number of seconds after the start of the measurement period.
    fn new(seconds: f64, action: FleetAction) -> ScheduledAction {
        ScheduledAction { at: Duration::from_secs_f64(seconds), action }
    }
}

/// Returns all actions of an experiment in the order of their times.
pub fn schedule(experiment: &Experiment) -> Vec<ScheduledAction> {
    let faults = experiment.faults.iter().flat_map(|fault| fault_actions(experiment, fault));
    let mut actions: Vec<ScheduledAction> =
        faults.chain(change_actions(experiment)).chain(restart_actions(experiment)).collect();
    actions.sort_by_key(|scheduled| scheduled.at);
    actions
}

/// Returns the endpoint changes of `load.changes`, spread evenly over the measurement period.
fn change_actions(experiment: &Experiment) -> impl Iterator<Item = ScheduledAction> + '_ {
    let count = experiment.load.changes;
    (0..count).map(move |change| {
        ScheduledAction::new(
            evenly_spaced_seconds(experiment, change, count),
            FleetAction::ChangeEndpoints(1),
        )
    })
}

/// Returns the gateway restarts of `load.restarts`, spread evenly over the measurement period.
fn restart_actions(experiment: &Experiment) -> impl Iterator<Item = ScheduledAction> + '_ {
    let count = experiment.load.restarts;
    (0..count).flat_map(move |restart| {
        let at = evenly_spaced_seconds(experiment, restart, count);
        let gateway = restart % experiment.fleet.gateways;
        [
            ScheduledAction::new(at, FleetAction::KillGateways(vec![gateway])),
            ScheduledAction::new(at, FleetAction::StartGateways(vec![gateway])),
        ]
    })
}

/// Returns the time, in seconds, of one of `count` actions spread evenly over the measurement period.
fn evenly_spaced_seconds(experiment: &Experiment, index: usize, count: usize) -> f64 {
    experiment.load.duration_seconds * index as f64 / count as f64
}

/// Returns the actions that start and end a fault. Times are in seconds after the start of the measurement
/// period.
fn fault_actions(experiment: &Experiment, fault: &Fault) -> Vec<ScheduledAction> {
    let starts_at = fault.at_seconds();
    let ends_at = starts_at + fault.duration_seconds();
    match *fault {
        Fault::KillGateways { count, .. } => kill_and_restart(starts_at, ends_at, (0..count).collect()),
        Fault::StopDomain { domain, index, include_gateways, .. } => {
            let detected_at = starts_at + experiment.discovery.detection_milliseconds / 1e3;
            let mut actions = vec![
                ScheduledAction::new(starts_at, FleetAction::StopServers { domain, index }),
                ScheduledAction::new(detected_at.min(ends_at), FleetAction::PublishStop { domain, index }),
                ScheduledAction::new(ends_at, FleetAction::RestoreServers { domain, index }),
            ];
            if include_gateways {
                actions.extend(kill_and_restart(starts_at, ends_at, gateways_in(experiment, domain, index)));
            }
            actions
        }
        Fault::StallCounter { .. } => vec![
            ScheduledAction::new(starts_at, FleetAction::SetCounterUnresponsive(true)),
            ScheduledAction::new(ends_at, FleetAction::SetCounterUnresponsive(false)),
        ],
        Fault::StallDiscovery { .. } => vec![
            ScheduledAction::new(starts_at, FleetAction::SetDiscoveryUnresponsive(true)),
            ScheduledAction::new(ends_at, FleetAction::SetDiscoveryUnresponsive(false)),
        ],
        Fault::ChangeEndpoints { count, .. } => {
            vec![ScheduledAction::new(starts_at, FleetAction::ChangeEndpoints(count))]
        }
        Fault::ChangeConfiguration { .. } => {
            vec![ScheduledAction::new(starts_at, FleetAction::ChangeConfiguration)]
        }
        // Validation rejects these faults in real mode.
        Fault::PartitionRegions { .. } | Fault::StallGateway { .. } => Vec::new(),
    }
}

/// Returns the actions that kill gateways and start them again later. Times are in seconds.
fn kill_and_restart(starts_at: f64, ends_at: f64, gateways: Vec<usize>) -> Vec<ScheduledAction> {
    vec![
        ScheduledAction::new(starts_at, FleetAction::KillGateways(gateways.clone())),
        ScheduledAction::new(ends_at, FleetAction::StartGateways(gateways)),
    ]
}

fn gateways_in(experiment: &Experiment, domain: FailureDomain, index: usize) -> Vec<usize> {
    let topology = Topology::new(&experiment.fleet);
    (0..experiment.fleet.gateways).filter(|gateway| topology.is_in_domain(*gateway, domain, index)).collect()
}
