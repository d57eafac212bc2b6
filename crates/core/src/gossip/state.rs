//! The state of gossip: the send budget, the queue and the time of the last message from each peer.

use super::queue::GossipQueue;
use crate::api::{CustomerId, Micros, NonZeroMicros, Settings};

/// Time without a message after which a peer is assumed to be down or unreachable.
const PEER_TIMEOUT: Micros = 1_500_000;
/// Time between two messages to a peer without queued entries. [`PEER_TIMEOUT`] covers three of them, since
/// three lost messages in a row are rarer than a peer that is down.
const HEARTBEAT_INTERVAL: Micros = 500_000;
/// Fraction of a gateway's receive rate that messages from all its peers together may use.
const RECEIVE_RATE_FRACTION: f64 = 0.8;
/// Lower bound of the receive rate in messages per second, which keeps the send interval finite.
const MIN_RECEIVE_RATE_PER_S: f64 = 0.1;
/// Number of entries that each received request deposits in the send budget: less than half a message.
const ENTRIES_PER_REQUEST: f64 = 6.0;
/// Maximum balance of the send budget, in entries.
const MAX_BALANCE: f64 = 400.0;
/// Number of bits of an incarnation in a message.
const INCARNATION_BITS: u32 = 24;

/// The state of a gateway's gossip with its peers.
#[derive(Default)]
pub(crate) struct Gossip {
    /// Distinguishes this start of the gateway from earlier ones; running totals restart from zero with each.
    incarnation: u32,
    /// Whether each gateway publishes all usage to every other. In larger fleets gateways publish only demand
    /// that exceeds the quota.
    full_mesh: bool,
    /// Time between two messages to each peer, in microseconds, at which all peers together stay within each
    /// other's receive rate.
    send_interval: Micros,
    /// Balance of the send budget: number of entries that may be queued now.
    balance: f64,
    queue: GossipQueue,
    /// Time at which the last message was sent.
    sent_at: Micros,
    /// Time of the last message from each gateway, by its index.
    received_at: Vec<Option<NonZeroMicros>>,
}

impl Gossip {
    /// Returns the state at the start of a process.
    pub fn new(settings: &Settings, seed: u64) -> Gossip {
        let receive_rate_per_s = RECEIVE_RATE_FRACTION * settings.capabilities.gossip_messages_per_s;
        let peers = settings.gateway_count - 1;
        let send_interval = (peers as f64 * 1e6 / receive_rate_per_s.max(MIN_RECEIVE_RATE_PER_S)) as Micros;
        Gossip {
            incarnation: (seed ^ (seed >> 32)) as u32 & ((1 << INCARNATION_BITS) - 1),
            full_mesh: settings.capabilities.gossip && send_interval <= HEARTBEAT_INTERVAL,
            send_interval,
            balance: MAX_BALANCE / 2.0,
            received_at: vec![None; settings.gateway_count],
            ..Gossip::default()
        }
    }

    /// Returns the number that distinguishes this start of the gateway from earlier ones.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Returns whether every gateway publishes all usage to every other.
    pub fn is_full_mesh(&self) -> bool {
        self.full_mesh
    }

    /// Returns whether a message from a gateway arrived within the peer timeout.
    pub fn is_peer_alive(&self, now: Micros, gateway: usize) -> bool {
        self.received_at[gateway].is_some_and(|at| now < at.get().saturating_add(PEER_TIMEOUT))
    }

    /// Records the arrival of a message from a gateway.
    pub fn record_received(&mut self, now: Micros, from: usize) {
        self.received_at[from] = NonZeroMicros::new(now);
    }

    /// Adds the entries that one received request contributes to the send budget.
    pub fn deposit_entries(&mut self) {
        self.balance = (self.balance + ENTRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Withdraws the entries for publishing a customer to a number of gateways from the send budget, if it
    /// covers them, and returns whether it does. In a full mesh publishing is free.
    pub fn try_withdraw_entries(&mut self, gateway_count: usize) -> bool {
        let cost = if self.full_mesh { 0.0 } else { gateway_count as f64 };
        let is_affordable = self.balance >= cost;
        if is_affordable {
            self.balance -= cost;
        }
        is_affordable
    }

    /// Queues a customer for a gateway.
    pub fn enqueue(&mut self, gateway: usize, id: CustomerId) {
        self.queue.insert(gateway, id);
    }

    /// Returns the gateways to which a message is due: those with queued customers, or all of them when the
    /// heartbeat of a full mesh is due.
    pub fn due_gateways(&self, now: Micros, gateway_count: usize) -> Vec<usize> {
        let since_last = now.saturating_sub(self.sent_at);
        if self.full_mesh && since_last < self.send_interval {
            return Vec::new();
        }
        if self.full_mesh && since_last >= HEARTBEAT_INTERVAL {
            return (0..gateway_count).collect();
        }
        self.queue.gateways()
    }

    /// Records the time of a message sent to any peer.
    pub fn record_send(&mut self, now: Micros) {
        self.sent_at = now;
    }

    /// Removes and returns at most `max` customers queued for a gateway.
    pub fn take_queued(&mut self, gateway: usize, max: usize) -> Vec<CustomerId> {
        self.queue.take(gateway, max)
    }
}
