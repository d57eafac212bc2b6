//! Tests of the protocol in both directions, with example lines.

use grebehook_simulator_adapter::InstanceHost;
use serde_json::{json, Value};

/// Returns a settings object that the decision core accepts.
fn settings() -> Value {
    json!({
        "az": 0, "me": 0, "siblings": 2, "tickUs": 2000, "discovery": "push", "unknown_key": [1],
        "classes": [{"aimUs": 600000, "deadlineUs": 2000000, "group": "all", "lateWorth": 0.2, "name": "c",
                     "semantics": "retryable", "stream": true, "value": 2.0, "windowUs": 1000000}],
        "plans": [{"ceilingRate": 0.0, "concurrency": 0, "depth": 12.0, "excessCost": 1.0, "excessWorth": 0.0,
                   "name": "p", "neverOverDepth": 0.0, "rate": 2.7, "tolerance": 0.0, "valueFactor": 1.1}],
        "familyInfo": {"countFee": 0.0, "countLimitUs": 80000, "mailPerS": 40.0, "maxUnits": 1,
                       "meterUs": 500000, "sharedCounter": true, "truedUp": false},
        "limits": {"attemptsCap": 4, "cancel": true, "maxRetryAfterUs": 1000000, "mayProbe": true,
                   "peers": true, "retryAfter": true, "secondCopies": false},
        "rules": {"coldFrom": 0.15, "fallMultiple": 3.0, "graceToAnswerUs": 8000, "tipAfterUs": 1500000,
                  "warmAfterUs": 17000000, "askEveryUs": 10000000, "drainGraceUs": 500000},
        "stats": {"columns": ["outstanding", "recent_ms", "unknown_column"], "how": "probe"},
    })
}

/// Handles one batch and returns the messages of its reply.
fn handle_batch(host: &mut InstanceHost, now: u64, items: Value) -> Vec<Value> {
    let line = json!({"atTimeUs": now, "serial": 7, "items": items}).to_string();
    let reply: Value = serde_json::from_str(&host.handle_batch(&line).expect("the batch is handled"))
        .expect("the reply is JSON");
    assert_eq!(reply["serial"], 7);
    reply["out"].as_array().expect("'out' is an array").clone()
}

/// Starts an instance with two servers. Returns its host and the messages of the reply.
fn start_instance(settings: Value) -> (InstanceHost, Vec<Value>) {
    let mut host = InstanceHost::default();
    let endpoints = json!([[0, 1, null, 1, 0, 0, "10.0.0.1:7000"], [0, 1, 5, 1.5, 0, 1, "node-b"]]);
    let out = handle_batch(
        &mut host,
        1_000_000,
        json!([["launch", 3, 99, settings], ["targets", 3, 4, 1, endpoints]]),
    );
    (host, out)
}

/// Returns the item for the arrival of a client's request.
fn request_arrived(id: &str) -> Value {
    json!(["demand", 3, id, 0, 0, "91f03b7c55d20a64", 2000000, 1, 2, 0, 0])
}

/// Returns the first action with the given wire name.
fn find_action<'a>(out: &'a [Value], wire_name: &str) -> Option<&'a Value> {
    out.iter().find(|action| action[0] == wire_name)
}

#[test]
fn empty_batch_gets_an_empty_reply() {
    assert!(handle_batch(&mut InstanceHost::default(), 5, json!([])).is_empty());
}

/// Handles a batch and replies to the resulting calls to the shared counter. Returns the messages of both
/// replies.
fn handle_batch_and_counter_calls(host: &mut InstanceHost, now: u64, items: Value) -> Vec<Value> {
    let mut out = handle_batch(host, now, items);
    let calls = out.iter().filter(|action| action[0] == "bump");
    let replies = calls.map(|call| json!(["counterReply", 3, call[2], "OK", call[3], 2150])).collect();
    out.extend(handle_batch(host, now + 2_000, Value::Array(replies)));
    out
}

#[test]
fn request_is_forwarded_under_its_wire_name() {
    let (mut host, out) = start_instance(settings());
    assert!(find_action(&out, "probe").is_none() && find_action(&out, "wakeAt").is_some());
    let out = handle_batch_and_counter_calls(&mut host, 1_001_000, json!([request_arrived("r-a")]));
    let send = find_action(&out, "send").expect("the request is sent");
    assert_eq!((&send[1], &send[2]), (&json!(3), &json!("r-a")));
    assert!(send[3] == "10.0.0.1:7000" || send[3] == "node-b");
    assert!(send[4].as_u64().is_some_and(|timeout| timeout > 0 && timeout <= 2_000_000));
}

#[test]
fn every_attempt_status_is_decoded() {
    for verdict in [
        "OK",
        "INTERNAL",
        "RESOURCE_EXHAUSTED",
        "DEADLINE_EXCEEDED",
        "UNAVAILABLE",
        "ABORTED",
        "CANCELLED",
        "TOO_LATE",
    ] {
        let (mut host, _) = start_instance(settings());
        let out = handle_batch_and_counter_calls(&mut host, 1_001_000, json!([request_arrived("r-a")]));
        let server = find_action(&out, "send").expect("the request is sent")[3].clone();
        let completed =
            json!(["finished", 3, "r-a", 0, server, verdict, 9000, verdict == "OK", 86, 3, [4, 12.5, 1]]);
        let out = handle_batch(&mut host, 1_010_000, json!([completed]));
        let answered_or_retried = find_action(&out, "send").is_some() || find_action(&out, "shed").is_some();
        assert_eq!(answered_or_retried, verdict != "OK", "{verdict}: {out:?}");
    }
}

