//! How a figure of a role follows from measured slopes.

use super::run_set::{RunSet, Slope};
use crate::metric::Metric;

/// What a figure takes of a slope's line.
#[derive(Clone, Copy, Debug)]
enum Evaluation {
    /// Its value at a size.
    At,
    /// Its growth over a size.
    Growth,
}

/// A slope and its contribution to a figure.
#[derive(Clone, Copy, Debug)]
pub struct Contribution {
    /// The slope.
    pub slope: Slope,
    /// What is taken of its line.
    evaluation: Evaluation,
    /// The size at which, or over which, the line is taken.
    size: f64,
    /// Multiplier on that.
    factor: f64,
}

/// A line's value at a size, times a factor.
pub const fn at(experiment: &'static str, metric: Metric, size: f64, factor: f64) -> Contribution {
    Contribution { slope: Slope { experiment, metric }, evaluation: Evaluation::At, size, factor }
}

/// A line's growth over a size, times a factor.
pub const fn growth(experiment: &'static str, metric: Metric, size: f64, factor: f64) -> Contribution {
    Contribution { slope: Slope { experiment, metric }, evaluation: Evaluation::Growth, size, factor }
}

impl Contribution {
    /// So many times this contribution.
    pub const fn times(self, factor: f64) -> Contribution {
        Contribution { factor: self.factor * factor, ..self }
    }

    /// The contribution; `None` if the slope was not measured.
    fn value(&self, runs: &RunSet) -> Option<f64> {
        let line = runs.line(self.slope)?;
        Some(match self.evaluation {
            Evaluation::At => line.at(self.size) * self.factor,
            Evaluation::Growth => line.slope * self.size * self.factor,
        })
    }

    /// The size, as a multiple of the largest that was measured.
    fn extrapolation(&self, runs: &RunSet) -> Option<f64> {
        Some(self.size / runs.largest_size(self.slope)?)
    }
}

/// A machine or process whose needs are computed.
#[derive(Clone, Copy, Debug)]
pub enum Role {
    /// A gateway.
    Gateway,
    /// A gateway's discovery agent.
    DiscoveryAgent,
    /// A machine that serves discovery and the counter to gateways.
    ControlMachine,
    /// A part of the shared counter.
    CounterShard,
    /// A server.
    Server,
}

impl Role {
    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Role::Gateway => "gateway",
            Role::DiscoveryAgent => "discovery agent",
            Role::ControlMachine => "control machine",
            Role::CounterShard => "counter shard",
            Role::Server => "server",
        }
    }
}

/// A figure of a role.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// The role.
    pub role: Role,
    /// The quantity.
    pub quantity: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// The budget; `None` if the operators name none.
    pub budget: Option<f64>,
    /// What it is the sum of.
    pub contributions: &'static [Contribution],
}

impl Need {
    /// A figure without a budget.
    pub const fn new(
        role: Role,
        quantity: &'static str,
        unit: &'static str,
        contributions: &'static [Contribution],
    ) -> Need {
        Need { role, quantity, unit, budget: None, contributions }
    }

    /// The same figure with a budget.
    pub const fn within(self, budget: f64) -> Need {
        Need { budget: Some(budget), ..self }
    }

    /// The figure; `None` if a slope was not measured.
    pub fn value(&self, runs: &RunSet) -> Option<f64> {
        self.contributions.iter().map(|contribution| contribution.value(runs)).sum()
    }

    /// How far its sizes lie beyond the measured ones, by the worst of them; 1 or less lies within.
    pub fn extrapolation(&self, runs: &RunSet) -> Option<f64> {
        let extrapolations = self.contributions.iter().map(|contribution| contribution.extrapolation(runs));
        extrapolations.collect::<Option<Vec<f64>>>()?.into_iter().reduce(f64::max)
    }
}
