//! Serving of clients until a stop signal, with hand-over to successor processes.

use crate::clients::server::ClientServer;
use crate::driver::decision_driver::DecisionDriver;
use crate::lifecycle::handover_role::HandoverRole;
use crate::lifecycle::shared_memory::MemoryDivision;
use crate::lifecycle::signals::StopSignal;
use crate::lifecycle::successor_listeners::SuccessorListeners;
use crate::lifecycle::takeover;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::task::JoinError;
use tracing::warn;

/// Outcome of serving: when it ended, and whether a successor process has taken over.
pub struct ServingEnd {
    /// Time at which the stop signal arrived.
    pub signalled_at: Instant,
    /// Whether a successor process has taken over the listener and accepts clients.
    pub is_handed_over: bool,
}

/// Accepts clients until a stop signal arrives. Pauses while a successor process accepts them, and resumes if
/// that process ends first.
pub async fn serve_until_stopped(
    clients: &Rc<ClientServer>,
    driver: &Rc<DecisionDriver>,
    memory: &Rc<MemoryDivision>,
    listener: &TcpListener,
    successors: &mut SuccessorListeners,
    stop: &mut StopSignal,
) -> Result<ServingEnd, JoinError> {
    loop {
        let mut successor = tokio::select! {
            () = clients.accept(listener) => {
                return Ok(ServingEnd { signalled_at: Instant::now(), is_handed_over: false });
            }
            signalled_at = &mut *stop => {
                return Ok(ServingEnd { signalled_at: signalled_at?, is_handed_over: false });
            }
            successor = successors.accept_successor() => successor,
        };
        clients.set_handed_over(true);
        memory.set_handed_over(true);
        let error = tokio::select! {
            error = takeover::hand_over(&mut successor, listener, driver) => error,
            signalled_at = &mut *stop => {
                return Ok(ServingEnd { signalled_at: signalled_at?, is_handed_over: true });
            }
        };
        let ended = takeover::peer_process(successor.get_ref());
        tokio::select! {
            () = successors.reclaim(ended) => {}
            signalled_at = &mut *stop => {
                return Ok(ServingEnd { signalled_at: signalled_at?, is_handed_over: true });
            }
        }
        warn!(%error, "the successor process ended; continuing to accept clients");
        // It no longer serves, but may still be delivering responses.
        if let Some(process) = ended {
            memory.follow(process, HandoverRole::Successor);
        }
        memory.set_handed_over(false);
        clients.set_handed_over(false);
    }
}
