//! Slow start budgets: the attempts that this gateway may send to each server that warms up.

use crate::api::Micros;
use crate::decaying_rate::seconds;
use crate::endpoints::ranked_tree::Subset;
use crate::gateway::{Gateway, TICK_INTERVAL};

/// Fraction of the overloading rate that a server may receive while it warms up. The rest is a margin for
/// requests of different sizes and for varying rates.
const SAFETY_FACTOR: f64 = 0.5;

impl Gateway {
    /// Refills the budget of each server that warms up, in proportion to this gateway's mean rate of attempts
    /// per server.
    pub(crate) fn refill_slow_start_budgets(&mut self, now: Micros) {
        let attempt_rate = self.load.attempt_rate(now);
        let ready = self.servers.count(Subset::Ready).max(1);
        let subset_size = self.subset_size(ready).max(1) as f64;
        // While many servers warm up at once, each warm one receives far more than the mean rate.
        let warm_servers = self.servers.slow_start_factor_sum(now).max(1.0);
        let receiving_servers = subset_size * warm_servers / ready as f64;
        let rules = &self.settings.rules;
        self.servers.update_warming_up(|server| {
            let factor = server.slow_start_factor(now, rules);
            let safe_rate =
                SAFETY_FACTOR * rules.overload_multiple * factor * attempt_rate / receiving_servers;
            let max_budget = (safe_rate * seconds(rules.overload_window)).max(1.0);
            let refilled = server.slow_start_budget + safe_rate * seconds(TICK_INTERVAL);
            server.slow_start_budget = refilled.clamp(-max_budget, max_budget);
        });
    }
}
