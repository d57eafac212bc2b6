//! Which server a request's next attempt goes to. One of many gateways sends to a subset of the servers, its
//! own: spread over all, its few requests would each need a new connection, tell little of any server, and
//! pile up by chance. The subset is a range of the ready servers in the order of their numbers, on a ring.

use crate::api::*;
use crate::gateway::Gateway;
use crate::ranked_tree::Subset;
use crate::request::{Attempt, Request};
use crate::ring::Ring;
use crate::server_index::{Server, Site};
use crate::servers::enforced_ejections;

/// Gateways that send to a server, where there are so many, so that they even out.
const GATEWAYS_PER_SERVER: usize = 16;
/// Its multiples lie evenly between 0 and 1, however many there are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// Servers of a subset at least, so that there is a choice.
const MIN_SUBSET_SIZE: usize = 3;
/// A server in another zone must look this much better.
const CROSS_ZONE_FACTOR: f64 = 1.1;
/// A server that just turned this or any request away comes last.
const LAST_RESORT_FACTOR: f64 = 10.0;

/// Servers compared for one attempt. Of a larger subset so many are drawn: the best of them is among the best
/// twenty-fifth of all in 199 of 200 draws (1 - 0.96^128), and comparing them takes some microseconds.
const MAX_CANDIDATES: usize = 128;
/// Servers looked at in place of ones that may not be used, so that no outage makes a request walk the table.
const MAX_SUBSTITUTES: usize = 512;

/// A server for an attempt.
pub(crate) struct Choice {
    pub server: ServerId,
    /// How long it should take to answer, µs.
    pub wait: f64,
}

/// The comparison of servers for one attempt.
struct Selection<'a> {
    gateway: &'a Gateway,
    request: &'a Request,
    now: Micros,
    /// Whether it is a further attempt.
    again: bool,
    ring: Ring,
    /// Whether ejected servers are enforced_ejections.
    trust: bool,
    /// Where the attempt has to go, if an earlier one may have run.
    site: Option<Site>,
    best: Option<(f64, Choice)>,
    /// Candidates so far that are no last resort, and how many are enough.
    usable: usize,
    wanted: usize,
}

impl Gateway {
    /// The best server for a request's next attempt, if any may be used.
    pub(crate) fn select_server(&mut self, now: Micros, id: RequestId, again: bool) -> Option<Choice> {
        let ready = self.servers.count(Subset::Ready);
        let size = self.subset_size(ready);
        let drawn = (size > MAX_CANDIDATES).then(|| self.server_sampler.sample(size, MAX_CANDIDATES));
        let request = self.requests.get(&id)?;
        let mut selection = Selection {
            gateway: self,
            request,
            now,
            again,
            ring: Ring { start: self.subset_start(size, ready), size, ready },
            trust: enforced_ejections(ready - self.servers.count(Subset::Trusted), ready) > 0,
            site: self.required_site(request),
            best: None,
            usable: 0,
            wanted: size.min(MAX_CANDIDATES),
        };
        match selection.site.filter(|_| ready > MAX_SUBSTITUTES) {
            Some(site) => selection.compare_site(site),
            None => {
                selection.compare_subset(drawn);
                selection.compare_substitutes();
            }
        }
        selection.best.map(|(_, choice)| choice)
    }

    /// How many of so many servers one gateway sends to.
    pub(crate) fn subset_size(&self, servers: usize) -> usize {
        (servers * GATEWAYS_PER_SERVER)
            .div_ceil(self.settings.gateway_count)
            .max(MIN_SUBSET_SIZE)
            .min(servers)
    }

    /// How many gateways have a server in their subset, on average.
    pub(crate) fn senders_per_server(&self) -> f64 {
        let ready = self.servers.count(Subset::Ready).max(1);
        self.settings.gateway_count as f64 * self.subset_size(ready) as f64 / ready as f64
    }

    /// Subsets begin at places spread evenly over the list, those of neighbours far apart.
    fn subset_start(&self, size: usize, ready: usize) -> usize {
        if size == ready {
            return 0;
        }
        ((self.settings.gateway_index as f64 * GOLDEN_RATIO).fract() * ready as f64) as usize
    }

    /// Where repeats of a request that may have run are dropped, if not everywhere.
    fn required_site(&self, request: &Request) -> Option<Site> {
        let ran = request.attempts.iter().find(|a| a.may_have_run || a.in_flight)?;
        let home = &self.servers.get(ran.server)?.endpoint;
        match self.settings.classes[request.class].idempotency {
            Idempotency::IdempotencyKey { scope: group, .. } => site(group, home),
            _ => None,
        }
    }

