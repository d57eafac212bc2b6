//! The table of servers and what is found in it without a walk: members in the order of their numbers and by
//! position, those still ramping, those ejected by the end of that, and those of a zone or a cell. It is kept
//! up to date by each change of a record, in logarithmic time; nothing is decided here. Used by the
//! policy modules.

use crate::api::*;
use crate::ranked_tree::{RankedTree, Slot, Subset};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

/// Servers that are summed one by one, in their order: sums kept by changes gather rounding errors. It takes
/// some microseconds, on changes of the list and while servers are cold.
const MAX_SUMMED: usize = 512;

/// Servers that share what they remember of keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Site {
    /// Those of this zone.
    Zone(u32),
    /// Those of this cell.
    Cell(u32),
}

/// A server as this gateway sees it.
#[derive(Default)]
pub(crate) struct Server {
    /// As it is listed; its start by this process's clock.
    pub endpoint: Endpoint,
    /// Its start by the fleet's clock, as it was told.
    pub reported_start: Option<Micros>,
    /// Attempts out there from here.
    pub attempts_in_flight: u32,
    /// Time per request held, µs.
    pub service_time_us: f64,
    /// Requests of others there, as last reported, and when that was.
    pub peers_in_flight: f64,
    pub load_reported_at: Micros,
    /// Share of outcomes that were good, and when the last one was.
    pub success_rate: f64,
    pub last_outcome_at: Micros,
    /// The end of its ejection, and how many there were in a row.
    pub ejected_until: Micros,
    pub consecutive_ejections: u32,
    /// By plan: until when it is left alone for having been full, and how many times in a row.
    pub rejection_backoff: BTreeMap<usize, (Micros, u32)>,
    /// Attempts that a cold one may be sent.
    pub slow_start_budget: f64,
    /// Its next turn, where servers take turns.
    pub virtual_time: f64,
}

/// What the index holds of a record.
#[derive(Clone, Copy, PartialEq)]
struct Indexed {
    state: EndpointState,
    zone: u32,
    cell: u32,
    started_at: Option<Micros>,
    ejected_until: Micros,
    idle: bool,
    service_time_us: f64,
}

impl Indexed {
    /// As if not in the table.
    const ABSENT: Indexed = Indexed {
        state: EndpointState::Gone,
        zone: 0,
        cell: 0,
        started_at: None,
        ejected_until: 0,
        idle: false,
        service_time_us: 0.0,
    };

    fn of(x: &Server) -> Indexed {
        let Endpoint { state, zone, cell, started_at, .. } = x.endpoint;
        Indexed {
            state,
            zone,
            cell,
            started_at,
            ejected_until: x.ejected_until,
            idle: x.attempts_in_flight == 0,
            service_time_us: x.service_time_us,
        }
    }

    fn is_ready(&self) -> bool {
        self.state == EndpointState::Ready
    }

    fn is_listed(&self) -> bool {
        self.state != EndpointState::Gone
    }

    /// Removed from the list, with no request out there.
    fn is_vacated(&self) -> bool {
        self.state == EndpointState::Gone && self.idle
    }
}

/// The servers, by number.
#[derive(Default)]
pub(crate) struct ServerIndex {
    rules: ProtocolRules,
    records: Vec<Server>,
    free: Vec<Slot>,
    order: RankedTree,
    /// By the end of the ejection.
    ejected: BTreeSet<(Micros, Slot)>,
    /// By the time of their start, so that the first is the next to be warm.
    warming_up: BTreeSet<(Option<Micros>, Slot)>,
    /// Ready ones by zone and by cell.
    zones: BTreeSet<(u32, Slot)>,
    cells: BTreeSet<(u32, Slot)>,
    vacated: BTreeSet<Slot>,
    listed: usize,
    service_time_sum_us: f64,
    visited: Cell<u64>,
}

impl ServerIndex {
    /// An empty table under these rules of the cold ramp.
    pub fn new(rules: ProtocolRules) -> ServerIndex {
        ServerIndex { rules, ..ServerIndex::default() }
    }

    /// Records examined since the start. Steps of a search, logarithmic in the servers, are not counted.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }

    /// Servers in the table, removed ones with requests out included.
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

