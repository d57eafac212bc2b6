//! The list of servers and messages of peers.

use crate::rig::*;
use serde_json::json;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

#[test]
fn a_known_name_at_another_address_is_followed() {
    let (old, new) = (named("old"), named("new"));
    let (gateway, agent) = Gateway::before(&[("s-1", &old, "room-a")]);
    let mut client = gateway.client();
    assert_eq!(client.call(&status()).body, b"old");
    agent.change(vec![entry("s-1", new.address, "room-a", "ready")]);
    assert_eq!(client.call(&status()).body, b"new");
}

#[test]
fn a_server_that_drains_or_is_gone_gets_nothing_new() {
    for end in ["draining", "gone"] {
        let (first, second) = (named("first"), named("second"));
        let (gateway, agent) = Gateway::before(&[("s-1", &first, "room-a")]);
        let mut client = gateway.client();
        assert_eq!(client.call(&status()).body, b"first");
        let changed =
            [entry("s-1", first.address, "room-a", end), entry("s-2", second.address, "room-b", "ready")];
        agent.change(changed.to_vec());
        for _ in 0..10 {
            assert_eq!(client.call(&status()).body, b"second");
        }
    }
}

/// While discovery fails the old list serves. Every gateway of a fleet fails at such a time: none may ask for
/// the whole list then, the dearest call there is, as its version still tells what it lacks.
#[test]
fn a_failed_watch_keeps_the_list_and_goes_on_from_its_version() {
    let (first, second) = (named("first"), named("second"));
    let (gateway, agent) = Gateway::before(&[("s-1", &first, "room-a")]);
    let mut client = gateway.client();
    agent.fail();
    assert_eq!(client.call(&status()).body, b"first");
    agent.recover(vec![entry("s-2", second.address, "room-a", "ready")]);
    assert_eq!(client.call(&status()).body, b"second");
    assert!(!agent.gave_all(), "the whole list was asked for");
}

/// A gateway of a fleet of so many, before one server, and its agent.
fn among(gateways: usize, server: &Server) -> (Gateway, Agent) {
    let known = [entry("s-1", server.address, "room-a", "ready")];
    let agent = Agent::start(known.to_vec());
    let mut config = config(&agent, &known);
    config["settings"]["siblings"] = json!(gateways);
    (Gateway::start(&config), agent)
}

/// What a silent watch misses counts as told 6 s after it fell silent; with the second that drains have, it must be
/// known by then in a fleet of any size. The agent answers at once, so the news comes with the next call.
#[test]
fn a_watch_that_fell_silent_or_broke_is_opened_anew_in_time_in_any_fleet() {
    for gateways in [2, 300] {
        for odd in [Odd::Silence, Odd::Close] {
            let (first, second) = (named("first"), named("second"));
            let (gateway, agent) = among(gateways, &first);
            let mut client = gateway.client();
            assert_eq!(client.call(&status()).body, b"first");
            agent.called(1);
            let most = Duration::from_millis(if odd == Odd::Close { 1_000 } else { 4_000 });
            let from = Instant::now();
            agent.treat(odd);
            agent.change(vec![
                entry("s-1", first.address, "room-a", "draining"),
                entry("s-2", second.address, "room-a", "ready"),
            ]);
            assert!(from.elapsed() < most, "{gateways} gateways: after {:?}", from.elapsed());
            assert_eq!(client.call(&status()).body, b"second");
        }
    }
}

/// The same where the list is asked for: a service that all share is waited for longer, but not paused for after that.
#[test]
fn a_silent_watch_of_a_shared_service_is_opened_anew_in_time() {
    let (first, second) = (named("first"), named("second"));
    let known = [entry("s-1", first.address, "room-a", "ready")];
    let agent = Agent::start(known.to_vec());
    let mut config = config(&agent, &known);
    config["settings"]["siblings"] = json!(300);
    config["settings"]["discovery"] = json!("ask");
    let gateway = Gateway::start(&config);
    let from = Instant::now();
    agent.treat(Odd::Silence);
    agent.change(vec![
        entry("s-1", first.address, "room-a", "draining"),
        entry("s-2", second.address, "room-a", "ready"),
    ]);
    assert!(from.elapsed() < Duration::from_millis(6_500), "after {:?}", from.elapsed());
    assert_eq!(gateway.client().call(&status()).body, b"second");
}

