//! One final answer for each request, in time, and nothing after it.

mod common;
use common::*;
use grebehook_core::*;

#[test]
fn an_unanswered_request_is_ended_before_the_client_leaves() {
    let mut rig = Rig::new(settings(), &[entry(1, 0)]);
    let (id, actions) = rig.request(0, 5, 300 * MS);
    assert_eq!(sent(&actions), Some(ServerId(1)));
    let done = rig.run_to(2 * S);
    let answers: Vec<_> =
        done.iter().filter(|(_, a)| matches!(a, Action::Reject { id: i, .. } if *i == id)).collect();
    assert_eq!(answers.len(), 1);
    assert!(answers[0].0 <= S + 300 * MS && answers[0].0 >= S + 280 * MS);
    assert!(done.contains(&(answers[0].0, Action::Cancel { id, attempt: 0 })));
    let late = rig.outcome(id, 0, ServerId(1), AttemptStatus::Cancelled);
    assert!(late.is_empty(), "nothing follows the final answer: {late:?}");
}

#[test]
fn a_request_with_no_server_is_refused_at_once() {
    let mut rig = Rig::new(settings(), &[]);
    let (_, actions) = rig.request(0, 5, S);
    assert!(refused(&actions));
}

#[test]
fn a_client_that_left_gets_nothing() {
    let mut rig = Rig::new(settings(), &[entry(1, 0)]);
    let (id, _) = rig.request(0, 5, 300 * MS);
    rig.event(Event::ClientDisconnected { id });
    let done = rig.run_to(3 * S);
    assert!(done.is_empty(), "{done:?}");
    assert!(rig.outcome(id, 0, ServerId(1), AttemptStatus::Error).is_empty());
}

#[test]
fn a_started_stream_is_left_alone() {
    let mut s = settings();
    s.classes[0].streaming = true;
    let mut rig = Rig::new(s, &[entry(1, 0)]);
    let (id, _) = rig.request(0, 5, 300 * MS);
    rig.event(Event::ResponseStarted { id });
    assert!(rig.run_to(3 * S).is_empty());
}

#[test]
fn strange_events_are_borne() {
    let mut rig = Rig::new(settings(), &[entry(1, 0)]);
    let unknown = RequestId(99);
    assert!(rig.outcome(unknown, 7, ServerId(1), AttemptStatus::Ok).is_empty());
    assert!(rig.event(Event::ClientDisconnected { id: unknown }).is_empty());
    assert!(rig.event(Event::Timer { timer: TimerId(12345) }).is_empty());
    let load = LoadReport {
        in_flight: Some(f64::NAN),
        queued: Some(-1e300),
        utilization: None,
        latency_ms: Some(f64::INFINITY),
    };
    for server in [1, 77] {
        rig.event(Event::HealthCheckCompleted {
            server: ServerId(server),
            status: AttemptStatus::Ok,
            load_report: Some(load),
        });
    }
    rig.event(Event::GossipReceived { from: 9, message: vec![1; 300] });
    rig.event(Event::GossipReceived { from: 1, message: vec![0; 3] });
    let request = |class, plan, units| {
        Event::RequestArrived(RequestArrival {
            id: RequestId(1000 + class as u64 * 10 + plan as u64),
            class,
            plan,
            customer: CustomerId(1),
            client_timeout: S,
            units,
            customer_gateway_count: 0,
            first_gateway: 9,
            is_retry: false,
            body_incomplete: false,
        })
    };
    assert!(refused(&rig.event(request(3, 0, 1.0))));
    assert!(refused(&rig.event(request(0, 3, 1.0))));
    assert!(refused(&rig.event(request(2, 2, f64::NAN))));
    assert!(sent(&rig.event(request(0, 0, 1.0))).is_some(), "a sane request still goes");
}

