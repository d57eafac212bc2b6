//! Which server a request's next attempt goes to: of those that may be used, the one with the lowest score.

use super::subset::SubsetRange;
use crate::api::{DeduplicationScope, Endpoint, EndpointState, Idempotency, Micros, RequestId, ServerId};
use crate::endpoints::ranked_tree::Subset;
use crate::endpoints::server::Server;
use crate::endpoints::server_index::Site;
use crate::gateway::Gateway;
use crate::health::outlier::enforced_ejections;
use crate::requests::Request;

/// A server in another zone must look this much better.
const CROSS_ZONE_FACTOR: f64 = 1.1;
/// A server that has just rejected this request, or any of its plan, comes last.
const LAST_RESORT_FACTOR: f64 = 10.0;
/// Least square of a success rate in a score, so that scores stay finite.
const MIN_SQUARED_SUCCESS_RATE: f64 = 1e-3;
/// Servers compared for one attempt. Of a larger subset so many are drawn: the best of them is among the best
/// twenty-fifth of all in 199 of 200 draws (1 - 0.96^128), and comparing them takes some microseconds.
const MAX_CANDIDATES: usize = 128;
/// Servers looked at in place of ones that may not be used, so that no outage makes a request walk the table.
const MAX_SUBSTITUTES: usize = 512;

/// A server for an attempt.
pub(crate) struct Choice {
    /// The server.
    pub server: ServerId,
    /// How long it should take to answer, microseconds.
    pub expected_latency_us: f64,
}

/// The best candidate so far.
struct ScoredChoice {
    /// Its score; the lowest is the best.
    score: f64,
    /// The candidate.
    choice: Choice,
}

/// The comparison of servers for one attempt.
struct Selection<'a> {
    /// The gateway that selects.
    gateway: &'a Gateway,
    /// The request.
    request: &'a Request,
    /// The time.
    now: Micros,
    /// Whether it is a retry.
    is_retry: bool,
    /// The gateway's subset.
    range: SubsetRange,
    /// Whether ejected servers are avoided.
    avoids_ejected: bool,
    /// Where the attempt has to go, if an earlier one may have run.
    site: Option<Site>,
    /// The best candidate so far.
    best: Option<ScoredChoice>,
    /// Candidates so far that are no last resort.
    usable: usize,
    /// How many of these are enough.
    wanted: usize,
}

impl Gateway {
    /// The best server for a request's next attempt, if any may be used.
    pub(crate) fn select_server(&mut self, now: Micros, id: RequestId, is_retry: bool) -> Option<Choice> {
        let ready = self.servers.count(Subset::Ready);
        let size = self.subset_size(ready);
        let drawn = (size > MAX_CANDIDATES).then(|| self.server_sampler.sample(size, MAX_CANDIDATES));
        let request = self.requests.get(&id)?;
        let ejected = ready - self.servers.count(Subset::Healthy);
        let selection = Selection {
            gateway: self,
            request,
            now,
            is_retry,
            range: self.subset_range(ready),
            avoids_ejected: enforced_ejections(ejected, ready) > 0,
            site: self.required_site(request),
            best: None,
            usable: 0,
            wanted: size.min(MAX_CANDIDATES),
        };
        selection.select(drawn)
    }

    /// Where repeats of a request that may have run are dropped, if not everywhere.
    fn required_site(&self, request: &Request) -> Option<Site> {
        let first = request.first_that_may_run()?;
        let endpoint = &self.servers.get(first.server)?.endpoint;
        match self.settings.classes[request.class].idempotency {
            Idempotency::IdempotencyKey { scope, .. } => site_of(scope, endpoint),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }

    /// Whether a server besides this one could take a retry of a request that may have run there.
    pub(crate) fn has_alternative(&self, now: Micros, id: ServerId, idempotency: Idempotency) -> bool {
        let Some(server) = self.servers.get(id) else { return false };
        let scope = match idempotency {
            Idempotency::Idempotent => DeduplicationScope::All,
            Idempotency::IdempotencyKey { scope, .. } => scope,
            Idempotency::NonIdempotent => return false,
        };
        let is_ejected = |server: &Server| server.health.ejected_until() > now;
        let Some(site) = site_of(scope, &server.endpoint) else {
            let is_trusted = server.endpoint.state == EndpointState::Ready && !is_ejected(server);
            return self.servers.count(Subset::Healthy) > usize::from(is_trusted);
        };
        let mut nearby = self.servers.at_site(site, 0.0).take(MAX_SUBSTITUTES);
        nearby.any(|other| !is_ejected(other) && other.endpoint.server != id)
    }
}

/// The site of one server whose servers share idempotency keys; `None` if all servers do.
fn site_of(scope: DeduplicationScope, endpoint: &Endpoint) -> Option<Site> {
    match scope {
        DeduplicationScope::All => None,
        DeduplicationScope::Zone => Some(Site::Zone(endpoint.zone)),
        DeduplicationScope::Cell => Some(Site::Cell(endpoint.cell)),
    }
}

impl Selection<'_> {
    /// Compares the servers that come into question.
    fn select(mut self, drawn: Option<Vec<usize>>) -> Option<Choice> {
        match self.site.filter(|_| self.range.ready > MAX_SUBSTITUTES) {
            Some(site) => self.compare_site(site),
            None => {
                self.compare_subset(drawn);
                self.compare_substitutes();
            }
        }
        self.best.map(|best| best.choice)
    }

