//! What one process leaves to the next.

mod common;
use common::*;
use grebehook_core::*;

/// A gateway that has just started, with the same servers.
fn fresh(servers: &[Endpoint]) -> Rig {
    Rig::new(settings(), servers)
}

#[test]
fn use_and_verdicts_outlive_the_process() {
    let servers = [entry(1, 0), entry(2, 0), entry(3, 0)];
    let mut old = fresh(&servers);
    let dead = |s| if s == ServerId(1) { AttemptStatus::ConnectFailed } else { AttemptStatus::Ok };
    (0..10).for_each(|k| drop(old.play(100 + k, dead)));
    // A plan's burst is four.
    (0..4).for_each(|_| drop(old.play(5, |_| AttemptStatus::Ok)));
    let text = old.gateway.hand_over(S);
    let mut new = fresh(&servers);
    assert!(
        sent(&fresh(&servers).request(0, 5, 2 * S).1).is_some(),
        "to a process that knows nothing it is new"
    );
    new.gateway.take_over(S, &text).expect("its own text");
    assert_eq!(new.gateway.endpoint_counts(S), (3, 1));
    assert_eq!(sent(&new.request(0, 5, 2 * S).1), None);
    assert!(sent(&new.request(0, 6, 2 * S).1).is_some(), "another customer is none the worse");
}

/// A text of another version, cut short or senseless is left, and leaves nothing behind.
#[test]
fn what_cannot_be_read_changes_nothing() {
    let mut old = fresh(&[entry(1, 0)]);
    (0..4).for_each(|_| drop(old.play(5, |_| AttemptStatus::Ok)));
    let text = old.gateway.hand_over(S);
    let line = text.lines().count();
    let bad = [
        (String::new(), 1),
        (text.replacen("-2", "-1", 1), 1),
        (text.replacen("customer 5 0 ", "customer 5 7 ", 1), line),
        (text.replacen("customer 5 0 ", "customer 5 0 0 ", 1), line),
        (text.replacen("customer", "client", 1), line),
        (text.trim_end().rsplit_once(' ').expect("words").0.to_owned(), line),
        (text.replacen("server 1 1 ", "server 1 NaN ", 1), 4),
        (text.replacen("clock ", "clock -", 1), 2),
    ];
    for (text, line) in bad {
        let mut new = fresh(&[entry(1, 0)]);
        let read = new.gateway.take_over(S, &text).map_err(|e| e.line);
        assert_eq!(read, Err(line), "{text}");
        assert!(sent(&new.request(0, 5, 2 * S).1).is_some());
    }
}

/// The settings and servers of the gateway of commit 222f98f that wrote `data/handover_222f98f.txt` at 8 s.
fn gateway_of_222f98f() -> Rig {
    let mut settings = settings();
    settings.gateway_count = 20;
    settings.capabilities.shared_counter = true;
    settings.capabilities.counter_timeout = Some(80 * MS);
    settings.capabilities.usage_report_period = Some(500 * MS);
    settings.plans.push(Plan {
        rate: 5.0,
        burst: 12.5,
        hard_limit_rate: 30.0,
        hard_limit_burst: 60.0,
        hard_limit_overdraft: 5.0,
        ..plan()
    });
    let started_at = |server| (server == 6).then_some(S / 2);
    let server = |number| Endpoint { started_at: started_at(number), ..entry(number, number as u32 % 2) };
    Rig::new(settings, &(1..=6).map(server).collect::<Vec<_>>())
}

/// Customers of few and of many gateways, with and without a total of the shared counter, servers that fail,
/// reject and warm up: read, and written again, byte for byte as the version that wrote it does.
#[test]
fn a_text_of_the_version_before_is_read_in_full() {
    let mut gateway = gateway_of_222f98f().gateway;
    gateway.take_over(9 * S, include_str!("data/handover_222f98f.txt")).expect("its own format");
    assert_eq!(gateway.hand_over(9 * S), include_str!("data/handover_222f98f_read_again.txt"));
}
