//! The events of a simulation, in the order of their times.

use grebehook_core::{CounterId, CounterResult, Micros, RequestId, TimerId};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A gateway between a start and its end; what was meant for an earlier incarnation is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// The gateway's number.
    pub gateway: usize,
    /// Which of its starts, from 1.
    pub number: u32,
}

/// Something that happens in the simulation.
#[derive(Clone, Debug)]
pub enum SimulationEvent {
    /// A client sends a request.
    RequestArrives,
    /// The measured time begins.
    MeasurementBegins,
    /// The measured time ends.
    MeasurementEnds,
    /// A gateway's timer is due.
    TimerFires {
        /// The gateway.
        incarnation: Incarnation,
        /// The timer.
        timer: TimerId,
    },
    /// An attempt ends with the status that the gateway's host has noted.
    AttemptEnds {
        /// The gateway.
        incarnation: Incarnation,
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: u32,
    },
    /// A counter call ends.
    CounterReplies {
        /// The gateway.
        incarnation: Incarnation,
        /// The counter's key.
        counter: CounterId,
        /// When the call was sent.
        called_at: Micros,
        /// How the call ended.
        result: CounterResult,
    },
    /// A relay has passed changes up to a version to a gateway's agent.
    AgentUpdated {
        /// The gateway.
        gateway: usize,
        /// The version.
        version: u64,
    },
    /// A watch has waited for as long as it may.
    WatchTimesOut {
        /// The gateway.
        incarnation: Incarnation,
        /// Which of its watches.
        watch: u64,
    },
    /// A new configuration reaches a gateway.
    ConfigurationArrives {
        /// The gateway.
        gateway: usize,
        /// The configuration's version.
        version: u32,
    },
    /// A gossip message reaches a gateway.
    GossipArrives {
        /// The gateway.
        to: usize,
        /// The sender.
        from: usize,
        /// The message.
        message: Vec<u8>,
    },
    /// Discovery notices that servers stopped or started.
    ServersChange {
        /// The servers.
        servers: Vec<usize>,
    },
    /// One of the load's changes of a server's entry.
    ServerRestarts {
        /// The server.
        server: usize,
    },
    /// One of the load's changes of the configuration.
    ConfigurationChanges,
    /// A gateway is killed.
    GatewayKilled {
        /// Its number.
        gateway: usize,
    },
    /// A gateway starts.
    GatewayStarts {
        /// Its number.
        gateway: usize,
    },
    /// The load balancer before the gateways learns whether one of them is down.
    LoadBalancerChecks {
        /// Its number.
        gateway: usize,
    },
    /// A fault begins.
    FaultBegins {
        /// Its index in the experiment.
        fault: usize,
    },
    /// A fault ends.
    FaultEnds {
        /// Its index in the experiment.
        fault: usize,
    },
    /// A client has waited longer than any response may take.
    ClientTimesOut {
        /// Its request.
        request: RequestId,
    },
}

/// An event and its place in the order.
struct Scheduled {
    /// When it happens.
    at: Micros,
    /// The order in which events were scheduled.
    sequence: u64,
    /// What happens.
    event: SimulationEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Events to come; those of one time in the order in which they were scheduled.
#[derive(Default)]
pub struct EventQueue {
    /// The events, the next one on top.
    heap: BinaryHeap<Reverse<Scheduled>>,
    /// The place of the next event that is scheduled.
    next_sequence: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub fn push(&mut self, at: Micros, event: SimulationEvent) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Scheduled { at, sequence, event }));
    }

    /// The next event and its time.
    pub fn pop(&mut self) -> Option<(Micros, SimulationEvent)> {
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }
}
