//! A customer's demand: its use at this gateway, and its demand at all of them in multiples of the quota, as
//! the usage reported in responses or other gateways tell it.

use crate::api::Micros;
use crate::decaying_rate::{decay, DecayingRate};
use crate::handover::text::handover_record;

/// Horizon of the rates of use, seconds: about the age of what usage reports tell.
pub(crate) const USAGE_HORIZON_S: f64 = 1.5;
/// Usage reports show a change of a gateway's share after about this.
pub(crate) const USAGE_REPORT_LAG: Micros = 2_000_000;
/// Demand not reported again decays over so many seconds: the end of a spike is not reported.
const DEMAND_HORIZON_S: f64 = 5.0;

/// The demand.
#[derive(Default)]
pub(crate) struct Demand {
    /// Units a second that arrive at this gateway.
    local_rate: DecayingRate,
    /// Demand at all gateways as last reported, in multiples of the quota.
    reported: f64,
    /// When that was.
    reported_at: Option<Micros>,
    /// It was reported to be far below the quota, by enough requests.
    is_low: bool,
}

handover_record!(Demand { local_rate, reported, reported_at } times { reported_at });

impl Demand {
    /// Demand at all gateways, in multiples of the quota, as far as it is known.
    pub fn at(&self, now: Micros) -> f64 {
        let fresh_until = self.reported_at.unwrap_or(0).saturating_add(USAGE_REPORT_LAG);
        self.reported * decay(now.saturating_sub(fresh_until), DEMAND_HORIZON_S)
    }

    /// Demand as last reported.
    pub fn reported(&self) -> f64 {
        self.reported
    }

    /// Whether none was ever reported.
    pub fn is_unknown(&self) -> bool {
        self.reported_at.is_none()
    }

    /// Whether the last report is so recent that usage reports do not show its effect yet.
    pub fn is_settling(&self, now: Micros) -> bool {
        now < self.reported_at.unwrap_or(0) + USAGE_REPORT_LAG
    }

    /// Weight of a new report against the last one, by the age of that.
    pub fn weight_of_report(&self, now: Micros) -> f64 {
        1.0 - decay(now.saturating_sub(self.reported_at.unwrap_or(0)), USAGE_HORIZON_S)
    }

    /// Records a report.
    pub fn record(&mut self, now: Micros, demand: f64) {
        self.reported = demand;
        self.reported_at = Some(now);
    }

    /// Whether demand is far below the quota.
    pub fn is_low(&self) -> bool {
        self.is_low
    }

    /// Records whether demand is far below the quota.
    pub fn set_low(&mut self, is_low: bool) {
        self.is_low = is_low;
    }

    /// Counts units that arrive at this gateway.
    pub fn add_local_use(&mut self, now: Micros, units: f64) {
        self.local_rate.add(now, units, USAGE_HORIZON_S);
    }

    /// Units a second that arrive at this gateway.
    pub fn local_rate(&self, now: Micros) -> f64 {
        self.local_rate.get(now, USAGE_HORIZON_S)
    }
}
