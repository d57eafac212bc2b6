//! Priority queue of simulation events, ordered by time.

use grebehook_core::{CounterId, CounterResult, Micros, RequestId, TimerId};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A period of a gateway between a start and the following stop. Events for an earlier incarnation are
/// dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Index of the gateway.
    pub gateway: usize,
    /// Number of the gateway's start, from 1.
    pub number: u32,
}

/// Something that happens in the simulation, or an operation scheduled for a time.
#[derive(Clone, Debug)]
pub enum SimulationEvent {
    /// A client has sent a request to the load balancer.
    RequestArrived,
    /// Begins the measurement and discards what was counted during the warm-up.
    BeginMeasurement,
    /// Ends the measurement, after which clients send no more requests.
    EndMeasurement,
    /// A timer of a gateway's decision core has fired.
    TimerFired {
        /// Gateway that set the timer.
        incarnation: Incarnation,
        /// Timer that fires.
        timer: TimerId,
    },
    /// An attempt has ended with the status stored in its `Attempt`.
    AttemptEnded {
        /// Gateway that sent the attempt.
        incarnation: Incarnation,
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Index of the attempt within its request.
        attempt: u32,
    },
    /// A call to the shared counter has ended.
    CounterReplied {
        /// Gateway that sent the call.
        incarnation: Incarnation,
        /// Counter key of the call.
        counter: CounterId,
        /// Time at which the call was sent, in microseconds.
        called_at: Micros,
        /// Result of the call.
        result: CounterResult,
    },
    /// A relay has passed the changes up to a version to a gateway's agent.
    AgentUpdated {
        /// Index of the gateway.
        gateway: usize,
        /// Version of the endpoint list.
        version: u64,
    },
    /// A watch has reached its timeout.
    WatchTimedOut {
        /// Gateway that opened the watch.
        incarnation: Incarnation,
        /// Number of the watch at this gateway.
        watch: u64,
    },
    /// A new configuration has reached a gateway.
    ConfigurationArrived {
        /// Index of the gateway.
        gateway: usize,
        /// Version of the configuration.
        version: u32,
    },
    /// A gossip message has reached a gateway.
    GossipArrived {
        /// Index of the receiving gateway.
        to: usize,
        /// Index of the sending gateway.
        from: usize,
        /// Encoded message.
        message: Vec<u8>,
    },
    /// Publishes the state of servers once discovery has detected that they stopped or started.
    PublishServers {
        /// Indices of the servers.
        servers: Vec<usize>,
    },
    /// Restarts a server, as one of the changes that `load.changes` schedules.
    RestartServer {
        /// Index of the server.
        server: usize,
    },
    /// Publishes a new configuration, as one of the changes that `load.configurations` schedules.
    PublishConfiguration,
    /// Kills a gateway, whose requests without a response are lost.
    KillGateway {
        /// Index of the gateway.
        gateway: usize,
    },
    /// Starts a gateway, unless it is running already.
    StartGateway {
        /// Index of the gateway.
        gateway: usize,
    },
    /// Updates the load balancer in front of the gateways on whether one of them is down.
    UpdateLoadBalancer {
        /// Index of the gateway.
        gateway: usize,
    },
    /// Begins a fault of the experiment.
    BeginFault {
        /// Index of the fault in the experiment.
        fault: usize,
    },
    /// Ends a fault of the experiment.
    EndFault {
        /// Index of the fault in the experiment.
        fault: usize,
    },
    /// A client has waited for a response longer than any gateway may take.
    ClientTimedOut {
        /// Request of the client.
        request: RequestId,
    },
}

/// A scheduled event, ordered by time and then by sequence number.
struct Scheduled {
    /// Time of the event, in microseconds.
    at: Micros,
    /// Number of events scheduled before this one.
    sequence: u64,
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

/// Queue of future events. Events of the same time are returned in the order in which they were scheduled.
#[derive(Default)]
pub struct EventQueue {
    /// Scheduled events, the earliest on top.
    heap: BinaryHeap<Reverse<Scheduled>>,
    /// Sequence number of the next event that is scheduled.
    next_sequence: u64,
}

impl EventQueue {
    /// Schedules an event at a time in microseconds.
    pub fn push(&mut self, at: Micros, event: SimulationEvent) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Scheduled { at, sequence, event }));
    }

    /// Removes the earliest event and returns it with its time in microseconds.
    pub fn pop(&mut self) -> Option<(Micros, SimulationEvent)> {
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }
}
