//! The table of servers with its indexes: ready, healthy and warmed-up servers by position in the order of
//! their ids, servers that warm up, ejected servers by the end of their ejection, and the ready servers of a
//! zone or a cell. Each change of a record updates the indexes in logarithmic time. Contains no decision
//! logic.

use crate::api::{Endpoint, EndpointState, Micros, NonZeroMicros, ProtocolRules, ServerId};
use crate::endpoints::ranked_tree::{RankedTree, Slot, Subset};
use crate::endpoints::server::Server;
use std::cell::Cell;
use std::collections::BTreeSet;

/// Maximum number of servers for which sums are recomputed from all records, in the order of ids;
/// incrementally updated sums accumulate rounding errors.
const MAX_EXACT_SUM_SERVERS: usize = 512;

/// A group of servers that share the idempotency keys they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Site {
    /// The servers of the zone with this number.
    Zone(u32),
    /// The servers of the cell with this number.
    Cell(u32),
}

/// The fields of a record that the indexes depend on.
#[derive(Clone, Copy, PartialEq)]
struct IndexedFields {
    /// State in the endpoint list.
    state: EndpointState,
    zone: u32,
    cell: u32,
    /// Start time by this process's clock.
    started_at: Option<NonZeroMicros>,
    /// End of the last ejection; in the past if the server is not ejected.
    ejected_until: Micros,
    /// Whether no attempt of this gateway is in flight at the server.
    is_idle: bool,
    service_time_us: f64,
}

impl IndexedFields {
    /// Fields that stand for a server that is not in the table.
    const ABSENT: IndexedFields = IndexedFields {
        state: EndpointState::Removed,
        zone: 0,
        cell: 0,
        started_at: None,
        ejected_until: 0,
        is_idle: false,
        service_time_us: 0.0,
    };

    /// Extracts the indexed fields of a record.
    fn of(server: &Server) -> IndexedFields {
        let Endpoint { state, zone, cell, started_at, .. } = server.endpoint;
        IndexedFields {
            state,
            zone,
            cell,
            started_at,
            ejected_until: server.health.ejected_until(),
            is_idle: server.attempts_in_flight == 0,
            service_time_us: server.service_time_us,
        }
    }

    /// Returns whether the server accepts new requests.
    fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Returns whether the server is in the endpoint list.
    fn is_listed(&self) -> bool {
        self.state != EndpointState::Removed
    }

    /// Returns whether the record is no longer needed: the server was removed from the list and no attempt is
    /// in flight there.
    fn is_purgeable(&self) -> bool {
        self.state == EndpointState::Removed && self.is_idle
    }
}

/// The records of all known servers, indexed by id and by the fields that selections depend on.
#[derive(Default)]
pub(crate) struct ServerIndex {
    /// Protocol rules, which determine the slow start factor.
    rules: ProtocolRules,
    /// Records by slot; a server keeps its slot while it is in the table.
    records: Vec<Server>,
    free_slots: Vec<Slot>,
    /// Slots in the order of the servers' ids, with membership of the subsets.
    slots_by_id: RankedTree,
    /// Ejected servers by the end of their ejection.
    ejected: BTreeSet<(Micros, Slot)>,
    /// Servers that warm up by start time, so that the first is the next to be warm.
    warming_up: BTreeSet<(Option<NonZeroMicros>, Slot)>,
    /// Ready servers by zone.
    zones: BTreeSet<(u32, Slot)>,
    /// Ready servers by cell.
    cells: BTreeSet<(u32, Slot)>,
    /// Servers removed from the list without an attempt in flight, which [`Self::purge_removed`] deletes.
    purgeable: BTreeSet<Slot>,
    /// Number of servers in the endpoint list.
    listed: usize,
    /// Sum of the service times of all records, updated incrementally.
    service_time_sum_us: f64,
    /// Number of records visited since the start.
    visited: Cell<u64>,
}

impl ServerIndex {
    /// Returns an empty table in which `rules` determine the slow start factor.
    pub fn new(rules: ProtocolRules) -> ServerIndex {
        ServerIndex { rules, ..ServerIndex::default() }
    }

    /// Returns the number of records visited since the start. The steps of a search, logarithmic in the
    /// number of servers, are not counted.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Returns the number of servers in the table, including removed ones with attempts in flight.
    pub fn len(&self) -> usize {
        self.records.len() - self.free_slots.len()
    }

