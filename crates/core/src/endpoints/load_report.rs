//! Load reports of servers, from which a gateway derives the requests of other gateways in flight there.

use crate::api::{LoadReport, Micros, ServerId};
use crate::gateway::Gateway;

impl Gateway {
    /// Updates a server's record from its load report, if the answer carried one.
    pub(crate) fn apply_load_report(&mut self, now: Micros, id: ServerId, report: Option<LoadReport>) {
        let Some(report) = report else { return };
        let gateway_count = self.settings.gateway_count as f64;
        let gateways_per_server = self.gateways_per_server();
        self.servers.update(now, id, |server| {
            let attempts_in_flight = f64::from(server.attempts_in_flight);
            let in_flight = report.in_flight.map(|in_flight| in_flight - attempts_in_flight);
            let queued = report.queued.map(|queued| queued - queued / gateway_count);
            let Some(peer_requests) = in_flight.or(queued).filter(|count| count.is_finite()) else { return };
            // All gateways that send to this server act on the same report, so each counts only its share of
            // the peers' requests and compensates only its share of a difference.
            server.peers_in_flight = peer_requests.max(0.0) / (gateways_per_server - 1.0).max(1.0);
            server.load_reported_at = now;
        });
    }
}
