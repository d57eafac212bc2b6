//! The list of servers as discovery tells it, and the load that servers report. Called by `choice.rs` on each
//! list, outcome and probe.

use crate::api::*;
use crate::gateway::{Actions, Gateway};
use crate::server_index::Server;

/// Part of the shortest aim: time per request held that is supposed of a server before any answer.
const START_OF_AIM: f64 = 0.05;

impl Gateway {
    /// Takes a list of servers, or the changed entries of one.
    pub(crate) fn update_servers(
        &mut self,
        now: Micros,
        kind: WatchEvent,
        entries: Vec<Endpoint>,
        out: Actions,
    ) {
        if kind == WatchEvent::Failed {
            return out.push(Action::PollEndpoints);
        }
        if self.start_times.observe(now, kind, &entries) {
            self.correct_start_times(now);
        }
        // Servers that a complete list does not name are gone.
        let gone = if kind == WatchEvent::Delta { Vec::new() } else { self.servers.unlisted(&entries) };
        for id in gone {
            self.servers.update(now, id, |x| x.endpoint.state = EndpointState::Gone);
        }
        let shortest = self.settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(0) as f64;
        let usual = self.servers.mean_service_time_us().filter(|usual| usual.is_finite());
        let item_us = usual.unwrap_or(START_OF_AIM * shortest);
        for entry in entries {
            let id = entry.server;
            let known = self.servers.get(id);
            let open = known.map_or(0, |x| x.attempts_in_flight);
            let told_start = entry.started_at;
            let entry = Endpoint { started_at: told_start.map(|at| self.start_times.local(at)), ..entry };
            if known.is_some_and(|x| x.reported_start == told_start) {
                self.servers.update(now, id, |x| x.endpoint = entry);
                continue;
            }
            // Gateways start at odds here too: together they send a cold server what their subsets add up to.
            let (cold_budget, turn) = (self.random_source.next_fraction(), self.virtual_time);
            let fresh = Server {
                endpoint: entry,
                reported_start: told_start,
                attempts_in_flight: open,
                service_time_us: item_us,
                success_rate: 1.0,
                slow_start_budget: cold_budget,
                virtual_time: turn,
                ..Server::default()
            };
            self.servers.insert(now, Server { last_outcome_at: now, ..fresh });
        }
        self.servers.remove_vacated();
    }

    /// Brings the starts of all servers in line with what is now known of this process's clock.
    fn correct_start_times(&mut self, now: Micros) {
        let servers: Vec<ServerId> = self.servers.iter().map(|x| x.endpoint.server).collect();
        for id in servers {
            let start_times = &self.start_times;
            self.servers.update(now, id, |x| {
                x.endpoint.started_at = x.reported_start.map(|at| start_times.local(at))
            });
        }
    }

    /// Takes the load that a server reports.
    pub(crate) fn apply_load_report(&mut self, now: Micros, server: ServerId, load: Option<LoadReport>) {
        let Some(load) = load else { return };
        let gateways = self.settings.gateway_count as f64;
        let senders = self.senders_per_server();
        self.servers.update(now, server, |x| {
            let held = load
                .in_flight
                .map(|l| l - f64::from(x.attempts_in_flight))
                .or(load.queued.map(|l| l - l / gateways));
            let Some(held) = held.filter(|h| h.is_finite()) else { return };
            // All that send there act on the same report: each makes up for its part of a difference alone.
            x.peers_in_flight = held.max(0.0) / (senders - 1.0).max(1.0);
            x.load_reported_at = now;
        });
    }
}
