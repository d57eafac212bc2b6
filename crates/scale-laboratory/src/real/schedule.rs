//! The steps of a real run: when the experiment's faults, changes and restarts begin and end.

use crate::experiment::{Domain, Experiment, Fault};
use crate::topology::Topology;
use std::time::Duration;

/// What is done at one moment.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    /// Gateways are killed.
    KillGateways(Vec<usize>),
    /// Gateways start.
    StartGateways(Vec<usize>),
    /// The servers of a domain fall silent.
    StopServers {
        /// The kind of domain.
        domain: Domain,
        /// Which one.
        index: usize,
    },
    /// Discovery notices that the servers of a domain are silent.
    PublishStop {
        /// The kind of domain.
        domain: Domain,
        /// Which one.
        index: usize,
    },
    /// The servers of a domain respond again, and discovery publishes it.
    RestoreServers {
        /// The kind of domain.
        domain: Domain,
        /// Which one.
        index: usize,
    },
    /// Whether the counter is silent from now on.
    SilenceCounter(bool),
    /// Whether discovery is silent from now on.
    SilenceDiscovery(bool),
    /// The entries of this many servers change, from the first on.
    ChangeEndpoints(usize),
    /// A new configuration names the other counter.
    ChangeConfiguration,
}

/// An action and its time from the begin of the measured time.
#[derive(Clone, Debug)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What.
    pub action: FaultAction,
}

impl Step {
    /// An action at a number of seconds after the begin.
    fn new(seconds: f64, action: FaultAction) -> Step {
        Step { at: Duration::from_secs_f64(seconds), action }
    }
}

/// All steps of an experiment, in the order of their times.
pub fn steps(experiment: &Experiment) -> Vec<Step> {
    let faults = experiment.faults.iter().flat_map(|fault| fault_steps(experiment, fault));
    let mut steps: Vec<Step> =
        faults.chain(change_steps(experiment)).chain(restart_steps(experiment)).collect();
    steps.sort_by_key(|step| step.at);
    steps
}

/// The load's changes of an entry, spread evenly over the measured time.
fn change_steps(experiment: &Experiment) -> impl Iterator<Item = Step> + '_ {
    let count = experiment.load.changes;
    (0..count)
        .map(move |change| Step::new(spread(experiment, change, count), FaultAction::ChangeEndpoints(1)))
}

/// The load's restarts of gateways, spread evenly over the measured time.
fn restart_steps(experiment: &Experiment) -> impl Iterator<Item = Step> + '_ {
    let count = experiment.load.restarts;
    (0..count).flat_map(move |restart| {
        let at = spread(experiment, restart, count);
        let gateway = restart % experiment.fleet.gateways;
        [
            Step::new(at, FaultAction::KillGateways(vec![gateway])),
            Step::new(at, FaultAction::StartGateways(vec![gateway])),
        ]
    })
}

/// The time of one of several steps that are spread evenly, in seconds.
fn spread(experiment: &Experiment, index: usize, count: usize) -> f64 {
    experiment.load.duration_seconds * index as f64 / count as f64
}

/// The steps of a fault.
fn fault_steps(experiment: &Experiment, fault: &Fault) -> Vec<Step> {
    let begins = fault.at_seconds();
    let ends = begins + fault.lasts_seconds();
    match *fault {
        Fault::KillGateways { count, .. } => restart(begins, ends, (0..count).collect()),
        Fault::StopDomain { domain, index, include_gateways, .. } => {
            let noticed = begins + experiment.discovery.notice_milliseconds / 1e3;
            let mut steps = vec![
                Step::new(begins, FaultAction::StopServers { domain, index }),
                Step::new(noticed.min(ends), FaultAction::PublishStop { domain, index }),
                Step::new(ends, FaultAction::RestoreServers { domain, index }),
            ];
            if include_gateways {
                steps.extend(restart(begins, ends, gateways_in(experiment, domain, index)));
            }
            steps
        }
        Fault::StallCounter { .. } => vec![
            Step::new(begins, FaultAction::SilenceCounter(true)),
            Step::new(ends, FaultAction::SilenceCounter(false)),
        ],
        Fault::StallDiscovery { .. } => vec![
            Step::new(begins, FaultAction::SilenceDiscovery(true)),
            Step::new(ends, FaultAction::SilenceDiscovery(false)),
        ],
        Fault::ChangeEndpoints { count, .. } => vec![Step::new(begins, FaultAction::ChangeEndpoints(count))],
        Fault::ChangeConfiguration { .. } => vec![Step::new(begins, FaultAction::ChangeConfiguration)],
        // The check of the experiment refuses these in a real run.
        Fault::PartitionRegions { .. } | Fault::StallGateway { .. } => Vec::new(),
    }
}

/// Gateways are killed, and start again later.
fn restart(begins: f64, ends: f64, gateways: Vec<usize>) -> Vec<Step> {
    vec![
        Step::new(begins, FaultAction::KillGateways(gateways.clone())),
        Step::new(ends, FaultAction::StartGateways(gateways)),
    ]
}

/// The gateways of a domain.
fn gateways_in(experiment: &Experiment, domain: Domain, index: usize) -> Vec<usize> {
    let topology = Topology::new(&experiment.fleet);
    (0..experiment.fleet.gateways).filter(|gateway| topology.is_in(*gateway, domain, index)).collect()
}