    /// Returns the number of servers in the endpoint list.
    pub fn listed(&self) -> usize {
        self.listed
    }

    /// Returns the number of members of a subset as of the last [`Self::advance`].
    pub fn count(&self, subset: Subset) -> usize {
        self.slots_by_id.count(subset)
    }

    /// Returns the member at a position of a subset in the order of ids.
    pub fn at(&self, subset: Subset, position: usize) -> Option<&Server> {
        self.slots_by_id.at(subset, position).map(|slot| self.record(slot))
    }

    /// Returns the number of members of a subset whose id is below that of a server.
    pub fn rank(&self, subset: Subset, id: ServerId) -> usize {
        self.slots_by_id.rank(subset, id.0)
    }

    /// Returns the record of a server, if it is in the table.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.slots_by_id.find(id.0).map(|slot| self.record(slot))
    }

    /// Returns all records in the order of ids, in time linear in the size of the table.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.slots_by_id.slots().into_iter().map(|slot| self.record(slot))
    }

    /// Returns each ready server of a site once, starting at a fraction (0 to 1) of the table.
    pub fn at_site(&self, site: Site, from: f64) -> impl Iterator<Item = &Server> {
        let (set, key) = match site {
            Site::Zone(zone) => (&self.zones, zone),
            Site::Cell(cell) => (&self.cells, cell),
        };
        let start = (from * self.records.len() as f64) as Slot;
        let after = set.range((key, start)..=(key, Slot::MAX));
        after.chain(set.range((key, 0)..(key, start))).map(|(_, slot)| self.record(*slot))
    }

    /// Returns the number of ready servers that are ejected at a time, in time linear in the ejected servers.
    pub fn ejected_at(&self, now: Micros) -> usize {
        let ejected = self.ejected.range((now.saturating_add(1), 0)..);
        ejected.filter(|(_, slot)| self.record(*slot).endpoint.state == EndpointState::Ready).count()
    }

    /// Returns the servers that warm up, ready or not, as of the last [`Self::advance`].
    pub fn warming_up(&self) -> impl Iterator<Item = &Server> {
        self.warming_up.iter().map(|(_, slot)| self.record(*slot))
    }

    /// Applies a change to each server that warms up. The change must not touch indexed fields.
    pub fn update_warming_up(&mut self, mut change: impl FnMut(&mut Server)) {
        self.visited.set(self.visited.get() + self.warming_up.len() as u64);
        for (_, slot) in &self.warming_up {
            change(&mut self.records[*slot as usize]);
        }
    }

    /// Returns the sum of the slow start factors of all ready servers.
    pub fn slow_start_factor_sum(&self, now: Micros) -> f64 {
        if !self.warming_up.is_empty() && self.len() <= MAX_EXACT_SUM_SERVERS {
            return self
                .iter()
                .filter(|server| is_ready(server))
                .map(|server| server.slow_start_factor(now, &self.rules))
                .sum();
        }
        let mut sum = self.count(Subset::Ready) as f64;
        for server in self.warming_up().filter(|server| is_ready(server)) {
            sum += server.slow_start_factor(now, &self.rules) - 1.0;
        }
        sum
    }

    /// Returns the mean service time of all servers in the table, in microseconds; `None` if it is empty.
    pub fn mean_service_time_us(&self) -> Option<f64> {
        let sum = match self.len() {
            0 => return None,
            1..=MAX_EXACT_SUM_SERVERS => self.iter().map(|server| server.service_time_us).sum(),
            _ => self.service_time_sum_us,
        };
        Some(sum / self.len() as f64)
    }

    /// Returns the servers of the table that are missing in a complete list; reserves memory for the servers
    /// that only the list contains.
    pub fn unlisted(&mut self, list: &[Endpoint]) -> Vec<ServerId> {
        let additional = list.len().saturating_sub(self.len());
        self.records.reserve(additional);
        self.slots_by_id.reserve(additional);
        let listed: BTreeSet<ServerId> = list.iter().map(|endpoint| endpoint.server).collect();
        self.iter().map(|server| server.endpoint.server).filter(|id| !listed.contains(id)).collect()
    }

    /// Advances the indexes to `now`: ends the ejections and warm-ups that are over by then.
    pub fn advance(&mut self, now: Micros) {
        while let Some((until, slot)) = self.ejected.first().copied().filter(|(until, _)| *until <= now) {
            self.ejected.remove(&(until, slot));
            self.update_subsets(slot);
        }
        while let Some((started_at, slot)) = self.warming_up.first().copied() {
            if self.record(slot).slow_start_factor(now, &self.rules) < 1.0 {
                return;
            }
            self.warming_up.remove(&(started_at, slot));
            self.update_subsets(slot);
        }
    }

    /// Applies a change to a server's record and reindexes it; `None` if the server is not in the table. The
    /// change must not touch the server's id.
    pub fn update<R>(
        &mut self,
        now: Micros,
        id: ServerId,
        change: impl FnOnce(&mut Server) -> R,
    ) -> Option<R> {
        let slot = self.slots_by_id.find(id.0)?;
        let before = IndexedFields::of(self.record(slot));
        let result = change(&mut self.records[slot as usize]);
        self.reindex(now, slot, before);
        Some(result)
    }

    /// Inserts the record of a server, or replaces the existing one.
    pub fn insert(&mut self, now: Micros, server: Server) {
        let id = server.endpoint.server;
        if self.slots_by_id.find(id.0).is_some() {
            self.update(now, id, |known| *known = server);
            return;
        }
        let slot = self.free_slots.pop().unwrap_or(self.records.len() as Slot);
        if slot as usize == self.records.len() {
            self.records.push(server);
        } else {
            self.records[slot as usize] = server;
        }
        self.slots_by_id.insert(slot, id.0);
        self.reindex(now, slot, IndexedFields::ABSENT);
    }

    /// Deletes the records of servers that were removed from the list and have no attempt in flight.
    pub fn purge_removed(&mut self) {
        for slot in std::mem::take(&mut self.purgeable) {
            let server = std::mem::take(&mut self.records[slot as usize]);
            self.visited.set(self.visited.get() + 1);
            self.ejected.remove(&(server.health.ejected_until(), slot));
            self.warming_up.remove(&(server.endpoint.started_at, slot));
            self.service_time_sum_us -= server.service_time_us;
            self.slots_by_id.remove(server.endpoint.server.0);
            self.free_slots.push(slot);
        }
    }

    /// Returns the record in a slot and counts it as visited.
    fn record(&self, slot: Slot) -> &Server {
        self.visited.set(self.visited.get() + 1);
        &self.records[slot as usize]
    }

    /// Updates the indexes after a change of the record in a slot, whose indexed fields were `before`.
    fn reindex(&mut self, now: Micros, slot: Slot, before: IndexedFields) {
        let after = IndexedFields::of(&self.records[slot as usize]);
        if after == before {
            return;
        }
        self.service_time_sum_us += after.service_time_us - before.service_time_us;
        self.listed = self.listed + usize::from(after.is_listed()) - usize::from(before.is_listed());
        self.reindex_sites(slot, before, after);
        if after.is_purgeable() {
            self.purgeable.insert(slot);
        } else {
            self.purgeable.remove(&slot);
        }
        if after.ejected_until != before.ejected_until {
            self.ejected.remove(&(before.ejected_until, slot));
            if after.ejected_until > now {
                self.ejected.insert((after.ejected_until, slot));
            }
        }
        if after.started_at != before.started_at {
            self.warming_up.remove(&(before.started_at, slot));
            if self.record(slot).slow_start_factor(now, &self.rules) < 1.0 {
                self.warming_up.insert((after.started_at, slot));
            }
        }
        self.update_subsets(slot);
    }

    /// Updates the indexes by zone and by cell.
    fn reindex_sites(&mut self, slot: Slot, before: IndexedFields, after: IndexedFields) {
        if before.is_ready() {
            self.zones.remove(&(before.zone, slot));
            self.cells.remove(&(before.cell, slot));
        }
        if after.is_ready() {
            self.zones.insert((after.zone, slot));
            self.cells.insert((after.cell, slot));
        }
    }

    /// Updates which subsets the server in a slot belongs to.
    fn update_subsets(&mut self, slot: Slot) {
        let server = &self.records[slot as usize];
        let ready = server.endpoint.state == EndpointState::Ready;
        let healthy = ready && !self.ejected.contains(&(server.health.ejected_until(), slot));
        let warmed_up = healthy && !self.warming_up.contains(&(server.endpoint.started_at, slot));
        self.slots_by_id.set_membership(slot, [ready, healthy, warmed_up]);
    }
}

/// Returns whether a server accepts new requests.
fn is_ready(server: &Server) -> bool {
    server.endpoint.state == EndpointState::Ready
}
