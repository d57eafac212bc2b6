//! A customer's demand: the units that arrive at this gateway, and the demand at all gateways in multiples of
//! the quota, as known from usage reports in responses or from peers.

use crate::api::Micros;
use crate::decaying_rate::{decay_factor, DecayingRate};
use crate::handover::text::handover_record;

/// Time constant of usage rates, in seconds: about the age of the usage that a report states.
pub(crate) const USAGE_TIME_CONSTANT_S: f64 = 1.5;
/// Approximate time until usage reports show a change of a gateway's share.
pub(crate) const USAGE_REPORT_LAG: Micros = 2_000_000;
/// Time constant, in seconds, with which demand decays while it is not reported again: the end of a spike is
/// not reported.
const DEMAND_TIME_CONSTANT_S: f64 = 5.0;

/// The demand of one customer.
#[derive(Default)]
pub(crate) struct Demand {
    /// Units per second that arrive at this gateway.
    local_rate: DecayingRate,
    /// Last reported demand at all gateways, in multiples of the quota.
    reported: f64,
    reported_at: Option<Micros>,
    /// Whether the demand is far below the quota, as shown by a report over enough requests.
    is_low: bool,
}

handover_record!(Demand { local_rate, reported, reported_at } times { reported_at });

impl Demand {
    /// Returns the demand at all gateways, in multiples of the quota: the last reported one, decayed by its
    /// age.
    pub fn at(&self, now: Micros) -> f64 {
        let fresh_until = self.reported_at.unwrap_or(0).saturating_add(USAGE_REPORT_LAG);
        self.reported * decay_factor(now.saturating_sub(fresh_until), DEMAND_TIME_CONSTANT_S)
    }

    /// Returns the demand as last reported, without decay.
    pub fn reported(&self) -> f64 {
        self.reported
    }

    /// Returns whether no demand has been reported yet.
    pub fn is_unknown(&self) -> bool {
        self.reported_at.is_none()
    }

    /// Returns whether the last report is so recent that new reports do not show the effect of it yet.
    pub fn is_within_report_lag(&self, now: Micros) -> bool {
        now < self.reported_at.unwrap_or(0) + USAGE_REPORT_LAG
    }

    /// Returns the weight of a new report against the last one, which grows with the age of the last one.
    pub fn weight_of_report(&self, now: Micros) -> f64 {
        1.0 - decay_factor(now.saturating_sub(self.reported_at.unwrap_or(0)), USAGE_TIME_CONSTANT_S)
    }

    /// Records a reported demand, in multiples of the quota.
    pub fn record(&mut self, now: Micros, demand: f64) {
        self.reported = demand;
        self.reported_at = Some(now);
    }

    /// Returns whether the demand is far below the quota.
    pub fn is_low(&self) -> bool {
        self.is_low
    }

    /// Records whether the demand is far below the quota.
    pub fn set_low(&mut self, is_low: bool) {
        self.is_low = is_low;
    }

    /// Adds units that arrive at this gateway.
    pub fn add_local_usage(&mut self, now: Micros, units: f64) {
        self.local_rate.add(now, units, USAGE_TIME_CONSTANT_S);
    }

    /// Returns the units per second that arrive at this gateway.
    pub fn local_rate(&self, now: Micros) -> f64 {
        self.local_rate.get(now, USAGE_TIME_CONSTANT_S)
    }
}
