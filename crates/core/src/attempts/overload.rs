//! Overload protection: sheds attempts by priority while the back end answers too slowly.

use crate::api::Micros;
use crate::endpoints::ranked_tree::Subset;
use crate::gateway::Gateway;

/// Ratio of the limit on attempts in flight to those that the goodput keeps in flight at the target latency;
/// above 1, so that the goodput can grow.
const GOODPUT_HEADROOM: f64 = 1.15;
/// Number of requests from all gateways that a server may have in flight however low the goodput is.
const MIN_IN_FLIGHT_PER_SERVER: f64 = 5.0;
/// Limit below which the number of attempts in flight alone does not indicate overload: the latency must have
/// reached its target as well.
const MIN_MEANINGFUL_LIMIT: f64 = 5.0;
/// Fraction of the limit available to requests of weight 0; requests of the highest weight may use all of it.
const MIN_LIMIT_FRACTION: f64 = 0.5;

impl Gateway {
    /// Returns whether the back end is overloaded for requests of this weight from this gateway: the attempts
    /// in flight exceed those that the goodput would keep in flight if each took the target latency (Little's
    /// law). After a period of low traffic the minimum per server applies, reduced while latency is above its
    /// target.
    pub(crate) fn is_overloaded(&self, now: Micros, weight: f64) -> bool {
        let limit = self.in_flight_limit(now);
        if limit < MIN_MEANINGFUL_LIMIT && self.load.is_below_target_latency() {
            return false;
        }
        let priority = weight / self.highest_weight.max(1e-9);
        let fraction = MIN_LIMIT_FRACTION + (1.0 - MIN_LIMIT_FRACTION) * priority;
        f64::from(self.load.in_flight()) >= fraction * limit + limit.sqrt()
    }

    /// Returns the limit on this gateway's attempts in flight.
    fn in_flight_limit(&self, now: Micros) -> f64 {
        let ready = self.servers.count(Subset::Ready) as f64;
        let gateway_count = self.settings.gateway_count as f64;
        let min_limit = self.load.target_latency_ratio() * MIN_IN_FLIGHT_PER_SERVER * ready / gateway_count;
        min_limit.max(GOODPUT_HEADROOM * self.load.in_flight_at_target_latency(now)).max(1.0)
    }
}
