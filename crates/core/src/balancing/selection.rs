//! Server selection for a request's next attempt: the usable server with the lowest score.

use super::subset::SubsetRange;
use crate::api::{DeduplicationScope, Endpoint, EndpointState, Idempotency, Micros, RequestId, ServerId};
use crate::endpoints::ranked_tree::Subset;
use crate::endpoints::server::Server;
use crate::endpoints::server_index::Site;
use crate::gateway::Gateway;
use crate::health::outlier::enforced_ejections;
use crate::requests::Request;

/// Factor on the score of a server in another zone, which must be better by this factor to be selected.
const CROSS_ZONE_FACTOR: f64 = 1.1;
/// Factor on the score of a server that an earlier attempt went to or that recently rejected the plan, so
/// that it ranks last.
const LAST_RESORT_FACTOR: f64 = 10.0;
/// Lower bound of the squared success rate in a score, which keeps scores finite.
const MIN_SQUARED_SUCCESS_RATE: f64 = 1e-3;
/// Maximum number of servers compared for one attempt; a larger subset is sampled. The best of 128 samples is
/// among the best twenty-fifth of all servers in 199 of 200 draws (1 - 0.96^128), and comparing them takes a
/// few microseconds.
const MAX_CANDIDATES: usize = 128;
/// Maximum number of servers compared in place of unusable ones, so that a request does not visit the whole
/// table during an outage.
const MAX_SUBSTITUTES: usize = 512;

/// A server selected for an attempt.
pub(crate) struct ServerChoice {
    /// Selected server.
    pub server: ServerId,
    /// Expected latency of the answer, in microseconds.
    pub expected_latency_us: f64,
}

/// A candidate with its score.
struct ScoredChoice {
    /// Score of the candidate; lower is better.
    score: f64,
    choice: ServerChoice,
}

/// A comparison of servers for one attempt.
struct Selection<'a> {
    gateway: &'a Gateway,
    request: &'a Request,
    now: Micros,
    is_retry: bool,
    /// Subset of the servers that this gateway sends to.
    range: SubsetRange,
    /// Whether ejected servers are avoided.
    avoids_ejected: bool,
    /// Zone or cell that the attempt must stay in because an earlier attempt may have run there.
    site: Option<Site>,
    /// The best candidate so far.
    best: Option<ScoredChoice>,
    /// Number of preferred candidates so far: those that are not a last resort.
    preferred_count: usize,
    /// Number of preferred candidates after which no substitutes are compared.
    preferred_target: usize,
}

impl Gateway {
    /// Returns the best server for a request's next attempt, or `None` if none is usable.
    pub(crate) fn select_server(
        &mut self,
        now: Micros,
        id: RequestId,
        is_retry: bool,
    ) -> Option<ServerChoice> {
        let ready = self.servers.count(Subset::Ready);
        let size = self.subset_size(ready);
        let sampled = (size > MAX_CANDIDATES).then(|| self.server_sampler.sample(size, MAX_CANDIDATES));
        let request = self.requests.get(&id)?;
        let ejected = ready - self.servers.count(Subset::Healthy);
        let selection = Selection {
            gateway: self,
            request,
            now,
            is_retry,
            range: self.subset_range(ready),
            avoids_ejected: enforced_ejections(ejected, ready) > 0,
            site: request.required_site(),
            best: None,
            preferred_count: 0,
            preferred_target: size.min(MAX_CANDIDATES),
        };
        selection.select(sampled)
    }

    /// Returns whether another server could take a retry of a request that may have run on this server.
    pub(crate) fn has_alternative(&self, now: Micros, id: ServerId, idempotency: Idempotency) -> bool {
        let Some(server) = self.servers.get(id) else { return false };
        if idempotency == Idempotency::NonIdempotent {
            return false;
        }
        let is_ejected = |server: &Server| server.health.ejected_until() > now;
        let Some(site) = deduplication_site(idempotency, &server.endpoint) else {
            let is_healthy = server.endpoint.state == EndpointState::Ready && !is_ejected(server);
            return self.servers.count(Subset::Healthy) > usize::from(is_healthy);
        };
        let mut nearby = self.servers.at_site(site, 0.0).take(MAX_SUBSTITUTES);
        nearby.any(|other| !is_ejected(other) && other.endpoint.server != id)
    }
}

/// Returns the site whose servers drop duplicates of a request that a server may have run; `None` if no
/// server or every server of the back end does.
pub(crate) fn deduplication_site(idempotency: Idempotency, endpoint: &Endpoint) -> Option<Site> {
    match idempotency {
        Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, .. } => {
            Some(Site::Zone(endpoint.zone))
        }
        Idempotency::IdempotencyKey { scope: DeduplicationScope::Cell, .. } => {
            Some(Site::Cell(endpoint.cell))
        }
        Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. }
        | Idempotency::Idempotent
        | Idempotency::NonIdempotent => None,
    }
}

