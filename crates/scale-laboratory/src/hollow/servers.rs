//! Servers on simulated time: a few requests at once, a short queue, slow start, and loss.

use crate::experiment::Backend;
use crate::settings::micros;
use grebehook_core::{AttemptStatus, Micros, ProtocolRules};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How a server responds to a request that reaches it.
#[derive(Clone, Copy, Debug)]
pub struct ServerResponse {
    /// When.
    pub at: Micros,
    /// With which status.
    pub status: AttemptStatus,
}

/// One server.
#[derive(Clone, Debug)]
pub struct Server {
    /// When each of its workers is idle.
    workers_idle_at: Vec<Micros>,
    /// Counts its stops: a response of an earlier incarnation never comes.
    pub incarnation: u32,
    /// Whether it runs.
    pub running: bool,
    /// When it last started; 0 if that was long ago.
    pub started_at: Micros,
}

/// All servers.
pub struct Servers {
    /// The servers by their numbers.
    servers: Vec<Server>,
    /// Mean service time of a warm server, microseconds.
    mean_service_time_us: f64,
    /// Requests that may wait for a worker.
    queue_length: usize,
    /// The figures of slow start.
    rules: ProtocolRules,
}

impl Servers {
    /// Warm servers.
    pub fn new(count: usize, backend: &Backend, rules: ProtocolRules) -> Servers {
        let server = Server {
            workers_idle_at: vec![0; backend.concurrency],
            incarnation: 0,
            running: true,
            started_at: 0,
        };
        Servers {
            servers: vec![server; count],
            mean_service_time_us: micros(backend.service_milliseconds) as f64,
            queue_length: backend.queue,
            rules,
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// One server.
    pub fn get(&self, server: usize) -> &Server {
        &self.servers[server]
    }

    /// A server stops; its requests get no response.
    pub fn stop(&mut self, server: usize) {
        let server = &mut self.servers[server];
        server.running = false;
        server.incarnation += 1;
    }

    /// A server starts, and has to warm up.
    pub fn start(&mut self, now: Micros, server: usize) {
        let server = &mut self.servers[server];
        server.running = true;
        server.started_at = now;
        server.workers_idle_at.fill(now);
    }

    /// A request reaches a server that runs. Service times are exponentially distributed around the mean.
    pub fn serve(&mut self, arrives_at: Micros, server: usize, rng: &mut ChaCha8Rng) -> ServerResponse {
        let mean_us = self.mean_service_time_us / self.slow_start_factor(arrives_at, server);
        let queue_length = self.queue_length as f64;
        let rejected = ServerResponse { at: arrives_at, status: AttemptStatus::Rejected };
        let workers = &mut self.servers[server].workers_idle_at;
        let max_wait_us = queue_length * mean_us / workers.len() as f64;
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

    /// Share of its capacity that a server has.
    fn slow_start_factor(&self, now: Micros, server: usize) -> f64 {
        let started_at = self.servers[server].started_at;
        if started_at == 0 {
            return 1.0;
        }
        let warmed_up = now.saturating_sub(started_at) as f64 / self.rules.warm_up as f64;
        (self.rules.initial_capacity + (1.0 - self.rules.initial_capacity) * warmed_up).min(1.0)
    }
}
