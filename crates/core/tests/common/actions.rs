//! What a gateway's actions amount to.

use grebehook_core::{Action, CounterId, ServerId};

/// A call of the shared counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// The key.
    pub counter: CounterId,
    /// What is added to it.
    pub amount: f64,
}

/// The server that an attempt is sent to, if there is one.
pub fn forwarded_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Whether a request is rejected.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// Whether a request fails.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// All calls of the shared counter, in order.
pub fn counter_calls(actions: &[Action]) -> Vec<CounterCall> {
    let as_call = |action: &Action| match action {
        Action::AddToCounter { counter, amount, .. } => {
            Some(CounterCall { counter: *counter, amount: *amount })
        }
        _ => None,
    };
    actions.iter().filter_map(as_call).collect()
}

/// The first call of the shared counter.
pub fn counter_call(actions: &[Action]) -> Option<CounterCall> {
    counter_calls(actions).first().copied()
}