    /// Whether a server besides this one could take a further attempt of a request that may have run there.
    pub(crate) fn has_alternative(&self, now: Micros, server: ServerId, effect: Idempotency) -> bool {
        let Some(home) = self.servers.get(server) else { return false };
        let group = match effect {
            Idempotency::Idempotent => DeduplicationScope::All,
            Idempotency::IdempotencyKey { scope: group, .. } => group,
            Idempotency::NonIdempotent => return false,
        };
        let Some(site) = site(group, &home.endpoint) else {
            let itself = home.endpoint.state == EndpointState::Ready && home.ejected_until <= now;
            return self.servers.count(Subset::Trusted) > usize::from(itself);
        };
        let mut near = self.servers.at_site(site, 0.0).take(MAX_SUBSTITUTES);
        near.any(|x| x.ejected_until <= now && x.endpoint.server != server)
    }
}

/// The servers of a group that one server is in; `None` for all.
fn site(group: DeduplicationScope, home: &Endpoint) -> Option<Site> {
    match group {
        DeduplicationScope::All => None,
        DeduplicationScope::Zone => Some(Site::Zone(home.zone)),
        DeduplicationScope::Cell => Some(Site::Cell(home.cell)),
    }
}

impl Selection<'_> {
    /// Compares the servers of the subset, or those drawn from it, in their order on the ring.
    fn compare_subset(&mut self, drawn: Option<Vec<usize>>) {
        let servers = &self.gateway.servers;
        for place in drawn.unwrap_or_else(|| (0..self.ring.size).collect()) {
            let Some(x) = self.ring.at(servers, place) else { return };
            self.compare(x, place);
        }
    }

    /// Goes on to the next past servers of the subset that may not be used, so that subsets stay as large.
    fn compare_substitutes(&mut self) {
        let servers = &self.gateway.servers;
        let suspected = servers.count(Subset::Trusted) < self.ring.ready;
        // Cold ones are not used outside of the subset, ejected ones nowhere.
        let subset = if suspected && !self.trust { Subset::Ready } else { Subset::Available };
        let ring = self.ring.clone();
        for (place, x) in ring.past(servers, subset).take(MAX_SUBSTITUTES) {
            if self.usable >= self.wanted {
                return;
            }
            self.compare(x, place);
        }
    }

    /// Compares servers of one zone or cell, beginning at a part of them that differs between gateways.
    fn compare_site(&mut self, site: Site) {
        let servers = &self.gateway.servers;
        let from = (self.gateway.settings.gateway_index as f64 * GOLDEN_RATIO).fract();
        for x in servers.at_site(site, from).take(MAX_SUBSTITUTES) {
            if self.usable >= self.wanted {
                return;
            }
            self.compare(x, self.ring.place(servers, x));
        }
    }

    /// Takes a server for the best if it may be used and has the lowest score so far.
    fn compare(&mut self, x: &Server, place: usize) {
        if !self.may_use(x, place) {
            return;
        }
        let last_resort = self.is_last_resort(x);
        let wait = x.expected_latency_us(self.now, &self.gateway.settings.rules);
        let score = self.score(x, wait, last_resort);
        if self.best.as_ref().is_none_or(|(least, _)| score < *least) {
            self.best = Some((score, Choice { server: x.endpoint.server, wait }));
        }
        self.usable += usize::from(!last_resort);
    }

    fn may_use(&self, x: &Server, place: usize) -> bool {
        let ramp = x.slow_start_factor(self.now, &self.gateway.settings.rules);
        // A cold one's budget is shared by the gateways whose subset it is in, and by no others.
        let spared = ramp < 1.0 && (x.slow_start_budget < 1.0 || place >= self.ring.size);
        let at_site = match self.site {
            Some(Site::Zone(zone)) => x.endpoint.zone == zone,
            Some(Site::Cell(cell)) => x.endpoint.cell == cell,
            None => true,
        };
        at_site && !spared && !(self.trust && x.ejected_until > self.now)
    }

    fn is_last_resort(&self, x: &Server) -> bool {
        let shut = x.rejection_backoff.get(&self.request.plan).is_some_and(|f| f.0 > self.now);
        let tried = |a: &Attempt| a.server == x.endpoint.server;
        shut || self.again && self.request.attempts.iter().any(tried)
    }

    /// How long an answer should take, weighted by what speaks against the server; the lowest is the best.
    fn score(&self, x: &Server, wait: f64, last_resort: bool) -> f64 {
        let settings = &self.gateway.settings;
        let good = x.current_success_rate(self.now);
        let mut score = wait / (good * good).max(1e-3);
        if self.ring.is_partial() {
            // One just used waits its turn, as long as it takes; one passed over comes sooner.
            let item = x.service_time_us / x.slow_start_factor(self.now, &settings.rules);
            score += (x.virtual_time - self.gateway.virtual_time).max(-item);
        }
        if x.endpoint.zone != settings.zone {
            score *= CROSS_ZONE_FACTOR;
        }
        if last_resort {
            score *= LAST_RESORT_FACTOR;
        }
        score
    }
}
