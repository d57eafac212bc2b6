//! Drains, cold servers and ejection.

mod common;
use common::*;
use grebehook_core::*;

fn delta(entry: Endpoint, state: EndpointState) -> Event {
    Event::EndpointsChanged { watch_event: WatchEvent::Delta, endpoints: vec![Endpoint { state, ..entry }] }
}

#[test]
fn a_draining_or_gone_server_gets_nothing_new() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut rig = Rig::new(settings(), &[entry(1, 0), entry(2, 0)]);
        rig.event(delta(entry(1, 0), state));
        for customer in 0..8 {
            assert_eq!(rig.play(customer, |_| AttemptStatus::Ok), [ServerId(2)]);
        }
    }
}

#[test]
fn a_server_missing_from_a_complete_list_gets_nothing_new() {
    let mut rig = Rig::new(settings(), &[entry(1, 0), entry(2, 0)]);
    rig.event(Event::EndpointsChanged { watch_event: WatchEvent::Snapshot, endpoints: vec![entry(2, 0)] });
    for customer in 0..8 {
        assert_eq!(rig.play(customer, |_| AttemptStatus::Ok), [ServerId(2)]);
    }
}

/// What a request is supposed to take before any was answered refuses none, however short the aim.
#[test]
fn a_class_with_a_very_short_aim_is_served_from_the_first_request() {
    let short = Class { latency_objective: 20 * MS, deadline: 80 * MS, ..class(Idempotency::Idempotent) };
    let mut rig = Rig::new(Settings { classes: vec![short], ..settings() }, &[entry(1, 0), entry(2, 0)]);
    assert!(sent(&rig.request(0, 1, 80 * MS).1).is_some());
}

#[test]
fn a_failed_list_keeps_the_old_one_and_asks_again() {
    let mut rig = Rig::new(settings(), &[entry(1, 0)]);
    let actions = rig.event(Event::EndpointsChanged { watch_event: WatchEvent::Failed, endpoints: vec![] });
    assert_eq!(actions, [Action::PollEndpoints]);
    assert!(sent(&rig.request(0, 1, S).1).is_some());
}

/// Sends to server 2 within the window of the fall rule after it came up cold beside a warm one.
fn sends_to_a_cold_server(offered: u64) -> usize {
    let mut rig = Rig::new(Settings { gateway_count: 1, ..settings() }, &[entry(1, 0)]);
    let mut to_cold = 0;
    let mut out = std::collections::VecDeque::new();
    for k in 0..3 * offered {
        rig.run_to(S + k * 1_500 * MS / offered);
        if k == 2 * offered {
            rig.event(delta(Endpoint { started_at: Some(rig.now), ..entry(2, 0) }, EndpointState::Ready));
        }
        let (id, actions) = rig.request(0, 100 + k, 2 * S);
        let Some(server) = sent(&actions) else { continue };
        to_cold += usize::from(server == ServerId(2));
        out.push_back((id, server));
        if out.len() as u64 > 2 + k / 40 {
            let (id, server) = out.pop_front().expect("not empty");
            rig.outcome(id, 0, server, AttemptStatus::Ok);
        }
    }
    to_cold
}

#[test]
fn a_cold_server_gets_some_work_but_less_than_its_part_of_the_fall_budget() {
    let got = sends_to_a_cold_server(150);
    // A tenth of the ramp at the window's middle: 0.2 + 0.8 * 0.075 of the 150 a warm one takes, times 3.
    assert!(got >= 1 && (got as f64) < 3.0 * 0.26 * 150.0, "{got}");
}

#[test]
fn a_server_that_fails_fast_is_left_and_tried_again_later() {
    let mut rig = Rig::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    let fails_first = |s| if s == ServerId(1) { AttemptStatus::Error } else { AttemptStatus::Ok };
    let bad: usize =
        (0..60).map(|k| rig.play(100 + k, fails_first).iter().filter(|s| **s == ServerId(1)).count()).sum();
    assert!((1..=6).contains(&bad), "{bad}");
    rig.run_to(rig.now + 20 * S);
    let open: Vec<_> = (0..6).filter_map(|k| sent(&rig.request(0, 300 + k, 2 * S).1)).collect();
    assert!(open.contains(&ServerId(1)), "tried again: {open:?}");
}

/// What operators are told is the verdict that the choice of server goes by.
#[test]
fn an_ejected_server_is_told_as_long_as_it_is_avoided() {
    let mut rig = Rig::new(settings(), &[entry(1, 0), entry(2, 0), entry(3, 0)]);
    rig.event(delta(entry(3, 0), EndpointState::Draining));
    let dead = |s| if s == ServerId(1) { AttemptStatus::ConnectFailed } else { AttemptStatus::Ok };
    (0..10).for_each(|k| drop(rig.play(100 + k, dead)));
    assert_eq!(rig.gateway.endpoint_counts(rig.now), (3, 1));
    rig.run_to(rig.now + 20 * S);
    assert_eq!(rig.gateway.endpoint_counts(rig.now), (3, 0));
}

#[test]
fn when_most_servers_look_bad_no_verdict_is_trusted() {
    let mut rig = Rig::new(settings(), &[entry(1, 0), entry(2, 0)]);
    for k in 0..40 {
        rig.play(100 + k, |_| AttemptStatus::ConnectionReset);
    }
    assert_eq!(
        rig.gateway.endpoint_counts(rig.now),
        (2, 0),
        "what is not enforced_ejections is not told as such"
    );
    assert!(!rig.play(500, |_| AttemptStatus::Ok).is_empty());
}

/// Where most servers come up cold at once, what they may take is told by what a warm one takes: by the mean of
/// all, the few warm ones would be left with nearly everything.
#[test]
fn many_cold_servers_at_once_take_their_part_from_the_warm_ones() {
    let all: Vec<Endpoint> = (1..=60).map(|k| entry(k, 0)).collect();
    let mut rig = Rig::new(Settings { gateway_count: 100, ..settings() }, &all);
    let restarts = |server: u64| server % 10 > 1;
    let (mut cold, mut total) = (0, 0);
    for k in 0..600 {
        rig.run_to(S + k * 10 * MS);
        if k == 300 {
            for server in (1..=60).filter(|server| restarts(*server)) {
                rig.event(delta(
                    Endpoint { started_at: Some(rig.now), ..entry(server, 0) },
                    EndpointState::Ready,
                ));
            }
        }
        let (id, actions) = rig.request(0, 100 + k, 2 * S);
        let Some(server) = sent(&actions) else { continue };
        rig.outcome(id, 0, server, AttemptStatus::Ok);
        if k >= 300 {
            total += 1;
            cold += usize::from(restarts(server.0));
        }
    }
    assert!(cold * 20 > total * 7, "{cold} of {total}; by the mean of all it would be a third");
}
