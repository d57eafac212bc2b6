//! A range of the ready servers in the order of their numbers, on a ring: the last is followed by the first.
//! Places count from the start of the range. Used by `selection.rs`; nothing is decided here.

use crate::ranked_tree::Subset;
use crate::server_index::{Server, ServerIndex};

/// The range.
#[derive(Clone)]
pub(crate) struct Ring {
    /// The position of its first server among all ready ones.
    pub start: usize,
    /// Servers in the range.
    pub size: usize,
    /// All ready servers.
    pub ready: usize,
}

impl Ring {
    /// Whether the range leaves some servers out.
    pub fn is_partial(&self) -> bool {
        self.size < self.ready
    }

    /// The server at a place.
    pub fn at<'a>(&self, servers: &'a ServerIndex, place: usize) -> Option<&'a Server> {
        servers.at(Subset::Ready, (self.start + place) % self.ready.max(1))
    }

    /// The place of a ready server.
    pub fn place(&self, servers: &ServerIndex, server: &Server) -> usize {
        let position = servers.rank(Subset::Ready, server.endpoint.server);
        (position + self.ready - self.start) % self.ready.max(1)
    }

    /// The members of a subset past the range with their places, in their order, all the way round.
    pub fn past<'a>(
        &'a self,
        servers: &'a ServerIndex,
        subset: Subset,
    ) -> impl Iterator<Item = (usize, &'a Server)> {
        let next = self.at(servers, self.size).map(|x| x.endpoint.server);
        let first = next.map_or(0, |id| servers.rank(subset, id));
        let count = servers.count(subset);
        let members = (0..count).filter_map(move |k| servers.at(subset, (first + k) % count));
        members.map(|x| (self.place(servers, x), x)).take_while(|(place, _)| *place >= self.size)
    }
}
