//! Division of the memory between the two processes of an upgrade, which may use as much together as one of them alone.
//! The process that is being replaced keeps to half of it, and its successor to what that process does not use; so does
//! a process that resumes while its successor still runs. Both keep enough to serve.

use crate::clients::server::ClientServer;
use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::handover_role::HandoverRole;
use crate::lifecycle::resources::{ResourceBudget, ResourceLimits};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::info;

/// Interval at which a process looks at the memory of another one.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A process leaves 1 / `GROWTH_DIVISOR` of all memory to another one beyond what that process uses.
const GROWTH_DIVISOR: usize = 8;
/// Bytes of a unit of the memory that the kernel states.
const BYTES_PER_KIB: usize = 1 << 10;

/// Another process of the gateway, and the memory that it uses.
struct OtherProcess {
    id: u32,
    resident_bytes: usize,
}

/// Applies the limits on resources to the parts of a running gateway.
pub struct MemoryDivision {
    /// Limits while no other process of the gateway runs.
    limits: ResourceLimits,
    clients: Rc<ClientServer>,
    driver: Rc<DecisionDriver>,
    /// Whether a successor serves.
    is_handed_over: Cell<bool>,
    /// The processes to whose memory this one adapts.
    others: RefCell<Vec<OtherProcess>>,
}

impl MemoryDivision {
    /// Creates the division of a gateway's memory, with all of it for this process.
    pub fn new(
        limits: ResourceLimits,
        clients: Rc<ClientServer>,
        driver: Rc<DecisionDriver>,
    ) -> Rc<MemoryDivision> {
        let (is_handed_over, others) = (Cell::new(false), RefCell::default());
        Rc::new(MemoryDivision { limits, clients, driver, is_handed_over, others })
    }

    /// Sets whether a successor serves.
    pub fn set_handed_over(&self, is_handed_over: bool) {
        self.is_handed_over.set(is_handed_over);
        self.apply();
    }

    /// Keeps to what another process does not use, until that process has ended.
    pub fn follow(self: &Rc<Self>, id: u32, role: HandoverRole) {
        self.others.borrow_mut().push(OtherProcess { id, resident_bytes: 0 });
        let is_running = self.observe(id);
        spawn_local(self.clone().observe_until_end(id, role, is_running));
    }

    /// Adapts to the memory of another process until that process has ended.
    async fn observe_until_end(self: Rc<Self>, id: u32, role: HandoverRole, mut is_running: bool) {
        while is_running {
            sleep(CHECK_INTERVAL).await;
            is_running = self.observe(id);
        }
        info!("the {role} has ended; this process may use its memory");
    }

    /// Adapts to the memory that another process uses now. Returns whether that process is running.
    fn observe(&self, id: u32) -> bool {
        let resident_bytes = resident_bytes(id);
        self.others.borrow_mut().retain_mut(|other| {
            if other.id == id {
                other.resident_bytes = resident_bytes.unwrap_or(0);
            }
            other.id != id || resident_bytes.is_some()
        });
        self.apply();
        resident_bytes.is_some()
    }

    /// Returns the memory that this process may use.
    fn own_bytes(&self) -> usize {
        let total = self.limits.memory_bytes;
        let beside_successor = if self.is_handed_over.get() { total / 2 } else { total };
        let others = self.others.borrow();
        let left_to_others: usize =
            others.iter().map(|other| other.resident_bytes + total / GROWTH_DIVISOR).sum();
        let own = beside_successor.min(total.saturating_sub(left_to_others));
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
