//! Servers on simulated time, each with a number of workers, a bounded queue and slow start. Servers can
//! stop.

use crate::experiment::Backend;
use crate::settings::micros_from_milliseconds;
use grebehook_core::{AttemptStatus, Micros, ProtocolRules};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Response of a server to a request that reaches it.
#[derive(Clone, Copy, Debug)]
pub struct ServerResponse {
    /// Time of the response, in microseconds.
    pub at: Micros,
    /// Status with which the attempt ends.
    pub status: AttemptStatus,
}

/// State of one server.
#[derive(Clone, Debug)]
pub struct Server {
    /// Time from which each worker is idle, in microseconds.
    workers_idle_at: Vec<Micros>,
    /// Number of stops; responses of earlier incarnations are never delivered.
    pub incarnation: u32,
    /// Whether the server is running.
    pub running: bool,
    /// Time of the last start, in microseconds; 0 for a server that has long been warm.
    pub started_at: Micros,
}

/// Servers of the fleet.
pub struct Servers {
    servers: Vec<Server>,
    /// Mean service time of a warm server, in microseconds.
    mean_service_time_us: f64,
    /// Largest number of requests that wait for a worker.
    max_queued: usize,
    /// Protocol rules, which include the parameters of slow start.
    rules: ProtocolRules,
}

impl Servers {
    /// Returns servers that are all running and warm.
    pub fn new(count: usize, backend: &Backend, rules: ProtocolRules) -> Servers {
        let server = Server {
            workers_idle_at: vec![0; backend.concurrency],
            incarnation: 0,
            running: true,
            started_at: 0,
        };
        Servers {
            servers: vec![server; count],
            mean_service_time_us: micros_from_milliseconds(backend.service_milliseconds) as f64,
            max_queued: backend.queue,
            rules,
        }
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns the state of one server.
    pub fn get(&self, server: usize) -> &Server {
        &self.servers[server]
    }

    /// Stops a server; its requests get no response.
    pub fn stop(&mut self, server: usize) {
        let server = &mut self.servers[server];
        server.running = false;
        server.incarnation += 1;
    }

    /// Starts a server, which then has to warm up.
    pub fn start(&mut self, now: Micros, server: usize) {
        let server = &mut self.servers[server];
        server.running = true;
        server.started_at = now;
        server.workers_idle_at.fill(now);
    }

    /// Serves or rejects a request that reaches a running server. Service times are exponentially
    /// distributed.
    pub fn serve(&mut self, arrives_at: Micros, server: usize, rng: &mut ChaCha8Rng) -> ServerResponse {
        let mean_us = self.mean_service_time_us / self.slow_start_factor(arrives_at, server);
        let max_queued = self.max_queued as f64;
        let rejected = ServerResponse { at: arrives_at, status: AttemptStatus::Rejected };
        let workers = &mut self.servers[server].workers_idle_at;
        let max_wait_us = max_queued * mean_us / workers.len() as f64;
        let Some(idle_at) = workers.iter_mut().min() else { return rejected };
        let begins_at = arrives_at.max(*idle_at);
        if (begins_at - arrives_at) as f64 > max_wait_us {
            return rejected;
        }
        let draw: f64 = rng.random();
        let at = begins_at + (-(1.0 - draw).ln() * mean_us) as Micros;
        *idle_at = at;
        ServerResponse { at, status: AttemptStatus::Ok }
    }

    /// Returns the share of its full capacity that a server has during slow start.
    fn slow_start_factor(&self, now: Micros, server: usize) -> f64 {
        let started_at = self.servers[server].started_at;
        if started_at == 0 {
            return 1.0;
        }
        let warmed_up = now.saturating_sub(started_at) as f64 / self.rules.warm_up as f64;
        (self.rules.initial_capacity + (1.0 - self.rules.initial_capacity) * warmed_up).min(1.0)
    }
}
