//! The table of servers and what is found in it without a walk: members in the order of their numbers and by
//! position, those that warm up, ejected ones by the end of their ejection, and those of a zone or a cell.
//! Each change of a record keeps it up to date in logarithmic time; nothing is decided here.

use crate::api::{Endpoint, EndpointState, Micros, ProtocolRules, ServerId};
use crate::endpoints::ranked_tree::{RankedTree, Slot, Subset};
use crate::endpoints::server::Server;
use std::cell::Cell;
use std::collections::BTreeSet;

/// Servers that are summed one by one, in their order, at most: sums kept by changes gather rounding errors.
const MAX_SUMMED: usize = 512;

/// Servers that share the idempotency keys they have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Site {
    /// Those of this zone.
    Zone(u32),
    /// Those of this cell.
    Cell(u32),
}

/// What the index holds of a record.
#[derive(Clone, Copy, PartialEq)]
struct IndexedFields {
    /// Its state in the list.
    state: EndpointState,
    /// Its zone.
    zone: u32,
    /// Its cell.
    cell: u32,
    /// When it started.
    started_at: Option<Micros>,
    /// The end of its ejection.
    ejected_until: Micros,
    /// No attempt of this gateway is in flight there.
    is_idle: bool,
    /// Its service time.
    service_time_us: f64,
}

impl IndexedFields {
    /// As if not in the table.
    const ABSENT: IndexedFields = IndexedFields {
        state: EndpointState::Gone,
        zone: 0,
        cell: 0,
        started_at: None,
        ejected_until: 0,
        is_idle: false,
        service_time_us: 0.0,
    };

    /// The fields of a record.
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

    /// Whether the server takes new requests.
    fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    /// Whether the server is in the list.
    fn is_listed(&self) -> bool {
        self.state != EndpointState::Gone
    }

    /// Whether the server is removed from the list and no attempt is in flight there.
    fn is_vacated(&self) -> bool {
        self.state == EndpointState::Gone && self.is_idle
    }
}

/// The servers, by number.
#[derive(Default)]
pub(crate) struct ServerIndex {
    /// The rules of slow start.
    rules: ProtocolRules,
    /// The records; a server keeps its slot.
    records: Vec<Server>,
    /// Slots without a server.
    free: Vec<Slot>,
    /// The slots in the order of the servers' numbers.
    order: RankedTree,
    /// Ejected servers, by the end of the ejection.
    ejected: BTreeSet<(Micros, Slot)>,
    /// Servers that warm up by the time of their start, so that the first is the next to be warm.
    warming_up: BTreeSet<(Option<Micros>, Slot)>,
    /// Ready servers by zone.
    zones: BTreeSet<(u32, Slot)>,
    /// Ready servers by cell.
    cells: BTreeSet<(u32, Slot)>,
    /// Removed servers with no attempt in flight.
    vacated: BTreeSet<Slot>,
    /// Servers in the list.
    listed: usize,
    /// Sum of the service times.
    service_time_sum_us: f64,
    /// Records examined since the start.
    visited: Cell<u64>,
}

impl ServerIndex {
    /// An empty table under these rules of slow start.
    pub fn new(rules: ProtocolRules) -> ServerIndex {
        ServerIndex { rules, ..ServerIndex::default() }
    }

    /// Records examined since the start. Steps of a search, logarithmic in the servers, are not counted.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Servers in the table, removed ones with attempts in flight included.
    pub fn len(&self) -> usize {
        self.records.len() - self.free.len()
    }

    /// Servers in the list.
    pub fn listed(&self) -> usize {
        self.listed
    }

    /// Members of a subset, as of the last [`Self::advance`].
    pub fn count(&self, subset: Subset) -> usize {
        self.order.count(subset)
    }

    /// The member at a position of a subset in the order of numbers.
    pub fn at(&self, subset: Subset, position: usize) -> Option<&Server> {
        self.order.at(subset, position).map(|slot| self.record(slot))
    }

    /// How many members of a subset come before a server.
    pub fn rank(&self, subset: Subset, id: ServerId) -> usize {
        self.order.rank(subset, id.0)
    }

