//! Updates of the endpoint list from the watch of service discovery.

use crate::api::{Action, Endpoint, EndpointState, Micros, WatchEvent};
use crate::endpoints::server::Server;
use crate::gateway::Gateway;
use crate::health::outlier::OutlierState;

/// Service time assumed before any server is known, as a fraction of the shortest latency objective.
const INITIAL_SERVICE_TIME_FRACTION: f64 = 0.05;

impl Gateway {
    /// Applies a snapshot or a delta of the endpoint list; polls again if the watch failed.
    pub(crate) fn update_endpoints(
        &mut self,
        now: Micros,
        watch_event: WatchEvent,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        if watch_event == WatchEvent::Failed {
            return actions.push(Action::PollEndpoints);
        }
        if self.start_times.observe(now, watch_event, &endpoints) {
            self.correct_start_times(now);
        }
        if watch_event != WatchEvent::Delta {
            self.remove_unlisted(now, &endpoints);
        }
        let service_time_us = self.initial_service_time_us();
        for endpoint in endpoints {
            self.update_endpoint(now, endpoint, service_time_us);
        }
        self.servers.purge_removed();
    }

    /// Returns the endpoint list as last updated, with start times by the fleet's clock.
    pub fn listed_endpoints(&self) -> impl Iterator<Item = Endpoint> + '_ {
        let listed = self.servers.iter().filter(|server| server.endpoint.state != EndpointState::Removed);
        listed.map(|server| Endpoint { started_at: server.reported_start, ..server.endpoint.clone() })
    }

    /// Marks the servers that are missing in a complete list as removed.
    fn remove_unlisted(&mut self, now: Micros, endpoints: &[Endpoint]) {
        for id in self.servers.unlisted(endpoints) {
            self.servers.update(now, id, |server| server.endpoint.state = EndpointState::Removed);
        }
    }

    /// Returns the service time assumed of a new server, in microseconds: the mean of the known servers, or
    /// else a fraction of the shortest latency objective.
    fn initial_service_time_us(&self) -> f64 {
        let mean = self.servers.mean_service_time_us().filter(|mean| mean.is_finite());
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective);
        let shortest_objective = objectives.min().unwrap_or(0) as f64;
        mean.unwrap_or(INITIAL_SERVICE_TIME_FRACTION * shortest_objective)
    }

    /// Applies one entry. A server that has restarted since it was last listed gets a new record, which keeps
    /// only its attempts in flight.
    fn update_endpoint(&mut self, now: Micros, endpoint: Endpoint, service_time_us: f64) {
        let id = endpoint.server;
        let known = self.servers.get(id);
        let attempts_in_flight = known.map_or(0, |server| server.attempts_in_flight);
        let reported_start = endpoint.started_at;
        let is_same_process = known.is_some_and(|server| server.reported_start == reported_start);
        let endpoint =
            Endpoint { started_at: reported_start.map(|at| self.start_times.to_local(at)), ..endpoint };
        if is_same_process {
            self.servers.update(now, id, |server| server.endpoint = endpoint);
            return;
        }
        let server = Server {
            endpoint,
            reported_start,
            attempts_in_flight,
            service_time_us,
            health: OutlierState::healthy(now),
            // Random per gateway, since all gateways together send a new server the sum of their budgets.
            slow_start_budget: self.random_source.next_fraction(),
            virtual_time: self.virtual_time,
            ..Server::default()
        };
        self.servers.insert(now, server);
    }

    /// Recomputes the start times of all servers after a correction of the clock offset.
    fn correct_start_times(&mut self, now: Micros) {
        let ids: Vec<_> = self.servers.iter().map(|server| server.endpoint.server).collect();
        for id in ids {
            let start_times = &self.start_times;
            self.servers.update(now, id, |server| {
                server.endpoint.started_at = server.reported_start.map(|at| start_times.to_local(at));
            });
        }
    }
}