#[test]
fn timer_starts_health_checks_and_gossip_and_all_replies_are_decoded() {
    let (mut host, out) = start_instance(settings());
    let timer = find_action(&out, "wakeAt").expect("a timer is set").clone();
    let more_requests: Vec<_> = (0..30).map(|k| request_arrived(&format!("r-{k}"))).collect();
    let first_out = handle_batch_and_counter_calls(
        &mut host,
        1_001_000,
        json!([request_arrived("r-a"), request_arrived("r-b")]),
    );
    handle_batch_and_counter_calls(&mut host, 1_005_000, Value::Array(more_requests));
    let out = handle_batch(
        &mut host,
        timer[2].as_u64().expect("the timer has a time"),
        json!([["due", 3, timer[3]]]),
    );
    let health_check = find_action(&out, "probe").expect("a health check is sent");
    assert!(health_check[2] == "10.0.0.1:7000" || health_check[2] == "node-b");
    let gossip = find_action(&out, "publish").expect("a gossip message is sent");
    assert_eq!(gossip[2], 1);
    let counter_call = find_action(&first_out, "bump").expect("the shared counter is called");
    assert_eq!((counter_call[2].as_str(), counter_call[3].as_f64()), (Some("91f03b7c55d20a64"), Some(1.0)));
    assert!(counter_call[4].as_u64().is_some_and(|ttl| ttl <= 60_000_000));
    let replies = json!([
        ["checkResult", 3, 1400, health_check[2], "OK", [7, 14.5, 0]],
        ["counterReply", 3, counter_call[2], "OK", 2, 2150],
        ["counterReply", 3, counter_call[2], "DEADLINE_EXCEEDED", null, 80000],
        ["peerData", 3, 1, gossip[3]],
        ["established", 3, "r-a", 0, "node-b", 9250],
        ["gone", 3, "r-b"],
        ["gone", 3, "r-never-seen"],
    ]);
    assert!(find_action(&handle_batch(&mut host, 1_200_000, replies), "internalError").is_none());
}

#[test]
fn unknown_events_are_skipped_and_the_others_are_handled() {
    let (mut host, _) = start_instance(settings());
    let out = handle_batch_and_counter_calls(
        &mut host,
        1_001_000,
        json!([["unknown_event", 3, {}], request_arrived("r-a"), request_arrived("r-b")]),
    );
    assert_eq!(out.iter().filter(|action| action[0] == "send").count(), 2);
}

#[test]
fn events_of_a_retired_instance_are_ignored() {
    let (mut host, _) = start_instance(settings());
    assert!(handle_batch(&mut host, 1_001_000, json!([["retire", 3], request_arrived("r-a")])).is_empty());
}

#[test]
fn rejected_settings_are_reported_as_an_internal_error_with_the_field() {
    let mut rejected = settings();
    rejected["plans"][0]["rate"] = json!(-1.0);
    let (_, out) = start_instance(rejected);
    assert_eq!(out, [json!(["internalError", 3, "settings: plans[0].rate is negative or not finite"])]);
    let mut malformed = settings();
    malformed["classes"][0]["aimUs"] = json!("soon");
    let (_, out) = start_instance(malformed);
    assert_eq!(out, [json!(["internalError", 3, "settings: classes[0].aimUs is no number"])]);
}

#[test]
fn error_of_a_malformed_batch_contains_its_serial_number_and_the_field() {
    let mut host = InstanceHost::default();
    assert!(host.handle_batch("hello").is_err_and(|error| error.to_string().contains("not a batch")));
    let error = host.handle_batch("{\"serial\":4,\"items\":[]}").unwrap_err().to_string();
    assert!(error.contains("batch 4") && error.contains("atTimeUs"), "{error}");
    let (mut host, _) = start_instance(settings());
    let line = json!({"atTimeUs": 9, "serial": 8, "items": [["demand", 3, 17]]}).to_string();
    let error = host.handle_batch(&line).unwrap_err().to_string();
    assert!(error.contains("batch 8") && error.contains("demand") && error.contains("call"), "{error}");
}

/// Runs the program on an input. Returns its exit code, standard output and standard error.
fn run_program(input: &str) -> (Option<i32>, String, String) {
    use std::io::Write;
    use std::process::{Command, Stdio};
    let mut child = Command::new(env!("CARGO_BIN_EXE_grebehook-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input.as_bytes())
        .expect("the input is written");
    let output = child.wait_with_output().expect("the program exits");
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[test]
fn program_succeeds_at_the_end_of_input_and_fails_on_a_malformed_batch() {
    let (code, out, err) = run_program("{\"atTimeUs\":5,\"serial\":1,\"items\":[]}\n");
    assert_eq!((code, err.as_str()), (Some(0), ""));
    assert_eq!(
        serde_json::from_str::<Value>(&out).expect("the reply is JSON"),
        json!({"serial": 1, "out": []})
    );
    let (code, out, err) = run_program("nonsense\n");
    assert_eq!((code, out.as_str()), (Some(1), ""));
    assert!(err.contains("not a batch"), "{err}");
}