impl Selection<'_> {
    /// Compares the eligible servers and returns the best one.
    fn select(mut self, sampled: Option<Vec<usize>>) -> Option<ServerChoice> {
        match self.site.filter(|_| self.range.ready > MAX_SUBSTITUTES) {
            Some(site) => self.compare_site(site),
            None => {
                self.compare_subset(sampled);
                self.compare_substitutes();
            }
        }
        self.best.map(|best| best.choice)
    }

    /// Compares the servers of the subset, or those sampled from it, in ring order.
    fn compare_subset(&mut self, sampled: Option<Vec<usize>>) {
        let servers = &self.gateway.servers;
        for position in sampled.unwrap_or_else(|| (0..self.range.size).collect()) {
            let Some(server) = self.range.at(servers, position) else { return };
            self.compare(server, position);
        }
    }

    /// Compares servers after the end of the subset in place of those that may not be used or are a last
    /// resort, until there are as many preferred candidates as the comparison of the subset was to yield.
    fn compare_substitutes(&mut self) {
        let servers = &self.gateway.servers;
        let some_are_ejected = servers.count(Subset::Healthy) < self.range.ready;
        // Servers that are warming up are not used outside the subset. Ejected servers are used only while
        // ejections are not enforced.
        let uses_ejected = some_are_ejected && !self.avoids_ejected;
        let subset = if uses_ejected { Subset::Ready } else { Subset::WarmedUp };
        let range = self.range.clone();
        for (position, server) in range.positions_after(servers, subset).take(MAX_SUBSTITUTES) {
            if self.preferred_count >= self.preferred_target {
                return;
            }
            self.compare(server, position);
        }
    }

    /// Compares the servers of one zone or cell, starting at an offset that differs between gateways.
    fn compare_site(&mut self, site: Site) {
        let servers = &self.gateway.servers;
        let from = self.gateway.start_fraction();
        for server in servers.at_site(site, from).take(MAX_SUBSTITUTES) {
            if self.preferred_count >= self.preferred_target {
                return;
            }
            self.compare(server, self.range.position(servers, server));
        }
    }

    /// Makes a server the best candidate if it is usable and has the lowest score so far.
    fn compare(&mut self, server: &Server, position: usize) {
        if !self.may_use(server, position) {
            return;
        }
        let is_last_resort = self.is_last_resort(server);
        let expected_latency_us = server.expected_latency_us(self.now, &self.gateway.settings.rules);
        let score = self.score(server, expected_latency_us, is_last_resort);
        if self.best.as_ref().is_none_or(|best| score < best.score) {
            let choice = ServerChoice { server: server.endpoint.server, expected_latency_us };
            self.best = Some(ScoredChoice { score, choice });
        }
        self.preferred_count += usize::from(!is_last_resort);
    }

    /// Returns whether the site, the enforced ejections and slow start allow this attempt at a server.
    fn may_use(&self, server: &Server, position: usize) -> bool {
        let is_at_site = match self.site {
            Some(Site::Zone(zone)) => server.endpoint.zone == zone,
            Some(Site::Cell(cell)) => server.endpoint.cell == cell,
            None => true,
        };
        let is_avoided = self.avoids_ejected && server.health.ejected_until() > self.now;
        is_at_site && !is_avoided && !self.exceeds_slow_start(server, position)
    }

    /// Returns whether a server is warming up and has no slow-start budget left for this gateway. Only the
    /// gateways whose subset contains the server share its budget.
    fn exceeds_slow_start(&self, server: &Server, position: usize) -> bool {
        let is_warming_up = server.slow_start_factor(self.now, &self.gateway.settings.rules) < 1.0;
        is_warming_up && (server.slow_start_budget < 1.0 || !self.range.contains(position))
    }

    /// Returns whether the server recently rejected the request's plan or, for a retry, had an earlier
    /// attempt of the request.
    fn is_last_resort(&self, server: &Server) -> bool {
        let id = server.endpoint.server;
        server.is_backing_off(self.now, self.request.plan)
            || self.is_retry && self.request.attempts.iter().any(|attempt| attempt.server == id)
    }

    /// Returns the expected latency with penalties for failures, recent use, another zone and last resorts.
    fn score(&self, server: &Server, expected_latency_us: f64, is_last_resort: bool) -> f64 {
        let settings = &self.gateway.settings;
        let success_rate = server.health.success_rate(self.now);
        let mut score = expected_latency_us / (success_rate * success_rate).max(MIN_SQUARED_SUCCESS_RATE);
        if self.range.is_partial() {
            // A recently used server ranks after the others for as long as one request keeps it busy.
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
