//! Clients on simulated time: random arrivals of requests, their tenants, and each tenant's quota usage.

use crate::experiment::{Fleet, Load};
use crate::settings::USAGE_REPORT_PERIOD;
use grebehook_core::Micros;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Hash multiplier that spreads the tenants' sets of gateways over the fleet (2^64 divided by the golden
/// ratio).
const TENANT_HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A request that has no response yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingRequest {
    /// Index of the tenant that sent the request.
    pub tenant: usize,
    /// Time at which the client sent the request, in microseconds.
    pub sent_at: Micros,
    /// Index of the gateway that accepted the request.
    pub gateway: usize,
    /// Whether the gateway has sent an attempt.
    pub attempted: bool,
}

/// Gateways that serve a tenant. Their indices are consecutive and wrap around at the end of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct GatewaySet {
    /// Index of the first gateway.
    pub first: usize,
    /// Number of gateways.
    pub count: usize,
}

/// Units that a tenant used at the servers of one region.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Index of the report period that `units` belongs to.
    period: u64,
    /// Units used in that period.
    units: f64,
    /// Units used in the period before.
    previous_units: f64,
}

impl Usage {
    /// Starts the report period of `now`, unless it is the current one.
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

/// Clients of all tenants.
pub struct Clients {
    tenants: usize,
    gateways: usize,
    gateways_per_tenant: usize,
    /// Rate of requests of all clients together.
    requests_per_second: f64,
    /// Number of hot tenants, which have the lowest indices.
    hot_tenants: usize,
    /// Share of the requests that hot tenants send.
    hot_share: f64,
    /// Quota of each tenant, in units per second.
    quota_rate: f64,
    /// Usage by tenant and by region of the server. A server reports only the usage of regions that it can
    /// reach.
    usage: Vec<Vec<Usage>>,
    /// Units served to hot tenants since the last call of `take_hot_units`.
    hot_units: f64,
}

impl Clients {
    /// Returns clients that have not sent any request.
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

    /// Returns the time to the next request, exponentially distributed, in microseconds; `None` if clients
    /// send no requests.
    pub fn next_arrival(&self, rng: &mut ChaCha8Rng) -> Option<Micros> {
        if self.requests_per_second <= 0.0 {
            return None;
        }
        let draw: f64 = rng.random();
        let gap = -(1.0 - draw).ln() / self.requests_per_second * 1e6;
        Some(gap as Micros + 1)
    }

    /// Returns a random tenant for the next request.
    pub fn sample_tenant(&self, rng: &mut ChaCha8Rng) -> usize {
        let hot = self.hot_tenants > 0 && rng.random::<f64>() < self.hot_share;
        rng.random_range(0..if hot { self.hot_tenants } else { self.tenants })
    }

    /// Returns the gateways that serve a tenant.
    pub fn gateway_set(&self, tenant: usize) -> GatewaySet {
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

    /// Returns a tenant's usage in the last complete report period, as a share of its quota, summed over the
    /// regions that the reporting server can reach; `None` without a quota.
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

    /// Returns the units served to hot tenants since the last call.
    pub fn take_hot_units(&mut self) -> f64 {
        std::mem::take(&mut self.hot_units)
    }

    /// Returns whether a tenant belongs to the hot tenants.
    pub fn is_hot(&self, tenant: usize) -> bool {
        tenant < self.hot_tenants
    }

    /// Returns the number of hot tenants.
    pub fn hot_tenants(&self) -> usize {
        self.hot_tenants
    }
}
