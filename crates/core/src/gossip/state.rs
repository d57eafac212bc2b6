//! What this gateway knows of its gossip: the budget, the queue and when the last message of each peer was
//! received.

use super::queue::GossipQueue;
use crate::api::{CustomerId, Micros, NonZeroMicros, Settings};

/// A peer without a message for so long may be down or cut off.
const PEER_TIMEOUT: Micros = 1_500_000;
/// Time between two messages to a peer without other occasion: three lost in a row are rarer than a peer that
/// is down.
const HEARTBEAT_INTERVAL: Micros = 500_000;
/// Part of a gateway's intake of messages that its peers fill together.
const INTAKE_PART: f64 = 0.8;
/// Least intake of messages a second that is reckoned with.
const MIN_INTAKE_PER_S: f64 = 0.1;
/// Entries of messages that a request received pays for: under half a message.
const ENTRIES_PER_REQUEST: f64 = 6.0;
/// Entries that may be saved up while idle.
const MAX_SAVED_ENTRIES: f64 = 400.0;
/// Bits of an incarnation in a message.
const INCARNATION_BITS: u32 = 24;

/// The state of gossip.
#[derive(Default)]
pub(crate) struct Gossip {
    /// Distinguishes this start of the gateway from earlier ones: running totals begin anew with each.
    incarnation: u32,
    /// So few gateways that each publishes all use to every other; among more, only demand over the quota.
    full_mesh: bool,
    /// Time between two messages to each peer, so that all of them fill no one's intake.
    interval: Micros,
    /// Entries that may be queued now.
    budget: f64,
    /// Customers whose use is to be published.
    queued: GossipQueue,
    /// When the last message was sent.
    sent_at: Micros,
    /// When the last message of each gateway was received.
    heard_at: Vec<Option<NonZeroMicros>>,
}

impl Gossip {
    /// The state at the start of a process.
    pub fn new(settings: &Settings, seed: u64) -> Gossip {
        let intake_per_s = INTAKE_PART * settings.capabilities.gossip_messages_per_s;
        let peers = settings.gateway_count - 1;
        let interval = (peers as f64 * 1e6 / intake_per_s.max(MIN_INTAKE_PER_S)) as Micros;
        Gossip {
            incarnation: (seed ^ (seed >> 32)) as u32 & ((1 << INCARNATION_BITS) - 1),
            full_mesh: settings.capabilities.gossip && interval <= HEARTBEAT_INTERVAL,
            interval,
            budget: MAX_SAVED_ENTRIES / 2.0,
            heard_at: vec![None; settings.gateway_count],
            ..Gossip::default()
        }
    }

    /// Distinguishes this start of the gateway from earlier ones.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Whether every gateway publishes all use to every other.
    pub fn is_full_mesh(&self) -> bool {
        self.full_mesh
    }

    /// Whether a message of a gateway was received lately.
    pub fn is_peer_alive(&self, now: Micros, gateway: usize) -> bool {
        self.heard_at[gateway].is_some_and(|at| now < at.get().saturating_add(PEER_TIMEOUT))
    }

    /// Records a message from a gateway.
    pub fn record_received(&mut self, now: Micros, from: usize) {
        self.heard_at[from] = NonZeroMicros::new(now);
    }

    /// Adds what a request earns to the budget.
    pub fn earn(&mut self) {
        self.budget = (self.budget + ENTRIES_PER_REQUEST).min(MAX_SAVED_ENTRIES);
    }

    /// Pays for publishing a customer to so many gateways, if the budget allows it; in a full mesh that is
    /// free.
    pub fn pay_for(&mut self, gateway_count: usize) -> bool {
        let cost = if self.full_mesh { 0.0 } else { gateway_count as f64 };
        let is_affordable = self.budget >= cost;
        if is_affordable {
            self.budget -= cost;
        }
        is_affordable
    }

    /// Queues a customer for a gateway.
    pub fn queue(&mut self, gateway: usize, id: CustomerId) {
        self.queued.insert(gateway, id);
    }

    /// The gateways to which a message is due: those with something queued, or all in a full mesh whose
    /// heartbeat is due.
    pub fn due_gateways(&self, now: Micros, gateway_count: usize) -> Vec<usize> {
        let since_last = now.saturating_sub(self.sent_at);
        if self.full_mesh && since_last < self.interval {
            return Vec::new();
        }
        if self.full_mesh && since_last >= HEARTBEAT_INTERVAL {
            return (0..gateway_count).collect();
        }
        self.queued.gateways()
    }

    /// Records that a message is sent.
    pub fn record_send(&mut self, now: Micros) {
        self.sent_at = now;
    }

    /// Removes at most this many customers queued for a gateway.
    pub fn take_queued(&mut self, gateway: usize, max: usize) -> Vec<CustomerId> {
        self.queued.take(gateway, max)
    }
}
