//! The counter in the event loop: calls of the gateways and what they come to.

use super::counter::Call;
use super::gateway::COUNTER_CALLS_MOST;
use super::queue::{GatewayLife, Occurrence};
use super::simulation::Simulation;
use grebehook_core::{CounterId, CounterResult, Event, Micros};

impl Simulation {
    /// A gateway calls the counter.
    pub(super) fn count(&mut self, life: GatewayLife, counter: CounterId, amount: f64, ttl: Micros) {
        let gateway = &mut self.gateways[life.gateway];
        let answers = |at, result| (at, Occurrence::CounterAnswers(life, counter, self.now, result));
        if gateway.counter_calls >= COUNTER_CALLS_MOST {
            // No connection is free, and none is opened.
            gateway.counter_calls += 1;
            let (at, occurrence) = answers(self.now, CounterResult::Refused);
            return self.queue.push(at, occurrence);
        }
        gateway.counter_calls += 1;
        let address = gateway.configuration;
        let reachable = self.network.reaches_home(life.gateway);
        let answer = self.counter.call(self.now, Call { counter, amount, life: ttl, address, reachable });
        self.tally.counts.counter_calls += 1;
        self.tally.counts.counter_bytes += answer.bytes;
        let back = if matches!(answer.end, CounterResult::Total(_)) {
            2 * self.network.to_home(life.gateway)
        } else {
            0
        };
        let (at, occurrence) = answers(answer.at + back, answer.end);
        self.queue.push(at, occurrence);
    }

    /// A call has ended.
    pub(super) fn counter_answers(
        &mut self,
        life: GatewayLife,
        counter: CounterId,
        asked: Micros,
        result: CounterResult,
    ) {
        let gateway = &mut self.gateways[life.gateway];
        if !gateway.lives(life) {
            return;
        }
        gateway.counter_calls = gateway.counter_calls.saturating_sub(1);
        let elapsed = self.now - asked;
        self.event(life, Event::CounterReplied { counter, result, elapsed });
    }
}