/// A call that hung and broke off allows no further pause that passes the 6 s after which a change counts as told,
/// however many gateways share the service.
#[test]
fn a_watch_that_breaks_off_late_is_opened_anew_before_its_news_counts_as_told() {
    for gateways in [2, 350] {
        let (first, second) = (named("first"), named("second"));
        let known = [entry("s-1", first.address, "room-a", "ready")];
        let agent = Agent::start(known.to_vec());
        let mut config = config(&agent, &known);
        config["settings"]["siblings"] = json!(gateways);
        config["settings"]["discovery"] = json!("ask");
        let gateway = Gateway::start(&config);
        agent.called(1);
        let from = Instant::now();
        agent.treat(Odd::CloseAfter(Duration::from_millis(4_500)));
        agent.change(vec![
            entry("s-1", first.address, "room-a", "draining"),
            entry("s-2", second.address, "room-a", "ready"),
        ]);
        assert!(from.elapsed() < Duration::from_millis(6_000), "{gateways}: after {:?}", from.elapsed());
        assert_eq!(gateway.client().call(&status()).body, b"second");
    }
}

/// Whether a list is pushed or asked for, among few or many, and whether the call before was refused or given up just as
/// discovery returned: what it has then is known within the 6 s after which it counts as told.
#[test]
fn what_discovery_has_when_it_returns_is_known_within_six_seconds() {
    let (first, second) = (named("first"), named("second"));
    let known = [entry("s-1", first.address, "room-a", "ready")];
    let replaced = [entry("s-2", second.address, "room-a", "ready")];
    let case = |mode: &str, gateways: usize, refused: bool| {
        let agent = Agent::start(known.to_vec());
        let mut config = config(&agent, &known);
        config["settings"]["siblings"] = json!(gateways);
        config["settings"]["discovery"] = json!(mode);
        let gateway = Gateway::start(&config);
        agent.called(1);
        if refused {
            agent.fail();
        } else {
            // The call that is out was begun a moment ago, and stays unanswered for good.
            agent.treat(Odd::Down);
            agent.called(1);
            agent.back();
        }
        let from = Instant::now();
        agent.recover(replaced.to_vec());
        let took = from.elapsed();
        assert!(took < Duration::from_millis(6_000), "{mode}, {gateways}, refused {refused}: {took:?}");
        assert_eq!(gateway.client().call(&status()).body, b"second");
    };
    std::thread::scope(|scope| {
        for (mode, gateways) in [("push", 2), ("push", 350), ("ask", 2), ("ask", 350)] {
            for refused in [true, false] {
                let case = &case;
                scope.spawn(move || case(mode, gateways, refused));
            }
        }
    });
}

/// What the agent gets when discovery is back counts as told at once, though the calls made before stay unanswered.
#[test]
fn what_changed_while_discovery_was_down_is_known_soon_after_its_return() {
    for gateways in [2, 300] {
        let (first, second) = (named("first"), named("second"));
        let (gateway, agent) = among(gateways, &first);
        let mut client = gateway.client();
        agent.treat(Odd::Down);
        agent.called(2);
        assert_eq!(client.call(&status()).body, b"first");
        let from = Instant::now();
        agent.back();
        agent.change(vec![
            entry("s-1", first.address, "room-a", "draining"),
            entry("s-2", second.address, "room-a", "ready"),
        ]);
        assert!(from.elapsed() < Duration::from_millis(2_000), "{gateways} gateways: {:?}", from.elapsed());
        assert_eq!(client.call(&status()).body, b"second");
    }
}

/// A thousand processes and as many servers: all are known, whether from the configuration or from discovery, and the
/// least memory that a process is given is enough.
#[test]
fn a_thousand_gateways_and_a_thousand_servers_are_no_limit() {
    a_fleet_is_known(1_024, 1_024, 24 << 10);
}

/// The largest fleet of the terms, which allow 4 MB more for each thousand servers.
#[test]
fn nine_hundred_gateways_and_thirty_two_hundred_servers_are_no_limit() {
    a_fleet_is_known(900, 3_200, (24 + 2 * 4) << 10);
}

