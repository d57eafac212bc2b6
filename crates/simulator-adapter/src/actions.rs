//! Encodes actions of the decision core as messages of the simulator's protocol.

use crate::names::WireNames;
use base64::{prelude::BASE64_STANDARD, Engine};
use grebehook_core::{Action, RequestId};
use serde_json::{json, Value};

/// Returns the message for an action, or `None` if the action refers to a server or request without a known
/// wire name. Updates `names` for started attempts and final answers.
pub(crate) fn encode(names: &mut WireNames, instance_id: u64, action: &Action) -> Option<Value> {
    let request_name = |id: RequestId| names.request_name(id);
    Some(match action {
        Action::Send { id, server, timeout } => {
            let server = names.servers.get(server)?;
            let message = json!(["send", instance_id, request_name(*id)?, server, timeout]);
            names.record_attempt_started(*id);
            message
        }
        Action::Reject { id, retry_after, .. } => {
            let message = json!(["shed", instance_id, request_name(*id)?, retry_after.unwrap_or(0)]);
            names.record_request_finished(*id);
            message
        }
        Action::Fail { id, .. } => {
            let message = json!(["reportFailure", instance_id, request_name(*id)?]);
            names.record_request_finished(*id);
            message
        }
        Action::Cancel { id, attempt } => json!(["cancel", instance_id, request_name(*id)?, attempt]),
        Action::Timer { at, timer } => json!(["wakeAt", instance_id, at, timer.0.to_string()]),
        Action::CheckHealth { server } => json!(["probe", instance_id, names.servers.get(server)?]),
        Action::SendGossip { to, message } => {
            json!(["publish", instance_id, to, BASE64_STANDARD.encode(message)])
        }
        Action::PollEndpoints => json!(["watch", instance_id, true]),
        Action::AddToCounter { counter, amount, ttl } => {
            json!(["bump", instance_id, format!("{:x}", counter.0), amount, ttl])
        }
        Action::Log { text } => json!(["debug", instance_id, text]),
    })
}
