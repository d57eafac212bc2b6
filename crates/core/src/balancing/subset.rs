//! The subset of the servers that one of many gateways sends to, so that it needs few connections and learns
//! enough of each server. It is a range of the ready servers in the order of their numbers, on a ring: the
//! last is followed by the first. Positions in the subset count from the start of the range.

use crate::endpoints::ranked_tree::Subset;
use crate::endpoints::server::Server;
use crate::endpoints::server_index::ServerIndex;
use crate::gateway::Gateway;

/// Gateways that send to a server, where there are so many, so that their differences even out.
const GATEWAYS_PER_SERVER: usize = 16;
/// Its multiples lie evenly between 0 and 1, however many there are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// Servers of a subset at least, so that there is a choice.
const MIN_SUBSET_SIZE: usize = 3;

/// The range of a gateway's subset.
#[derive(Clone)]
pub(super) struct SubsetRange {
    /// The position of its first server among all ready ones.
    pub start: usize,
    /// Servers in the range.
    pub size: usize,
    /// All ready servers.
    pub ready: usize,
}

impl SubsetRange {
    /// Whether the range leaves some servers out.
    pub fn is_partial(&self) -> bool {
        self.size < self.ready
    }

    /// Whether a position lies in the range.
    pub fn contains(&self, position: usize) -> bool {
        position < self.size
    }

    /// The server at a position.
    pub fn at<'a>(&self, servers: &'a ServerIndex, position: usize) -> Option<&'a Server> {
        servers.at(Subset::Ready, (self.start + position) % self.ready.max(1))
    }

    /// The position of a ready server.
    pub fn position(&self, servers: &ServerIndex, server: &Server) -> usize {
        let rank = servers.rank(Subset::Ready, server.endpoint.server);
        (rank + self.ready - self.start) % self.ready.max(1)
    }

    /// The members of a subset past the range with their positions, in their order, all the way round.
    pub fn past<'a>(
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
    /// This gateway's subset of so many ready servers.
    pub(super) fn subset_range(&self, ready: usize) -> SubsetRange {
        let size = self.subset_size(ready);
        // Subsets begin at places spread evenly over the list, those of neighbouring gateways far apart.
        let start = if size == ready { 0 } else { (self.spread_fraction() * ready as f64) as usize };
        SubsetRange { start, size, ready }
    }

    /// A fraction of its own for each gateway, evenly spread over all of them.
    pub(super) fn spread_fraction(&self) -> f64 {
        (self.settings.gateway_index as f64 * GOLDEN_RATIO).fract()
    }

    /// How many of so many servers one gateway sends to.
    pub(crate) fn subset_size(&self, servers: usize) -> usize {
        let shared = (servers * GATEWAYS_PER_SERVER).div_ceil(self.settings.gateway_count);
        shared.max(MIN_SUBSET_SIZE).min(servers)
    }

    /// How many gateways have a server in their subset, on average.
    pub(crate) fn senders_per_server(&self) -> f64 {
        let ready = self.servers.count(Subset::Ready).max(1);
        self.settings.gateway_count as f64 * self.subset_size(ready) as f64 / ready as f64
    }
}