#[test]
fn senseless_settings_name_their_field() {
    let refusal = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Gateway::new(s, 1, 0).err().map(|e| e.field)
    };
    assert_eq!(refusal(|_| {}), None);
    assert_eq!(refusal(|s| s.classes.clear()).as_deref(), Some("classes"));
    assert_eq!(refusal(|s| s.plans.clear()).as_deref(), Some("plans"));
    assert_eq!(refusal(|s| s.plans[0].rate = -1.0).as_deref(), Some("plans[0].rate"));
    assert_eq!(
        refusal(|s| s.plans[0].hard_limit_rate = f64::NAN).as_deref(),
        Some("plans[0].hard_limit_rate")
    );
    assert_eq!(refusal(|s| s.gateway_index = 2).as_deref(), Some("gateway_index"));
    assert_eq!(refusal(|s| s.batch_interval = 0).as_deref(), Some("batch_interval"));
    assert_eq!(
        refusal(|s| s.rules.overload_multiple = f64::INFINITY).as_deref(),
        Some("rules.overload_multiple")
    );
}

/// What has gone on of a long body is at hand no more, whatever the class allows.
#[test]
fn a_request_whose_body_is_spent_is_not_sent_again() {
    let mut rig = Rig::new(settings(), &[entry(1, 0), entry(2, 0)]);
    let (id, actions) = rig.request(0, 100, 2 * S);
    let server = sent(&actions).expect("a first attempt");
    rig.event(Event::BodyConsumed { id });
    let actions = rig.outcome(id, 0, server, AttemptStatus::ConnectFailed);
    assert!(matches!(actions[..], [Action::Reject { .. }]), "{actions:?}");
}

/// A body that is still coming is no work of any server, and its request is not timed; both begin with its end.
#[test]
fn a_request_whose_body_is_coming_is_not_timed_until_it_has_come() {
    let mut rig = Rig::new(settings(), &[entry(1, 0)]);
    let id = RequestId(900);
    let actions = rig.event(Event::RequestArrived(RequestArrival {
        id,
        class: 0,
        plan: 0,
        customer: CustomerId(5),
        client_timeout: 300 * MS,
        units: 1.0,
        customer_gateway_count: 2,
        first_gateway: 0,
        is_retry: false,
        body_incomplete: true,
    }));
    assert_eq!(sent(&actions), Some(ServerId(1)));
    assert!(rig.run_to(rig.now + 3 * S).iter().all(|(_, a)| !matches!(a, Action::Reject { .. })));
    rig.event(Event::BodyComplete { id });
    let came = rig.now;
    let done = rig.run_to(came + S);
    let answered: Vec<_> = done.iter().filter(|(_, a)| matches!(a, Action::Reject { .. })).collect();
    assert_eq!(answered.len(), 1);
    assert!((280 * MS..=300 * MS).contains(&(answered[0].0 - came)));
}

/// A process told to stop answers all it holds by the time it was told, and whoever comes later by then too.
#[test]
fn whatever_is_open_when_the_process_must_end_is_answered_before() {
    let mut settings = settings();
    settings.classes.push(class(Idempotency::NonIdempotent));
    let mut rig = Rig::new(settings, &[entry(1, 0)]);
    let (safe, fragile) = (rig.request(0, 1, 2 * S), rig.request(1, 2, 2 * S));
    assert!(sent(&safe.1).is_some() && sent(&fragile.1).is_some());
    let by = rig.now + 500 * MS;
    rig.event(Event::Shutdown { deadline: by });
    rig.now += 100 * MS;
    let late = rig.request(0, 3, 2 * S);
    assert!(sent(&late.1).is_some());
    assert!(rig
        .run_to(by - 1)
        .iter()
        .all(|(_, a)| !matches!(a, Action::Reject { .. } | Action::Fail { .. })));
    let ends: Vec<_> = rig.run_to(by).into_iter().map(|(_, action)| action).collect();
    for id in [safe.0, late.0] {
        assert!(ends.iter().any(|a| matches!(a, Action::Reject { id: of, .. } if *of == id)));
    }
    assert!(ends.iter().any(|a| matches!(a, Action::Fail { id } if *id == fragile.0)), "it may have run");
    rig.now += MS;
    assert!(refused(&rig.request(0, 4, 2 * S).1), "there is no time left for another");
}
