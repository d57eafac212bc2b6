//! Division of the memory between the two processes of an upgrade, which may use as much together as one of them alone.
//! The process that is being replaced keeps to half of it, and its successor to what that process does not use. Both
//! keep enough to serve.

use crate::clients::server::ClientServer;
use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::resources::{ResourceBudget, ResourceLimits};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::info;

/// Interval at which a successor looks at the memory of its predecessor.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A successor leaves 1 / `GROWTH_DIVISOR` of all memory to its predecessor beyond what that process uses.
const GROWTH_DIVISOR: usize = 8;
/// Bytes of a unit of the memory that the kernel states.
const BYTES_PER_KIB: usize = 1 << 10;

/// Applies the limits on resources to the parts of a running gateway.
pub struct MemoryDivision {
    /// Limits while no other process of the gateway runs.
    limits: ResourceLimits,
    clients: Rc<ClientServer>,
    driver: Rc<DecisionDriver>,
    /// Whether a successor runs.
    is_handed_over: Cell<bool>,
    /// Memory that the predecessor uses; `None` if there is none.
    predecessor_bytes: Cell<Option<usize>>,
}

impl MemoryDivision {
    /// Creates the division of a gateway's memory, with all of it for this process.
    pub fn new(
        limits: ResourceLimits,
        clients: Rc<ClientServer>,
        driver: Rc<DecisionDriver>,
    ) -> Rc<MemoryDivision> {
        let (is_handed_over, predecessor_bytes) = (Cell::new(false), Cell::new(None));
        Rc::new(MemoryDivision { limits, clients, driver, is_handed_over, predecessor_bytes })
    }

    /// Sets whether a successor runs.
    pub fn set_handed_over(&self, is_handed_over: bool) {
        self.is_handed_over.set(is_handed_over);
        self.apply();
    }

    /// Keeps to what the predecessor does not use, until that process has ended.
    pub fn follow_predecessor(self: &Rc<Self>, process: u32) {
        self.observe(process);
        spawn_local(self.clone().observe_until_end(process));
    }

    /// Adapts to the memory of the predecessor until that process has ended.
    async fn observe_until_end(self: Rc<Self>, process: u32) {
        while self.predecessor_bytes.get().is_some() {
            sleep(CHECK_INTERVAL).await;
            self.observe(process);
        }
        info!("the predecessor has ended; this process may use all of the memory");
    }

    /// Adapts to the memory that the predecessor uses now.
    fn observe(&self, process: u32) {
        self.predecessor_bytes.set(resident_bytes(process));
        self.apply();
    }

    /// Returns the memory that this process may use.
    fn own_bytes(&self) -> usize {
        let total = self.limits.memory_bytes;
        let beside_successor = if self.is_handed_over.get() { total / 2 } else { total };
        let left_to_predecessor =
            self.predecessor_bytes.get().map_or(0, |used| used + total / GROWTH_DIVISOR);
        let own = beside_successor.min(total.saturating_sub(left_to_predecessor));
        own.max(self.limits.least_memory_bytes())
    }

    /// Divides the memory that this process may use among the parts of the gateway.
    fn apply(&self) {
        let budget = ResourceBudget::new(ResourceLimits { memory_bytes: self.own_bytes(), ..self.limits });
        self.clients.set_limits(budget.client_connections, budget.request_bytes);
        self.driver.set_server_limits(budget.server_connections, budget.response_bytes);
    }
}

/// Returns the memory that a process uses, or `None` if it has ended.
fn resident_bytes(process: u32) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}
