//! Clients on simulated time: requests at random times, tenants, and how much of its quota each has used.

use crate::experiment::{Fleet, Load};
use crate::settings::USAGE_REPORT_PERIOD;
use grebehook_core::Micros;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Multiplier that spreads tenants' sets of gateways over the fleet (2^64 divided by the golden ratio).
const TENANT_HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A request that waits for its response.
#[derive(Clone, Copy, Debug)]
pub struct PendingRequest {
    /// Whose it is.
    pub tenant: usize,
    /// When it was sent.
    pub sent_at: Micros,
    /// The gateway that has it.
    pub gateway: usize,
    /// Whether an attempt was sent for it.
    pub attempted: bool,
}

/// The gateways that serve a tenant; they follow one another.
#[derive(Clone, Copy, Debug)]
pub struct GatewaySet {
    /// The first of them.
    pub first: usize,
    /// How many they are.
    pub count: usize,
}

/// Units that a tenant used at the servers of one region.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// The period that `units` belong to.
    period: u64,
    /// Units used in it.
    units: f64,
    /// Units used in the period before.
    previous_units: f64,
}

impl Usage {
    /// Begins the current period, if it has not begun.
    fn roll_over(&mut self, now: Micros) {
        let period = now / USAGE_REPORT_PERIOD;
        if self.period == period {
            return;
        }
        self.previous_units = if self.period + 1 == period { self.units } else { 0.0 };
        self.units = 0.0;
        self.period = period;
    }
}

/// The clients of all tenants.
pub struct Clients {
    /// How many tenants there are.
    tenants: usize,
    /// How many gateways there are.
    gateways: usize,
    /// How many gateways serve a tenant.
    gateways_per_tenant: usize,
    /// Requests a second of all clients together.
    requests_per_second: f64,
    /// How many tenants are hot.
    hot_tenants: usize,
    /// Share of the requests that hot tenants send.
    hot_share: f64,
    /// Quota of a tenant, units a second.
    quota_rate: f64,
    /// Usage by tenant and by the region of the server: a server reports only the usage of regions it can reach.
    usage: Vec<Vec<Usage>>,
    /// Units served to hot tenants since they were last taken.
    hot_units: f64,
}

impl Clients {
    /// Clients that have sent nothing yet.
    pub fn new(fleet: &Fleet, load: &Load) -> Clients {
        Clients {
            tenants: fleet.tenants,
            gateways: fleet.gateways,
            gateways_per_tenant: fleet.gateways_per_tenant.min(fleet.gateways),
            requests_per_second: load.requests_per_second,
            hot_tenants: load.hot_tenants.min(fleet.tenants),
            hot_share: load.hot_share,
            quota_rate: load.quota_rate,
            usage: vec![vec![Usage::default(); fleet.regions]; fleet.tenants],
            hot_units: 0.0,
        }
    }

    /// Time to the next request, exponentially distributed; `None` if clients send nothing.
    pub fn next_arrival(&self, rng: &mut ChaCha8Rng) -> Option<Micros> {
        if self.requests_per_second <= 0.0 {
            return None;
        }
        let draw: f64 = rng.random();
        let gap = -(1.0 - draw).ln() / self.requests_per_second * 1e6;
        Some(gap as Micros + 1)
    }

    /// The tenant of the next request.
    pub fn draw_tenant(&self, rng: &mut ChaCha8Rng) -> usize {
        let hot = self.hot_tenants > 0 && rng.random::<f64>() < self.hot_share;
        rng.random_range(0..if hot { self.hot_tenants } else { self.tenants })
    }

    /// The gateways that serve a tenant.
    pub fn gateways_of(&self, tenant: usize) -> GatewaySet {
        let hash = (tenant as u64).wrapping_mul(TENANT_HASH_MULTIPLIER) >> 32;
        GatewaySet { first: hash as usize % self.gateways, count: self.gateways_per_tenant }
    }

    /// Records a unit that a server of a region has served.
    pub fn record_usage(&mut self, now: Micros, tenant: usize, region: usize) {
        let usage = &mut self.usage[tenant][region];
        usage.roll_over(now);
        usage.units += 1.0;
        if tenant < self.hot_tenants {
            self.hot_units += 1.0;
        }
    }

    /// A tenant's usage in the last complete report period, as a share of its quota, summed over the regions that the
    /// reporting server reaches; `None` without a quota.
    pub fn reported_usage(
        &mut self,
        now: Micros,
        tenant: usize,
        reaches: impl Fn(usize) -> bool,
    ) -> Option<f64> {
        let quota = self.quota_rate * USAGE_REPORT_PERIOD as f64 / 1e6;
        let regions = self.usage[tenant].iter_mut().enumerate().filter(|(region, _)| reaches(*region));
        let used: f64 = regions
            .map(|(_, usage)| {
                usage.roll_over(now);
                usage.previous_units
            })
            .sum();
        (quota > 0.0).then(|| used / quota)
    }

    /// Units served to the hot tenants since the last call.
    pub fn take_hot_units(&mut self) -> f64 {
        std::mem::take(&mut self.hot_units)
    }

    /// Whether a tenant is one of the hot ones.
    pub fn is_hot(&self, tenant: usize) -> bool {
        tenant < self.hot_tenants
    }

    /// How many tenants are hot.
    pub fn hot_tenants(&self) -> usize {
        self.hot_tenants
    }
}