/// Serves from the configuration's list and from one that replaces it at once, within so many KiB.
fn a_fleet_is_known(gateways: usize, servers: usize, memory: u64) {
    let (first, last) = (named("first"), named("last"));
    let many = |name: &str, at: &Server| -> Vec<_> {
        (0..servers).map(|k| entry(&format!("{name}-{k:04}"), at.address, "room-a", "ready")).collect()
    };
    let known = many("s", &first);
    let agent = Agent::start(known.clone());
    let mut config = config(&agent, &known);
    config["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    config["settings"]["siblings"] = json!(gateways);
    config["settings"]["me"] = json!(gateways - 1);
    let gateway = Gateway::start_within(&config, 256);
    let mut client = gateway.client();
    let from =
        |first: usize| status().replace("spread=1,first=0", &format!("spread={gateways},first={first}"));
    for first in [0, gateways / 2, gateways - 1] {
        assert_eq!(client.call(&from(first)).body, b"first");
    }
    // All are replaced at once.
    agent.recover(many("t", &last));
    for _ in 0..20 {
        assert_eq!(client.call(&from(0)).body, b"last");
    }
    assert!(gateway.resident() < memory, "{} KiB", gateway.resident());
}

/// Idle clients take all the descriptors that clients may have, and more wait, while discovery is down. What the gateway
/// needs besides is there when discovery returns: a call of it, of the counter and of a server, and new clients.
#[test]
fn idle_clients_leave_room_for_discovery_the_counter_and_servers() {
    let (first, second) = (named("first"), named("second"));
    let counter = Server::start(|_| Does::Answers("200 OK", b"1".to_vec()));
    let known = [entry("s-1", first.address, "room-a", "ready")];
    let agent = Agent::start(known.to_vec());
    let mut config = config(&agent, &known);
    config["limits"]["sockets"] = json!(256);
    config["counter"] = json!(counter.address.to_string());
    config["settings"]["familyInfo"]["sharedCounter"] = json!(true);
    config["settings"]["familyInfo"]["countLimitUs"] = json!(80_000);
    let gateway = Gateway::start_within(&config, 256);
    agent.treat(Odd::Down);
    let (from, before) = (Instant::now(), gateway.ticks());
    let idle: Vec<_> = (0..400).map(|_| gateway.client()).collect();
    agent.called(3);
    let (time, used) = (from.elapsed(), gateway.ticks() - before);
    assert!(used as f64 <= 50.0 * time.as_secs_f64() + 50.0, "{used} ticks in {time:?}");
    agent.back();
    let back = Instant::now();
    agent.change(vec![
        entry("s-1", first.address, "room-a", "draining"),
        entry("s-2", second.address, "room-a", "ready"),
    ]);
    assert!(back.elapsed() < Duration::from_secs(6), "after {:?}", back.elapsed());
    let answer = gateway.client().call(&status());
    assert_eq!((answer.status(), answer.body.as_slice()), (200, &b"second"[..]));
    assert!(counter.request().start.starts_with("POST /v2/numbers/"));
    drop(idle);
}

/// An answer that is empty, cut short, no list or of an older version than the one held changes nothing and is
/// followed by another call. What is indented is a list like any other.
#[test]
fn an_answer_of_discovery_that_is_no_news_changes_nothing() {
    let (first, second) = (named("first"), named("second"));
    let (gateway, agent) = among(300, &first);
    let mut client = gateway.client();
    agent.change(vec![
        entry("s-1", first.address, "room-a", "draining"),
        entry("s-2", second.address, "room-a", "ready"),
    ]);
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let list = |index: u64, name: &str, server: &Server| {
        let members = [entry(name, server.address, "room-a", "ready")];
        json!({"index": index, "snapshot": true, "endpoints": members})
    };
    let stale = answer(&list(1, "s-1", &first).to_string());
    let long = stale.replace("Content-Length: ", "Content-Length: 1");
    for odd in [answer(""), answer("[]"), answer("{\"index\":"), stale, long] {
        agent.treat(Odd::Says(odd));
        agent.called(1);
        assert_eq!(client.call(&status()).body, b"second");
    }
    let third = named("third");
    let indented = serde_json::to_string_pretty(&list(900, "s-3", &third)).unwrap();
    agent.treat(Odd::Says(answer(&indented)));
    agent.called(1);
    assert_eq!(client.call(&status()).body, b"third");
}

/// A message is told by its sender's address; strangers and long datagrams change nothing.
#[test]
fn peers_hear_each_other_in_small_messages() {
    let server = named("first");
    let known = [entry("s-1", server.address, "room-a", "ready")];
    let agent = Agent::start(known.to_vec());
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    peer.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let own = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut two = config(&agent, &known);
    two["settings"]["siblings"] = json!(2);
    two["settings"]["limits"]["peers"] = json!(true);
    two["peer_listen"] = json!(own.to_string());
    two["peers"] = json!([own.to_string(), peer.local_addr().unwrap().to_string()]);
    let gateway = Gateway::start(&two);
    let mut data = [0; 2_000];
    let (length, from) = peer.recv_from(&mut data).expect("no heartbeat");
    assert!(length > 0 && length <= 256, "{length} bytes");
    assert_eq!(from, own);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for text in [&[1, 0, 0, 9][..], &[0xff; 200], &[7; 1_500], &[]] {
        peer.send_to(text, own).unwrap();
        stranger.send_to(text, own).unwrap();
    }
    assert_eq!(gateway.client().call(&status()).status(), 200);
    peer.recv_from(&mut data).expect("no message after malformed ones");
}
