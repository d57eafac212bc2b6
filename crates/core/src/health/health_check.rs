//! Health checks, where only they bring load reports.

use crate::api::{Action, EndpointState, LoadReports, Micros};
use crate::decaying_rate::seconds;
use crate::endpoints::ranked_tree::Subset;
use crate::endpoints::server::LOAD_REPORT_HORIZON_S;
use crate::gateway::Gateway;

/// Shortest time between two health checks of a server.
const MIN_INTERVAL: Micros = 400_000;
/// Health checks for each attempt at most.
const MAX_CHECKS_PER_ATTEMPT: f64 = 0.4;
/// Least rate of attempts a second that is reckoned with.
const MIN_CHECK_RATE: f64 = 1e-3;

impl Gateway {
    /// Checks all ready servers, if it is time and their reports would not be outdated before the next check.
    pub(crate) fn check_health(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let interval = self.health_check_interval(now);
        let capabilities = &self.settings.capabilities;
        let is_useful = capabilities.health_checks
            && capabilities.load_reports == LoadReports::WithHealthChecks
            && seconds(interval) <= LOAD_REPORT_HORIZON_S;
        if !is_useful || now < self.health_checked_at + interval {
            return;
        }
        self.health_checked_at = now;
        let is_ready = |state: EndpointState| state == EndpointState::Ready;
        let ready = self.servers.iter().filter(|server| is_ready(server.endpoint.state));
        actions.extend(ready.map(|server| Action::CheckHealth { server: server.endpoint.server }));
    }

    /// The time between two checks of a server, by the rate of attempts.
    fn health_check_interval(&self, now: Micros) -> Micros {
        let ready = self.servers.count(Subset::Ready).max(1) as f64;
        let check_rate = (MAX_CHECKS_PER_ATTEMPT * self.load.attempt_rate(now)).max(MIN_CHECK_RATE);
        MIN_INTERVAL.max((ready / check_rate * 1e6) as Micros)
    }
}