    /// The ready servers of a site, each once, beginning at a part (0 to 1) of the table.
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
        let out = self.ejected.range((now.saturating_add(1), 0)..);
        out.filter(|(_, slot)| self.record(*slot).endpoint.state == EndpointState::Ready).count()
    }

    /// Servers still ramping, ready or not, as of the last [`Self::advance`].
    pub fn warming_up(&self) -> impl Iterator<Item = &Server> {
        self.warming_up.iter().map(|(_, slot)| self.record(*slot))
    }

    /// Changes what is not indexed of each server that is still ramping.
    pub fn update_warming_up(&mut self, mut change: impl FnMut(&mut Server)) {
        self.visited.set(self.visited.get() + self.warming_up.len() as u64);
        for (_, slot) in &self.warming_up {
            change(&mut self.records[*slot as usize]);
        }
    }

    /// Sum of the ready servers' shares of their capacity.
    pub fn slow_start_factor_sum(&self, now: Micros) -> f64 {
        if !self.warming_up.is_empty() && self.len() <= MAX_SUMMED {
            return self.iter().filter(|x| is_ready(x)).map(|x| x.slow_start_factor(now, &self.rules)).sum();
        }
        let mut sum = self.count(Subset::Ready) as f64;
        for x in self.warming_up().filter(|x| is_ready(x)) {
            sum += x.slow_start_factor(now, &self.rules) - 1.0;
        }
        sum
    }

    /// Mean time per request held, over all in the table.
    pub fn mean_service_time_us(&self) -> Option<f64> {
        let sum = match self.len() {
            0 => return None,
            1..=MAX_SUMMED => self.iter().map(|x| x.service_time_us).sum(),
            _ => self.service_time_sum_us,
        };
        Some(sum / self.len() as f64)
    }

    /// The servers that a complete list does not name; makes room for those that only it does.
    pub fn unlisted(&mut self, list: &[Endpoint]) -> Vec<ServerId> {
        let further = list.len().saturating_sub(self.len());
        self.records.reserve(further);
        self.order.reserve(further);
        let listed: BTreeSet<ServerId> = list.iter().map(|e| e.server).collect();
        self.iter().map(|x| x.endpoint.server).filter(|id| !listed.contains(id)).collect()
    }

    /// Lets time pass: ejections end, and servers get warm.
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
        let before = Indexed::of(self.record(slot));
        let result = change(&mut self.records[slot as usize]);
        self.reindex(now, slot, before);
        Some(result)
    }

    /// Adds a server, or puts another record in the place of the one it has.
    pub fn insert(&mut self, now: Micros, server: Server) {
        let id = server.endpoint.server;
        if self.order.find(id.0).is_some() {
            self.update(now, id, |x| *x = server);
            return;
        }
        let slot = self.free.pop().unwrap_or(self.records.len() as Slot);
        if slot as usize == self.records.len() {
            self.records.push(server);
        } else {
            self.records[slot as usize] = server;
        }
        self.order.insert(slot, id.0);
        self.reindex(now, slot, Indexed::ABSENT);
    }

    /// Forgets the servers that are removed from the list and have no request out.
    pub fn remove_vacated(&mut self) {
        for slot in std::mem::take(&mut self.vacated) {
            let server = std::mem::take(&mut self.records[slot as usize]);
            self.visited.set(self.visited.get() + 1);
            self.ejected.remove(&(server.ejected_until, slot));
            self.warming_up.remove(&(server.endpoint.started_at, slot));
            self.service_time_sum_us -= server.service_time_us;
            self.order.remove(server.endpoint.server.0);
            self.free.push(slot);
        }
    }

    fn record(&self, slot: Slot) -> &Server {
        self.visited.set(self.visited.get() + 1);
        &self.records[slot as usize]
    }

    /// Brings the index up to date with a record that was as `before` said.
    fn reindex(&mut self, now: Micros, slot: Slot, before: Indexed) {
        let after = Indexed::of(&self.records[slot as usize]);
        if after == before {
            return;
        }
        self.service_time_sum_us += after.service_time_us - before.service_time_us;
        self.listed = self.listed + usize::from(after.is_listed()) - usize::from(before.is_listed());
        if before.is_ready() {
            self.zones.remove(&(before.zone, slot));
            self.cells.remove(&(before.cell, slot));
        }
        if after.is_ready() {
            self.zones.insert((after.zone, slot));
            self.cells.insert((after.cell, slot));
        }
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

    fn place_in_subsets(&mut self, slot: Slot) {
        let x = &self.records[slot as usize];
        let ready = x.endpoint.state == EndpointState::Ready;
        let trusted = ready && !self.ejected.contains(&(x.ejected_until, slot));
        let available = trusted && !self.warming_up.contains(&(x.endpoint.started_at, slot));
        self.order.set_membership(slot, [ready, trusted, available]);
    }
}

fn is_ready(x: &Server) -> bool {
    x.endpoint.state == EndpointState::Ready
}
