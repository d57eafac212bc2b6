//! Start and stop.

use crate::rig::*;
use serde_json::json;
use std::io::Read;
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[test]
fn a_malformed_configuration_ends_the_program_with_one_line() {
    let agent = Agent::start(Vec::new());
    let good = config(&agent, &[]).to_string();
    let bad = [
        "{".to_owned(),
        "[]".to_owned(),
        good.replacen("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":12", 1),
        good.replacen("127.0.0.1:0", "nowhere", 1),
        good.replacen("\"tickUs\":2000", "\"tickUs\":0", 1),
        good.replacen("\"classes\"", "\"kinds\"", 1),
        good.replacen("\"connIdleUs\"", "\"idle\"", 1),
        good.replacen("\"endpoints\"", "\"servers\"", 1),
    ];
    for text in bad {
        assert_ne!(text, good);
        let mut child = launch(&text);
        let mut log = String::new();
        child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
        assert!(!child.wait().unwrap().success(), "{text} was taken");
        assert_eq!(log.lines().count(), 1, "{log}");
    }
}

/// At a planned restart nothing that was taken is lost, who still comes is served, and the exit is clean.
#[test]
fn a_gateway_told_to_stop_answers_all_it_holds() {
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let server = Server::start(move |n| {
        if n == 1 {
            wait.lock().unwrap().recv().unwrap();
        }
        Does::Answers("200 OK", b"done".to_vec())
    });
    let (gateway, _agent) = Gateway::before(&[("s-1", &server, "room-a")]);
    let (mut idle, mut busy) = (gateway.client(), gateway.client());
    assert_eq!(idle.call("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    assert_eq!(idle.call(&status()).header("connection"), "");
    server.request();
    busy.write(&status());
    server.request();
    gateway.terminate();
    assert!(idle.answer().is_none(), "an idle connection stays open");
    let late = gateway.client().call(&status());
    assert_eq!((late.status(), late.header("connection")), (200, "close"));
    release.send(()).unwrap();
    let held = busy.answer().expect("a request that was held got no answer");
    assert_eq!((held.status(), held.header("connection")), (200, "close"));
    assert!(busy.answer().is_none());
    assert!(gateway.wait().success());
}

/// A request of which some has come as the signal does is taken, and so is the first of a new connection.
#[test]
fn a_request_on_its_way_as_the_signal_comes_is_answered() {
    let server = Server::start(|_| Does::Answers("200 OK", b"done".to_vec()));
    let (gateway, _agent) = Gateway::before(&[("s-1", &server, "room-a")]);
    let (mut idle, mut halfway, mut fresh) = (gateway.client(), gateway.client(), gateway.client());
    assert_eq!(halfway.call(&status()).status(), 200);
    let request = status();
    let (before, behind) = request.split_at(40);
    halfway.write(before);
    // Whoever connected or wrote before this call was seen before it.
    assert_eq!(idle.call(&status()).status(), 200);
    gateway.terminate();
    assert!(idle.answer().is_none(), "the signal has come");
    halfway.write(behind);
    fresh.write(&status());
    for client in [&mut halfway, &mut fresh] {
        let answer = client.answer().expect("cut off with no answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, "close"));
    }
    assert!(gateway.wait().success());
}

/// The end comes at 3.7 s at the soonest, however long the deadlines are: by then a request has its answer though
/// its server hangs, whether it came before the signal or after.
#[test]
fn a_gateway_told_to_stop_answers_what_hangs_before_it_is_killed() {
    let server = Server::start(|_| Does::Hangs);
    let known = [entry("s-1", server.address, "room-a", "ready")];
    let agent = Agent::start(known.to_vec());
    let mut long = config(&agent, &known);
    for class in 0..3 {
        long["settings"]["classes"][class]["deadlineUs"] = json!(20_000_000);
        long["settings"]["classes"][class]["aimUs"] = json!(20_000_000);
    }
    let gateway = Gateway::start(&long);
    let patient = |request: String| request.replace("X-Budget-Ms: 1900", "X-Budget-Ms: 20000");
    let (mut safe, mut once, mut idle) = (gateway.client(), gateway.client(), gateway.client());
    assert_eq!(idle.call("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    safe.write(&patient(status()));
    server.request();
    once.write(&patient(payout("x")));
    server.request();
    let told = Instant::now();
    gateway.terminate();
    assert!(idle.answer().is_none(), "the signal has come");
    let mut late = gateway.client();
    late.write(&patient(status()));
    server.request();
    for (client, code) in [(&mut safe, 429), (&mut once, 502), (&mut late, 429)] {
        assert_eq!(client.answer().expect("cut off with no answer").status(), code);
    }
    assert!(told.elapsed() < Duration::from_millis(3_700), "after {:?}", told.elapsed());
    assert!(gateway.wait().success());
}

/// A new configuration moves the watch at once, with the whole list of the new agent, though the old agent
/// holds its call and stands at the same version; one that cannot be used changes nothing.
#[test]
fn a_new_configuration_moves_the_watch_and_a_bad_one_is_passed_over() {
    let (first, second) = (named("first"), named("second"));
    let (gateway, old) = Gateway::before(&[("s-1", &first, "room-a")]);
    let mut client = gateway.client();
    assert_eq!(client.call(&status()).body, b"first");
    let new = Agent::start(vec![entry("s-2", second.address, "room-a", "ready")]);
    let good = config(&new, &[]).to_string();
    for bad in ["{", "{}", &good.replacen("\"classes\"", "\"kinds\"", 1)] {
        gateway.configure(bad);
        gateway.logged("the old one stays");
        assert_eq!(client.call(&status()).body, b"first");
    }
    old.change(vec![entry("s-1", first.address, "room-a", "ready")]);
    gateway.configure(&good);
    new.taken_up();
    assert_eq!(client.call(&status()).body, b"second");
    // A stop right behind a new configuration is as clean as any.
    gateway.configure(&good);
    gateway.terminate();
    assert!(gateway.wait().success());
}

/// The file may be half written as the signal comes, and whole a moment later, with no further signal.
#[test]
fn a_configuration_completed_after_its_signal_is_taken_up() {
    let (first, second) = (named("first"), named("second"));
    let (gateway, _old) = Gateway::before(&[("s-1", &first, "room-a")]);
    let new = Agent::start(vec![entry("s-2", second.address, "room-a", "ready")]);
    let whole = config(&new, &[]).to_string();
    gateway.configure(&whole[..whole.len() / 2]);
    gateway.logged("the old one stays");
    gateway.write_configuration(&whole);
    new.taken_up();
    assert_eq!(gateway.client().call(&status()).body, b"second");
}

/// Clients rest on connections that are open until the gateway closes them. Where deadlines are short SIGKILL comes
/// soon, so that all have to close while what is sent on them last can still be answered.
#[test]
fn resting_connections_close_before_the_end_however_short_the_deadlines() {
    let server = Server::start(|_| Does::Answers("200 OK", b"done".to_vec()));
    let known = [entry("s-1", server.address, "room-a", "ready")];
    let agent = Agent::start(known.to_vec());
    let mut short = config(&agent, &known);
    for class in 0..3 {
        short["settings"]["classes"][class]["deadlineUs"] = json!(100_000);
        short["settings"]["classes"][class]["aimUs"] = json!(100_000);
    }
    let mut gateway = Gateway::start(&short);
    let mut resting: Vec<Client> = (0..10).map(|_| gateway.client()).collect();
    assert_eq!(gateway.client().call("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    gateway.terminate();
    // New connections come for 0.4 s after the signal.
    let told = Instant::now();
    while told.elapsed() < Duration::from_millis(400) {
        resting.push(gateway.client());
        std::thread::sleep(Duration::from_millis(20));
    }
    for client in &mut resting {
        assert!(client.answer().is_none());
    }
    let log = gateway.log_until_end();
    assert!(log.iter().all(|line| !line.contains("still open")), "{log:?}");
}

/// A new process starts beside the old one, which then sees its clients out; somebody takes every request.
#[test]
fn a_second_process_takes_the_place_of_the_first() {
    let server = Server::start(|_| Does::Answers("200 OK", b"done".to_vec()));
    let (old, agent) = Gateway::before(&[("s-1", &server, "room-a")]);
    let mut kept = old.client();
    assert_eq!(kept.call(&status()).status(), 200);
    let mut beside = config(&agent, &[entry("s-1", server.address, "room-a", "ready")]);
    beside["listen"] = serde_json::json!(old.address.to_string());
    let new = Gateway::start(&beside);
    for _ in 0..20 {
        assert_eq!(new.client().call(&status()).status(), 200);
    }
    old.terminate();
    assert!(old.wait().success());
    for _ in 0..20 {
        assert_eq!(new.client().call(&status()).status(), 200);
    }
}

/// Many start at once while discovery and the counter say nothing, or turn every call away: each serves from the list
/// that it was given, and none waits for them.
#[test]
fn many_that_start_at_once_are_ready_though_nobody_answers_them() {
    let server = Server::start(|_| Does::Answers("200 OK", b"done".to_vec()));
    let known = [entry("s-1", server.address, "room-a", "ready")];
    for (odd, counter) in [
        (Odd::Down, Server::start(|_| Does::Hangs)),
        (Odd::Close, Server::start(|_| Does::Answers("503 Busy", Vec::new()))),
    ] {
        let agent = Agent::start(known.to_vec());
        let mut config = config(&agent, &known);
        config["settings"]["siblings"] = json!(350);
        config["settings"]["discovery"] = json!("ask");
        config["settings"]["familyInfo"]["sharedCounter"] = json!(true);
        config["settings"]["familyInfo"]["countLimitUs"] = json!(80_000);
        config["counter"] = json!(counter.address.to_string());
        let first = Gateway::start(&config);
        agent.treat(odd);
        let from = Instant::now();
        let started: Vec<_> = (0..20)
            .map(|_| {
                let config = config.clone();
                std::thread::spawn(move || Gateway::start(&config))
            })
            .collect();
        for gateway in started {
            let gateway = gateway.join().unwrap();
            let mut client = gateway.client();
            assert_eq!(client.call("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
            assert_eq!(client.call(&status()).body, b"done");
        }
        assert!(from.elapsed() < Duration::from_secs(10), "ready after {:?}", from.elapsed());
        drop(first);
    }
}
