//! What happens in a simulation, in the order of its times.

use grebehook_core::{CounterId, CounterResult, Micros, RequestId, TimerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A gateway between a start and its end; what was meant for an earlier life is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayLife {
    /// Its number.
    pub gateway: usize,
    /// Which of its starts.
    pub life: u32,
}

/// Something that happens.
#[derive(Clone, Debug)]
pub enum Occurrence {
    /// A client sends a request.
    Arrival,
    /// The measured time begins.
    MeasureBegins,
    /// The measured time ends.
    MeasureEnds,
    /// A gateway's timer is due.
    GatewayTimer(GatewayLife, TimerId),
    /// An attempt ends in the way that the gateway's host has noted.
    AttemptEnds(GatewayLife, RequestId, u32),
    /// A call of the counter ends.
    CounterAnswers(GatewayLife, CounterId, Micros, CounterResult),
    /// A relay has passed changes up to a version to a gateway's agent.
    AgentLearns(usize, u64),
    /// A watch of the agent has waited long enough.
    WatchExpires(GatewayLife, u64),
    /// A new configuration reaches a gateway.
    ConfigurationArrives(usize, u32),
    /// A message between gateways arrives.
    PeerArrives(usize, usize, Vec<u8>),
    /// Discovery notices what became of servers.
    MembersChange(Vec<usize>),
    /// One of the load's changes of a server's entry.
    ScheduledChange(usize),
    /// One of the load's changes of the configuration.
    ConfigurationChange,
    /// A gateway is killed.
    GatewayKilled(usize),
    /// A gateway starts again.
    GatewayStarts(usize),
    /// The front learns whether a gateway is down.
    FrontNotices(usize),
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
    /// A client has waited longer than any answer may take.
    PatienceEnds(RequestId),
}

struct Scheduled {
    at: Micros,
    sequence: u64,
    occurrence: Occurrence,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Occurrences to come; those of one time in the order in which they were scheduled.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<Scheduled>>,
    next: u64,
}

impl Queue {
    /// Schedules an occurrence.
    pub fn push(&mut self, at: Micros, occurrence: Occurrence) {
        let sequence = self.next;
        self.next += 1;
        self.heap.push(Reverse(Scheduled { at, sequence, occurrence }));
    }

    /// The next occurrence and its time.
    pub fn pop(&mut self) -> Option<(Micros, Occurrence)> {
        self.heap.pop().map(|Reverse(next)| (next.at, next.occurrence))
    }
}
