//! Resource needs of a role, extrapolated from measured slopes.

use super::run_set::{RunSet, Slope};
use crate::metric::Metric;

/// Way in which a slope's line is evaluated.
#[derive(Clone, Copy, Debug)]
enum Evaluation {
    /// Value of the line at a size.
    Value,
    /// Growth of the line over a size, without its intercept.
    Growth,
}

/// Contribution of one slope to a need.
#[derive(Clone, Copy, Debug)]
pub struct Contribution {
    /// Slope whose line is evaluated.
    pub slope: Slope,
    /// Way in which the line is evaluated.
    evaluation: Evaluation,
    /// Size at which, or over which, the line is evaluated.
    size: f64,
    /// Multiplier of the result.
    factor: f64,
}

/// Creates a contribution of a line's value at a size, times a factor.
pub const fn value_at(experiment: &'static str, metric: Metric, size: f64, factor: f64) -> Contribution {
    Contribution { slope: Slope { experiment, metric }, evaluation: Evaluation::Value, size, factor }
}

/// Creates a contribution of a line's growth over a size, times a factor.
pub const fn growth_over(experiment: &'static str, metric: Metric, size: f64, factor: f64) -> Contribution {
    Contribution { slope: Slope { experiment, metric }, evaluation: Evaluation::Growth, size, factor }
}

impl Contribution {
    /// Returns this contribution multiplied by a factor.
    pub const fn scaled(self, factor: f64) -> Contribution {
        Contribution { factor: self.factor * factor, ..self }
    }

    /// Returns the value of the contribution, or `None` if the slope was not measured.
    fn value(&self, runs: &RunSet) -> Option<f64> {
        let line = runs.line(self.slope)?;
        Some(match self.evaluation {
            Evaluation::Value => line.at(self.size) * self.factor,
            Evaluation::Growth => line.slope * self.size * self.factor,
        })
    }

    /// Returns the ratio of the size to the largest measured size, or `None` if the slope was not measured.
    fn extrapolation(&self, runs: &RunSet) -> Option<f64> {
        Some(self.size / runs.largest_size(self.slope)?)
    }
}

/// Machine or process whose needs are computed.
#[derive(Clone, Copy, Debug)]
pub enum Role {
    Gateway,
    /// Discovery agent of a gateway.
    DiscoveryAgent,
    /// Machine that serves discovery and the shared counter to gateways.
    ControlMachine,
    /// Shard of the shared counter.
    CounterShard,
    /// Server of the back end.
    Server,
}

impl Role {
    /// Returns the role's name in tables.
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

/// Amount of a resource that a role needs at the target size.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Role that has the need.
    pub role: Role,
    /// Description of the quantity.
    pub quantity: &'static str,
    /// Unit of the quantity and its budget.
    pub unit: &'static str,
    /// Budget; `None` if the operators specify none.
    pub budget: Option<f64>,
    /// Contributions whose sum is the need.
    pub contributions: &'static [Contribution],
}

impl Need {
    /// Creates a need without a budget.
    pub const fn new(
        role: Role,
        quantity: &'static str,
        unit: &'static str,
        contributions: &'static [Contribution],
    ) -> Need {
        Need { role, quantity, unit, budget: None, contributions }
    }

    /// Sets the budget, in the unit of the need.
    pub const fn with_budget(self, budget: f64) -> Need {
        Need { budget: Some(budget), ..self }
    }

    /// Returns the amount needed, or `None` if a slope was not measured.
    pub fn value(&self, runs: &RunSet) -> Option<f64> {
        self.contributions.iter().map(|contribution| contribution.value(runs)).sum()
    }

    /// Returns the largest ratio of a contribution's size to its largest measured size, or `None` if a slope
    /// was not measured. Ratios up to 1 lie within the measured sizes.
    pub fn extrapolation(&self, runs: &RunSet) -> Option<f64> {
        let extrapolations = self.contributions.iter().map(|contribution| contribution.extrapolation(runs));
        extrapolations.collect::<Option<Vec<f64>>>()?.into_iter().reduce(f64::max)
    }
}