    /// The record of a server.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.order.find(id.0).map(|slot| self.record(slot))
    }

    /// All records in the order of numbers; a walk.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.order.slots().into_iter().map(|slot| self.record(slot))
    }

    /// The ready servers of a site, each once, beginning at a fraction (0 to 1) of the table.
    pub fn at_site(&self, site: Site, from: f64) -> impl Iterator<Item = &Server> {
        let (set, key) = match site {
            Site::Zone(zone) => (&self.zones, zone),
            Site::Cell(cell) => (&self.cells, cell),
        };
        let start = (from * self.records.len() as f64) as Slot;
        let after = set.range((key, start)..=(key, Slot::MAX));
        after.chain(set.range((key, 0)..(key, start))).map(|(_, slot)| self.record(*slot))
    }

    /// How many ready servers are ejected at a time; walks the ejected ones.
    pub fn ejected_at(&self, now: Micros) -> usize {
        let ejected = self.ejected.range((now.saturating_add(1), 0)..);
        ejected.filter(|(_, slot)| self.record(*slot).endpoint.state == EndpointState::Ready).count()
    }

    /// Servers that warm up, ready or not, as of the last [`Self::advance`].
    pub fn warming_up(&self) -> impl Iterator<Item = &Server> {
        self.warming_up.iter().map(|(_, slot)| self.record(*slot))
    }

    /// Changes what is not indexed of each server that warms up.
    pub fn update_warming_up(&mut self, mut change: impl FnMut(&mut Server)) {
        self.visited.set(self.visited.get() + self.warming_up.len() as u64);
        for (_, slot) in &self.warming_up {
            change(&mut self.records[*slot as usize]);
        }
    }

    /// Sum of the ready servers' slow start factors.
    pub fn slow_start_factor_sum(&self, now: Micros) -> f64 {
        if !self.warming_up.is_empty() && self.len() <= MAX_SUMMED {
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

    /// Mean service time of all servers in the table.
    pub fn mean_service_time_us(&self) -> Option<f64> {
        let sum = match self.len() {
            0 => return None,
            1..=MAX_SUMMED => self.iter().map(|server| server.service_time_us).sum(),
            _ => self.service_time_sum_us,
        };
        Some(sum / self.len() as f64)
    }

    /// The servers that a complete list does not name; reserves memory for those that only it does.
    pub fn unlisted(&mut self, list: &[Endpoint]) -> Vec<ServerId> {
        let further = list.len().saturating_sub(self.len());
        self.records.reserve(further);
        self.order.reserve(further);
        let listed: BTreeSet<ServerId> = list.iter().map(|endpoint| endpoint.server).collect();
        self.iter().map(|server| server.endpoint.server).filter(|id| !listed.contains(id)).collect()
    }

    /// Lets time pass: ejections end, and servers become warm.
    pub fn advance(&mut self, now: Micros) {
        while let Some((until, slot)) = self.ejected.first().copied().filter(|(until, _)| *until <= now) {
            self.ejected.remove(&(until, slot));
            self.place_in_subsets(slot);
        }
        while let Some((started_at, slot)) = self.warming_up.first().copied() {
            if self.record(slot).slow_start_factor(now, &self.rules) < 1.0 {
                return;
            }
            self.warming_up.remove(&(started_at, slot));
            self.place_in_subsets(slot);
        }
    }

    /// Changes a server's record, but never its number.
    pub fn update<R>(
        &mut self,
        now: Micros,
        id: ServerId,
        change: impl FnOnce(&mut Server) -> R,
    ) -> Option<R> {
        let slot = self.order.find(id.0)?;
        let before = IndexedFields::of(self.record(slot));
        let result = change(&mut self.records[slot as usize]);
        self.reindex(now, slot, before);
        Some(result)
    }

    /// Adds a server, or replaces its record.
    pub fn insert(&mut self, now: Micros, server: Server) {
        let id = server.endpoint.server;
        if self.order.find(id.0).is_some() {
            self.update(now, id, |known| *known = server);
            return;
        }
        let slot = self.free.pop().unwrap_or(self.records.len() as Slot);
        if slot as usize == self.records.len() {
            self.records.push(server);
        } else {
            self.records[slot as usize] = server;
        }
        self.order.insert(slot, id.0);
        self.reindex(now, slot, IndexedFields::ABSENT);
    }

    /// Forgets the servers that are removed from the list and have no attempt in flight.
    pub fn remove_vacated(&mut self) {
        for slot in std::mem::take(&mut self.vacated) {
            let server = std::mem::take(&mut self.records[slot as usize]);
            self.visited.set(self.visited.get() + 1);
            self.ejected.remove(&(server.health.ejected_until(), slot));
            self.warming_up.remove(&(server.endpoint.started_at, slot));
            self.service_time_sum_us -= server.service_time_us;
            self.order.remove(server.endpoint.server.0);
            self.free.push(slot);
        }
    }

    /// The record in a slot.
    fn record(&self, slot: Slot) -> &Server {
        self.visited.set(self.visited.get() + 1);
        &self.records[slot as usize]
    }

    /// Brings the index up to date with a record that was as `before` said.
    fn reindex(&mut self, now: Micros, slot: Slot, before: IndexedFields) {
        let after = IndexedFields::of(&self.records[slot as usize]);
        if after == before {
            return;
        }
        self.service_time_sum_us += after.service_time_us - before.service_time_us;
        self.listed = self.listed + usize::from(after.is_listed()) - usize::from(before.is_listed());
        self.reindex_sites(slot, before, after);
        if after.is_vacated() {
            self.vacated.insert(slot);
        } else {
            self.vacated.remove(&slot);
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
        self.place_in_subsets(slot);
    }

    /// Brings the order by zone and by cell up to date.
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

    /// Brings the subsets that a server belongs to up to date.
    fn place_in_subsets(&mut self, slot: Slot) {
        let server = &self.records[slot as usize];
        let ready = server.endpoint.state == EndpointState::Ready;
        let trusted = ready && !self.ejected.contains(&(server.health.ejected_until(), slot));
        let available = trusted && !self.warming_up.contains(&(server.endpoint.started_at, slot));
        self.order.set_membership(slot, [ready, trusted, available]);
    }
}

/// Whether a server takes new requests.
fn is_ready(server: &Server) -> bool {
    server.endpoint.state == EndpointState::Ready
}
