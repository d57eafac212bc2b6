//! The subset of the servers that one of many gateways sends to, so that each gateway needs few connections
//! and observes each of its servers often enough. The subset is a range of the ready servers, ordered by
//! id on a ring: the last is followed by the first. Positions count from the start of the range.

use crate::endpoints::ranked_tree::Subset;
use crate::endpoints::server::Server;
use crate::endpoints::server_index::ServerIndex;
use crate::gateway::Gateway;

/// Number of gateways that send to each server, in fleets that have as many: enough for the differences
/// between gateways to average out.
const GATEWAYS_PER_SERVER: usize = 16;
/// Fractional part of the golden ratio: the fractional parts of its multiples are spread evenly over [0, 1),
/// however many there are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// Minimum number of servers in a subset, so that server selection always has alternatives.
const MIN_SUBSET_SIZE: usize = 3;

/// Range of the ready servers that forms a gateway's subset.
#[derive(Clone)]
pub(super) struct SubsetRange {
    /// Rank of the first server of the range among all ready servers.
    pub start: usize,
    /// Number of servers in the range.
    pub size: usize,
    /// Number of all ready servers.
    pub ready: usize,
}

impl SubsetRange {
    /// Returns whether the range leaves out some ready servers.
    pub fn is_partial(&self) -> bool {
        self.size < self.ready
    }

    /// Returns whether a position lies in the range.
    pub fn contains(&self, position: usize) -> bool {
        position < self.size
    }

    /// Returns the server at a position, counted from the start of the range.
    pub fn at<'a>(&self, servers: &'a ServerIndex, position: usize) -> Option<&'a Server> {
        servers.at(Subset::Ready, (self.start + position) % self.ready.max(1))
    }

    /// Returns the position of a ready server, counted from the start of the range.
    pub fn position(&self, servers: &ServerIndex, server: &Server) -> usize {
        let rank = servers.rank(Subset::Ready, server.endpoint.server);
        (rank + self.ready - self.start) % self.ready.max(1)
    }

    /// Returns the members of a subset outside the range with their positions, in ring order from its end.
    pub fn positions_after<'a>(
        &'a self,
        servers: &'a ServerIndex,
        subset: Subset,
    ) -> impl Iterator<Item = (usize, &'a Server)> {
        let next = self.at(servers, self.size).map(|server| server.endpoint.server);
        let first = next.map_or(0, |id| servers.rank(subset, id));
        let count = servers.count(subset);
        let members = (0..count).filter_map(move |k| servers.at(subset, (first + k) % count));
        let positioned = members.map(|server| (self.position(servers, server), server));
        positioned.take_while(|(position, _)| *position >= self.size)
    }
}

impl Gateway {
    /// Returns this gateway's subset of `ready` servers.
    pub(super) fn subset_range(&self, ready: usize) -> SubsetRange {
        let size = self.subset_size(ready);
        // Start positions are spread evenly over the list, those of consecutive gateway indexes far apart.
        let start = if size == ready { 0 } else { (self.start_fraction() * ready as f64) as usize };
        SubsetRange { start, size, ready }
    }

    /// Returns a fraction in [0, 1) that differs for each gateway and is evenly spread over all gateways.
    pub(super) fn start_fraction(&self) -> f64 {
        (self.settings.gateway_index as f64 * GOLDEN_RATIO).fract()
    }

    /// Returns how many servers one gateway sends to, of `servers` ready ones.
    pub(crate) fn subset_size(&self, servers: usize) -> usize {
        let size = (servers * GATEWAYS_PER_SERVER).div_ceil(self.settings.gateway_count);
        size.max(MIN_SUBSET_SIZE).min(servers)
    }

    /// Returns the mean number of gateways whose subset contains a given server.
    pub(crate) fn gateways_per_server(&self) -> f64 {
        let ready = self.servers.count(Subset::Ready).max(1);
        self.settings.gateway_count as f64 * self.subset_size(ready) as f64 / ready as f64
    }
}