    /// Compares the servers of the subset, or those drawn from it, in their order on the ring.
    fn compare_subset(&mut self, drawn: Option<Vec<usize>>) {
        let servers = &self.gateway.servers;
        for position in drawn.unwrap_or_else(|| (0..self.range.size).collect()) {
            let Some(server) = self.range.at(servers, position) else { return };
            self.compare(server, position);
        }
    }

    /// Goes on to the next past servers of the subset that may not be used, so that subsets stay as large.
    fn compare_substitutes(&mut self) {
        let servers = &self.gateway.servers;
        let some_are_ejected = servers.count(Subset::Healthy) < self.range.ready;
        // Servers that warm up are not used outside of the subset, ejected ones nowhere.
        let uses_ejected = some_are_ejected && !self.avoids_ejected;
        let subset = if uses_ejected { Subset::Ready } else { Subset::WarmedUp };
        let range = self.range.clone();
        for (position, server) in range.past(servers, subset).take(MAX_SUBSTITUTES) {
            if self.usable >= self.wanted {
                return;
            }
            self.compare(server, position);
        }
    }

    /// Compares servers of one zone or cell, beginning at a part of them that differs between gateways.
    fn compare_site(&mut self, site: Site) {
        let servers = &self.gateway.servers;
        let from = self.gateway.spread_fraction();
        for server in servers.at_site(site, from).take(MAX_SUBSTITUTES) {
            if self.usable >= self.wanted {
                return;
            }
            self.compare(server, self.range.position(servers, server));
        }
    }

    /// Makes a server the best candidate if it may be used and has the lowest score so far.
    fn compare(&mut self, server: &Server, position: usize) {
        if !self.may_use(server, position) {
            return;
        }
        let is_last_resort = self.is_last_resort(server);
        let expected_latency_us = server.expected_latency_us(self.now, &self.gateway.settings.rules);
        let score = self.score(server, expected_latency_us, is_last_resort);
        if self.best.as_ref().is_none_or(|best| score < best.score) {
            let choice = Choice { server: server.endpoint.server, expected_latency_us };
            self.best = Some(ScoredChoice { score, choice });
        }
        self.usable += usize::from(!is_last_resort);
    }

    /// Whether the rules allow this attempt there.
    fn may_use(&self, server: &Server, position: usize) -> bool {
        let is_at_site = match self.site {
            Some(Site::Zone(zone)) => server.endpoint.zone == zone,
            Some(Site::Cell(cell)) => server.endpoint.cell == cell,
            None => true,
        };
        let is_avoided = self.avoids_ejected && server.health.ejected_until() > self.now;
        is_at_site && !is_avoided && !self.exceeds_slow_start(server, position)
    }

    /// Whether a server warms up and has no budget left for this gateway. The budget is shared by the
    /// gateways whose subset the server is in, and by no others.
    fn exceeds_slow_start(&self, server: &Server, position: usize) -> bool {
        let is_warming_up = server.slow_start_factor(self.now, &self.gateway.settings.rules) < 1.0;
        is_warming_up && (server.slow_start_budget < 1.0 || !self.range.contains(position))
    }

    /// Whether the server has just rejected the request, or any of its plan.
    fn is_last_resort(&self, server: &Server) -> bool {
        let id = server.endpoint.server;
        server.is_backing_off(self.now, self.request.plan)
            || self.is_retry && self.request.attempts.iter().any(|attempt| attempt.server == id)
    }

    /// How long an answer should take, weighted by what speaks against the server.
    fn score(&self, server: &Server, expected_latency_us: f64, is_last_resort: bool) -> f64 {
        let settings = &self.gateway.settings;
        let success_rate = server.health.success_rate(self.now);
        let mut score = expected_latency_us / (success_rate * success_rate).max(MIN_SQUARED_SUCCESS_RATE);
        if self.range.is_partial() {
            // A server used a moment ago comes after the others, for as long as one request keeps it busy.
            let busy_time_us = server.busy_time_us(self.now, &settings.rules);
            score += (server.virtual_time - self.gateway.virtual_time).max(-busy_time_us);
        }
        if server.endpoint.zone != settings.zone {
            score *= CROSS_ZONE_FACTOR;
        }
        if is_last_resort {
            score *= LAST_RESORT_FACTOR;
        }
        score
    }
}
