//! The default configuration of a small deployment, with quotas so high that no test reaches them by
//! accident.

use super::endpoint::{Endpoint, LOCAL_ZONE, REMOTE_ZONE};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Returns the configuration of a gateway with the address of its discovery agent and its initial endpoints.
pub fn configuration(agent: SocketAddr, initial_endpoints: &[Endpoint]) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": agent.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "snapshot": true, "endpoints": initial_endpoints}, "settings": settings()})
}

/// Returns the settings that all gateways of the deployment share.
fn settings() -> Value {
    let classes =
        [class("claim-status", "retryable"), class("loss-notice", "dedup"), class("payout", "fragile")];
    json!({"me": 0, "siblings": 1, "az": 0, "tickUs": 2_000, "zones": [LOCAL_ZONE, REMOTE_ZONE],
        "classes": classes,
        "plans": [plan()],
        "limits": {"attemptsCap": 5, "cancel": true, "connIdleUs": 15_000_000,
            "connectTimeoutUs": 250_000, "maxRetryAfterUs": 1_000_000, "mayProbe": true, "peers": false,
            "retryAfter": true, "secondCopies": false},
        "familyInfo": {"mailPerS": 40.0, "maxUnits": 20, "meterUs": 1_000_000, "sharedCounter": false,
            "truedUp": false},
        "rules": {"coldFrom": 0.28, "warmAfterUs": 17_000_000, "fallMultiple": 2.0, "tipAfterUs": 1_000_000,
            "graceToAnswerUs": 8_000},
        "stats": {"columns": ["recent_ms", "backlog"], "how": "answers"}, "discovery": "push"})
}

/// Returns a request class.
fn class(name: &str, semantics: &str) -> Value {
    json!({"name": name, "aimUs": 400_000, "deadlineUs": 2_000_000, "lateWorth": 0.2, "value": 3.0,
           "semantics": semantics, "group": "zone", "windowUs": 1_500_000, "stream": false})
}

/// Returns the plan of all customers.
fn plan() -> Value {
    json!({"name": "basico", "rate": 1000.0, "depth": 1000.0, "concurrency": 0, "valueFactor": 1.0,
        "excessWorth": 0.0, "excessCost": 0.5, "ceilingRate": 0.0, "neverOverDepth": 0.0, "tolerance": 0.0})
}
