//! The list of servers as discovery tells it, and the load that servers report. Called by `choice.rs` on each
//! list, outcome and probe.

use crate::api::*;
use crate::gateway::{Gateway, Out};
use crate::server_index::Server;

/// Part of the shortest aim: time per request held that is supposed of a server before any answer.
const START_OF_AIM: f64 = 0.05;

impl Gateway {
    /// Takes a list of servers, or the changed entries of one.
    pub(crate) fn update_servers(&mut self, now: Micros, kind: WatchEvent, entries: Vec<Endpoint>, out: Out) {
        if kind == WatchEvent::Failed {
            return out.push(Action::PollEndpoints);
        }
        if self.start_times.observe(now, kind, &entries) {
            self.correct_starts(now);
        }
        // Servers that a complete list does not name are gone.
        let gone = if kind == WatchEvent::Delta { Vec::new() } else { self.servers.unlisted(&entries) };
        for id in gone {
            self.servers.update(now, id, |x| x.entry.state = EndpointState::Gone);
        }
        let shortest = self.settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(0) as f64;
        let usual = self.servers.mean_item_us().filter(|usual| usual.is_finite());
        let item_us = usual.unwrap_or(START_OF_AIM * shortest);
        for entry in entries {
            let id = entry.server;
            let known = self.servers.get(id);
            let open = known.map_or(0, |x| x.open);
            let told_start = entry.started_at;
            let entry = Endpoint { started_at: told_start.map(|at| self.start_times.local(at)), ..entry };
            if known.is_some_and(|x| x.told_start == told_start) {
                self.servers.update(now, id, |x| x.entry = entry);
                continue;
            }
            // Gateways start at odds here too: together they send a cold server what their subsets add up to.
            let (cold_budget, turn) = (self.random_source.next_fraction(), self.turn);
            let fresh =
                Server { entry, told_start, open, item_us, ok: 1.0, cold_budget, turn, ..Server::default() };
            self.servers.insert(now, Server { judged: now, ..fresh });
        }
        self.servers.remove_vacated();
    }

    /// Brings the starts of all servers in line with what is now known of this process's clock.
    fn correct_starts(&mut self, now: Micros) {
        let servers: Vec<ServerId> = self.servers.iter().map(|x| x.entry.server).collect();
        for id in servers {
            let start_times = &self.start_times;
            self.servers
                .update(now, id, |x| x.entry.started_at = x.told_start.map(|at| start_times.local(at)));
        }
    }

    /// Takes the load that a server reports.
    pub(crate) fn report(&mut self, now: Micros, server: ServerId, load: Option<LoadReport>) {
        let Some(load) = load else { return };
        let gateways = self.settings.gateway_count as f64;
        let senders = self.senders_per_server();
        self.servers.update(now, server, |x| {
            let held =
                load.in_flight.map(|l| l - f64::from(x.open)).or(load.queued.map(|l| l - l / gateways));
            let Some(held) = held.filter(|h| h.is_finite()) else { return };
            // All that send there act on the same report: each makes up for its part of a difference alone.
            x.others = held.max(0.0) / (senders - 1.0).max(1.0);
            x.reported = now;
        });
    }
}
