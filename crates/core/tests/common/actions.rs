//! Queries on the actions that a gateway returns.

use grebehook_core::{Action, CounterId, ServerId};

/// A call to the shared counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterCall {
    /// Key that the call adds to.
    pub counter: CounterId,
    /// Units that the call adds.
    pub amount: f64,
}

/// Returns the destination of the first attempt among the actions.
pub fn forwarded_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

/// Returns whether one of the actions rejects a request.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// Returns whether one of the actions answers a request with a failure.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// Returns all calls to the shared counter, in order.
pub fn counter_calls(actions: &[Action]) -> Vec<CounterCall> {
    let as_call = |action: &Action| match action {
        Action::AddToCounter { counter, amount, .. } => {
            Some(CounterCall { counter: *counter, amount: *amount })
        }
        _ => None,
    };
    actions.iter().filter_map(as_call).collect()
}

/// Returns the first call to the shared counter.
pub fn counter_call(actions: &[Action]) -> Option<CounterCall> {
    counter_calls(actions).first().copied()
}
