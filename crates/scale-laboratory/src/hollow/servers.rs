//! Servers on simulated time: a few requests at once, a short queue, a cold start, and loss.

use crate::experiment::Backend;
use crate::settings::micros;
use grebehook_core::{AttemptStatus, Micros, ProtocolRules};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How a server takes a request that reaches it.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// When it answers.
    pub finishes: Micros,
    /// How.
    pub status: AttemptStatus,
}

/// One server.
#[derive(Clone, Debug)]
pub struct Server {
    /// When each of its places is free.
    places: Vec<Micros>,
    /// Counts its losses: an answer of an earlier life never comes.
    pub epoch: u32,
    /// Whether it is there.
    pub present: bool,
    /// When it last started; 0 means long past.
    pub ready_at: Micros,
}

/// All servers.
pub struct Servers {
    list: Vec<Server>,
    mean: f64,
    queue: usize,
    rules: ProtocolRules,
}

impl Servers {
    /// So many warm servers.
    pub fn new(count: usize, backend: &Backend, rules: ProtocolRules) -> Servers {
        let server = Server { places: vec![0; backend.concurrency], epoch: 0, present: true, ready_at: 0 };
        let mean = micros(backend.service_milliseconds) as f64;
        Servers { list: vec![server; count], mean, queue: backend.queue, rules }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// One server.
    pub fn get(&self, server: usize) -> &Server {
        &self.list[server]
    }

    /// A server vanishes.
    pub fn lose(&mut self, server: usize) {
        let lost = &mut self.list[server];
        lost.present = false;
        lost.epoch += 1;
    }

    /// A server starts, cold.
    pub fn restore(&mut self, now: Micros, server: usize) {
        let restored = &mut self.list[server];
        restored.present = true;
        restored.ready_at = now;
        restored.places.fill(now);
    }

    /// A request reaches a server that is there.
    pub fn take(&mut self, arrives: Micros, server: usize, rng: &mut ChaCha8Rng) -> Service {
        let speed = self.speed(arrives, server);
        let (mean, queue) = (self.mean / speed, self.queue);
        let places = &mut self.list[server].places;
        let count = places.len() as f64;
        let Some(place) = places.iter_mut().min() else {
            return Service { finishes: arrives, status: AttemptStatus::Rejected };
        };
        let starts = arrives.max(*place);
        if (starts - arrives) as f64 > queue as f64 * mean / count {
            return Service { finishes: arrives, status: AttemptStatus::Rejected };
        }
        // Exponentially distributed around the mean.
        let draw: f64 = rng.random();
        let finishes = starts + (-(1.0 - draw).ln() * mean) as Micros;
        *place = finishes;
        Service { finishes, status: AttemptStatus::Ok }
    }

    /// Share of its capacity that a server has, while it warms up.
    fn speed(&self, now: Micros, server: usize) -> f64 {
        let ready_at = self.list[server].ready_at;
        if ready_at == 0 {
            return 1.0;
        }
        let warm = now.saturating_sub(ready_at) as f64 / self.rules.warm_up as f64;
        (self.rules.initial_capacity + (1.0 - self.rules.initial_capacity) * warm).min(1.0)
    }
}
