//! Event handlers for calls to the shared counter.

use super::event_queue::{Incarnation, SimulationEvent};
use super::gateway::MAX_COUNTER_CALLS;
use super::shared_counter::CounterCall;
use super::simulation::Simulation;
use grebehook_core::{CounterId, CounterResult, Event, Micros};

impl Simulation {
    /// Sends a gateway's call to the shared counter and schedules its end.
    pub(super) fn call_counter(
        &mut self,
        incarnation: Incarnation,
        counter: CounterId,
        amount: f64,
        ttl: Micros,
    ) {
        let gateway = &mut self.gateways[incarnation.gateway];
        gateway.counter_calls_in_flight += 1;
        if gateway.counter_calls_in_flight > MAX_COUNTER_CALLS {
            // All connections are in use, and the gateway opens no further ones.
            return self.schedule_counter_reply(self.now, incarnation, counter, CounterResult::Refused);
        }
        let address_version = gateway.configuration_version;
        let reachable = self.network.reaches_home_region(incarnation.gateway);
        let reply =
            self.counter.call(self.now, CounterCall { counter, amount, ttl, address_version, reachable });
        self.measurements.counts.counter_calls += 1;
        self.measurements.counts.counter_bytes += reply.bytes;
        let round_trip = match reply.result {
            CounterResult::Total(_) => 2 * self.network.delay_to_home_region(incarnation.gateway),
            CounterResult::Refused | CounterResult::Unknown => 0,
        };
        self.schedule_counter_reply(reply.at + round_trip, incarnation, counter, reply.result);
    }

    /// Schedules the end of a call that is sent now.
    fn schedule_counter_reply(
        &mut self,
        at: Micros,
        incarnation: Incarnation,
        counter: CounterId,
        result: CounterResult,
    ) {
        let called_at = self.now;
        self.queue.push(at, SimulationEvent::CounterReplied { incarnation, counter, called_at, result });
    }

    /// Passes the result of a call to the gateway.
    pub(super) fn handle_counter_reply(
        &mut self,
        incarnation: Incarnation,
        counter: CounterId,
        called_at: Micros,
        result: CounterResult,
    ) {
        let gateway = &mut self.gateways[incarnation.gateway];
        if !gateway.is_running(incarnation) {
            return;
        }
        gateway.counter_calls_in_flight = gateway.counter_calls_in_flight.saturating_sub(1);
        let elapsed = self.now - called_at;
        self.deliver(incarnation, Event::CounterReplied { counter, result, elapsed });
    }
}
