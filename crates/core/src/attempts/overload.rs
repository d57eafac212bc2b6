//! Overload protection: attempts are shed by priority while the back end answers too slowly for them.

use crate::api::Micros;
use crate::endpoints::ranked_tree::Subset;
use crate::gateway::Gateway;

/// Limit on attempts in flight over what the goodput keeps in flight, so that it can grow.
const GOODPUT_HEADROOM: f64 = 1.15;
/// Requests that a server may have in flight from all gateways, however low the goodput.
const MIN_IN_FLIGHT_PER_SERVER: f64 = 5.0;
/// A limit below so many requests says little by itself.
const MIN_MEANINGFUL_LIMIT: f64 = 5.0;
/// Part of the limit open to requests without any weight; the highest weight may use all of it.
const MIN_LIMIT_PART: f64 = 0.5;

impl Gateway {
    /// Whether the back end takes no more requests of this weight from here: the attempts in flight exceed
    /// what the goodput would keep in flight if each took the target latency (Little's law). After a lull the
    /// least number for each server holds, less of it the longer answers take.
    pub(crate) fn is_overloaded(&self, now: Micros, weight: f64) -> bool {
        let limit = self.in_flight_limit(now);
        if limit < MIN_MEANINGFUL_LIMIT && self.load.is_fast() {
            return false;
        }
        let priority = weight / self.highest_weight.max(1e-9);
        let part = MIN_LIMIT_PART + (1.0 - MIN_LIMIT_PART) * priority;
        f64::from(self.load.in_flight()) >= part * limit + limit.sqrt()
    }

    /// How many attempts of this gateway should be in flight.
    fn in_flight_limit(&self, now: Micros) -> f64 {
        let ready = self.servers.count(Subset::Ready) as f64;
        let gateways = self.settings.gateway_count as f64;
        let min_limit = self.load.target_of_latency() * MIN_IN_FLIGHT_PER_SERVER * ready / gateways;
        min_limit.max(GOODPUT_HEADROOM * self.load.goodput(now)).max(1.0)
    }
}
