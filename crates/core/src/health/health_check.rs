//! Health checks, sent only where they are the only source of load reports.

use crate::api::{Action, EndpointState, LoadReports, Micros};
use crate::decaying_rate::seconds;
use crate::endpoints::ranked_tree::Subset;
use crate::endpoints::server::LOAD_REPORT_TIME_CONSTANT_S;
use crate::gateway::Gateway;

/// Shortest time between two health checks of one server.
const MIN_CHECK_INTERVAL: Micros = 400_000;
/// Maximum number of health checks per attempt sent.
const MAX_CHECKS_PER_ATTEMPT: f64 = 0.4;
/// Lower bound of the rate of health checks, per second, which keeps the interval finite while idle.
const MIN_CHECK_RATE: f64 = 1e-3;

impl Gateway {
    /// Checks all ready servers if a round is due, unless the interval is so long that load reports would be
    /// outdated before the next round.
    pub(crate) fn check_health(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let interval = self.health_check_interval(now);
        let capabilities = &self.settings.capabilities;
        let are_checks_useful = capabilities.health_checks
            && capabilities.load_reports == LoadReports::WithHealthChecks
            && seconds(interval) <= LOAD_REPORT_TIME_CONSTANT_S;
        if !are_checks_useful || now < self.health_checked_at + interval {
            return;
        }
        self.health_checked_at = now;
        let is_ready = |state: EndpointState| state == EndpointState::Ready;
        let ready = self.servers.iter().filter(|server| is_ready(server.endpoint.state));
        actions.extend(ready.map(|server| Action::CheckHealth { server: server.endpoint.server }));
    }

    /// Returns the time between two checks of a server, which bounds the checks sent per attempt.
    fn health_check_interval(&self, now: Micros) -> Micros {
        let ready = self.servers.count(Subset::Ready).max(1) as f64;
        let check_rate = (MAX_CHECKS_PER_ATTEMPT * self.load.attempt_rate(now)).max(MIN_CHECK_RATE);
        MIN_CHECK_INTERVAL.max((ready / check_rate * 1e6) as Micros)
    }
}
