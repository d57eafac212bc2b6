//! Schedule of a real run: the steps at which the experiment's faults, changes and restarts start and end.

use crate::experiment::{Domain, Experiment, Fault};
use crate::topology::Topology;
use std::time::Duration;

/// Action on the fleet at one moment. The log shows variants and fields under these names.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    KillGateways(Vec<usize>),
    StartGateways(Vec<usize>),
    /// Makes the servers of a domain unresponsive.
    StopServers {
        /// Kind of the failure domain.
        domain: Domain,
        /// Index of the domain among those of its kind.
        index: usize,
    },
    /// Removes the servers of a domain from the endpoint list, once discovery has detected that they stopped.
    PublishStop {
        /// Kind of the failure domain.
        domain: Domain,
        /// Index of the domain among those of its kind.
        index: usize,
    },
    /// Makes the servers of a domain responsive again and publishes their new entries.
    RestoreServers {
        /// Kind of the failure domain.
        domain: Domain,
        /// Index of the domain among those of its kind.
        index: usize,
    },
    /// Sets whether both counters are unresponsive.
    SilenceCounter(bool),
    /// Sets whether the discovery agents are unresponsive.
    SilenceDiscovery(bool),
    /// Publishes new entries of this number of servers, beginning with the first server.
    ChangeEndpoints(usize),
    /// Makes all gateways reload a configuration that contains the address of the second counter.
    ChangeConfiguration,
}

/// A scheduled action.
#[derive(Clone, Debug)]
pub struct Step {
    /// Time since the start of the measured time.
    pub at: Duration,
    /// Action that falls due at this time.
    pub action: FaultAction,
}

impl Step {
    /// Returns a step at a number of seconds after the start of the measured time.
    fn new(seconds: f64, action: FaultAction) -> Step {
        Step { at: Duration::from_secs_f64(seconds), action }
    }
}

/// Returns all steps of an experiment in the order of their times.
pub fn steps(experiment: &Experiment) -> Vec<Step> {
    let faults = experiment.faults.iter().flat_map(|fault| fault_steps(experiment, fault));
    let mut steps: Vec<Step> =
        faults.chain(change_steps(experiment)).chain(restart_steps(experiment)).collect();
    steps.sort_by_key(|step| step.at);
    steps
}

/// Returns the load's changes of one server's entry, spread evenly over the measured time.
fn change_steps(experiment: &Experiment) -> impl Iterator<Item = Step> + '_ {
    let count = experiment.load.changes;
    (0..count).map(move |change| {
        Step::new(evenly_spaced_seconds(experiment, change, count), FaultAction::ChangeEndpoints(1))
    })
}

/// Returns the load's restarts of gateways, spread evenly over the measured time.
fn restart_steps(experiment: &Experiment) -> impl Iterator<Item = Step> + '_ {
    let count = experiment.load.restarts;
    (0..count).flat_map(move |restart| {
        let at = evenly_spaced_seconds(experiment, restart, count);
        let gateway = restart % experiment.fleet.gateways;
        [
            Step::new(at, FaultAction::KillGateways(vec![gateway])),
            Step::new(at, FaultAction::StartGateways(vec![gateway])),
        ]
    })
}

/// Returns the time, in seconds, of one of `count` steps that are spread evenly over the measured time.
fn evenly_spaced_seconds(experiment: &Experiment, index: usize, count: usize) -> f64 {
    experiment.load.duration_seconds * index as f64 / count as f64
}

/// Returns the steps that start and end a fault.
fn fault_steps(experiment: &Experiment, fault: &Fault) -> Vec<Step> {
    let start_seconds = fault.at_seconds();
    let end_seconds = start_seconds + fault.lasts_seconds();
    match *fault {
        Fault::KillGateways { count, .. } => {
            kill_and_restart(start_seconds, end_seconds, (0..count).collect())
        }
        Fault::StopDomain { domain, index, include_gateways, .. } => {
            let detected_seconds = start_seconds + experiment.discovery.notice_milliseconds / 1e3;
            let mut steps = vec![
                Step::new(start_seconds, FaultAction::StopServers { domain, index }),
                Step::new(detected_seconds.min(end_seconds), FaultAction::PublishStop { domain, index }),
                Step::new(end_seconds, FaultAction::RestoreServers { domain, index }),
            ];
            if include_gateways {
                steps.extend(kill_and_restart(
                    start_seconds,
                    end_seconds,
                    gateways_in(experiment, domain, index),
                ));
            }
            steps
        }
        Fault::StallCounter { .. } => vec![
            Step::new(start_seconds, FaultAction::SilenceCounter(true)),
            Step::new(end_seconds, FaultAction::SilenceCounter(false)),
        ],
        Fault::StallDiscovery { .. } => vec![
            Step::new(start_seconds, FaultAction::SilenceDiscovery(true)),
            Step::new(end_seconds, FaultAction::SilenceDiscovery(false)),
        ],
        Fault::ChangeEndpoints { count, .. } => {
            vec![Step::new(start_seconds, FaultAction::ChangeEndpoints(count))]
        }
        Fault::ChangeConfiguration { .. } => vec![Step::new(start_seconds, FaultAction::ChangeConfiguration)],
        // The validation of the experiment rejects these faults in real mode.
        Fault::PartitionRegions { .. } | Fault::StallGateway { .. } => Vec::new(),
    }
}

/// Returns the steps that kill gateways and start them again later.
fn kill_and_restart(start_seconds: f64, end_seconds: f64, gateways: Vec<usize>) -> Vec<Step> {
    vec![
        Step::new(start_seconds, FaultAction::KillGateways(gateways.clone())),
        Step::new(end_seconds, FaultAction::StartGateways(gateways)),
    ]
}

fn gateways_in(experiment: &Experiment, domain: Domain, index: usize) -> Vec<usize> {
    let topology = Topology::new(&experiment.fleet);
    (0..experiment.fleet.gateways).filter(|gateway| topology.is_in_domain(*gateway, domain, index)).collect()
}
