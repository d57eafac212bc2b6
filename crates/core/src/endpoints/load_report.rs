//! Load reports of servers: how many requests of other gateways they have in flight.

use crate::api::{LoadReport, Micros, ServerId};
use crate::gateway::Gateway;

impl Gateway {
    /// Applies a server's load report, if there is one.
    pub(crate) fn apply_load_report(&mut self, now: Micros, id: ServerId, report: Option<LoadReport>) {
        let Some(report) = report else { return };
        let gateways = self.settings.gateway_count as f64;
        let senders = self.gateways_per_server();
        self.servers.update(now, id, |server| {
            let own = f64::from(server.attempts_in_flight);
            let in_flight = report.in_flight.map(|in_flight| in_flight - own);
            let queued = report.queued.map(|queued| queued - queued / gateways);
            let Some(others) = in_flight.or(queued).filter(|others| others.is_finite()) else { return };
            // All gateways that send there act on the same report: each makes up for its part of a difference
            // alone.
            server.peers_in_flight = others.max(0.0) / (senders - 1.0).max(1.0);
            server.load_reported_at = now;
        });
    }
}
