//! The shared counter: what it is asked, and what follows from its answers.

use crate::rig::*;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};

/// A customer's store that is drawn far down.
const DRAWN: &[u8] = b"1000000000";

fn ok() -> Does {
    Does::Answers("200 OK", b"done".to_vec())
}

fn patient() -> String {
    status().replace("X-Budget-Ms: 1900", "X-Budget-Ms: 90000")
}

/// A gateway before one server and this counter.
fn before(server: &Server, counter: SocketAddr, change: impl Fn(&mut Value)) -> (Gateway, Agent) {
    let known = [entry("s-1", server.address, "room-a", "ready")];
    let agent = Agent::start(known.to_vec());
    let mut config = counting_config(&agent, &known, counter);
    change(&mut config);
    (Gateway::start(&config), agent)
}

/// What other gateways drew from a customer's store holds here, too.
#[test]
fn a_store_that_the_counter_tells_is_empty_refuses() {
    let server = Server::start(|_| ok());
    let counter =
        Server::start(|n| Does::Answers("200 OK", if n == 0 { b"2".to_vec() } else { DRAWN.to_vec() }));
    let (gateway, _agent) = before(&server, counter.address, |config| {
        config["settings"]["plans"][0]["rate"] = json!(0.001);
        config["settings"]["plans"][0]["depth"] = json!(1_000_000.0);
    });
    let mut client = gateway.client();
    assert_eq!(client.call(&patient()).status(), 200);
    assert_eq!(counter.request().start, "POST /v2/numbers/b4d65521?delta=2&life_ms=60000 HTTP/1.1");
    assert_eq!(client.call(&patient()).status(), 200, "the store was full a moment ago");
    counter.request();
    // The counter's word is on its way; the store alone would last for many more.
    let refused = (0..100_000).map(|_| client.call(&patient())).find(|a| a.status() != 200);
    let refused = refused.expect("the customer was served beyond the quota");
    assert_eq!(refused.status(), 429);
    assert!(refused.header("retry-after").parse::<f64>().unwrap() > 0.0);
}

/// An answer without a number ends its connection; neither that nor a refusal holds the customer back.
#[test]
fn an_answer_without_a_number_holds_nobody_back() {
    let bad = [
        || Does::Answers("200 OK", b"many".to_vec()),
        || Does::Answers("200 OK", b"NaN".to_vec()),
        || Does::Answers("500 Error", DRAWN.to_vec()),
        || Does::Breaks(""),
        || Does::Breaks("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n1000"),
        || Does::Writes("\0\0\r\n\r\n".to_owned()),
    ];
    for does in bad {
        let server = Server::start(|_| ok());
        let counter = Server::start(move |n| if n == 0 { does() } else { Does::Hangs });
        let (gateway, _agent) = before(&server, counter.address, |_| {});
        assert_eq!(gateway.client().call(&patient()).status(), 200);
        counter.request();
    }
    let server = Server::start(|_| ok());
    let counter = Server::start(|_| Does::Answers("503 Full", DRAWN.to_vec()));
    let (gateway, _agent) = before(&server, counter.address, |_| {});
    assert_eq!(gateway.client().call(&patient()).status(), 200);
}

/// A counter that is down or silent costs a request its call and no more.
#[test]
fn a_counter_that_is_down_or_silent_holds_nobody_back() {
    let server = Server::start(|_| ok());
    let nobody = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (gateway, _agent) = before(&server, nobody, |_| {});
    assert_eq!(gateway.client().call(&patient()).status(), 200);
    let silent = Server::start(|_| Does::Hangs);
    let limit = |config: &mut Value| config["settings"]["familyInfo"]["countLimitUs"] = json!(80_000);
    let (gateway, _agent) = before(&server, silent.address, limit);
    assert_eq!(gateway.client().call(&patient()).status(), 200);
    silent.request();
    silent.closed();
}

/// After a new configuration calls go to the counter that it names, and nothing is left open at the old one.
#[test]
fn a_new_configuration_moves_the_counter() {
    let server = Server::start(|_| ok());
    let full = |_| Does::Answers("503 Full", Vec::new());
    let (old, new) = (Server::start(full), Server::start(full));
    let known = [entry("s-1", server.address, "room-a", "ready")];
    let (gateway, agent) = before(&server, old.address, |_| {});
    assert_eq!(gateway.client().call(&patient()).status(), 200);
    old.request();
    gateway.configure(&counting_config(&agent, &known, new.address).to_string());
    gateway.logged("the counter moves");
    while let Note::Request(_) = old.note() {}
    let other = patient().replace("00000000b4d65521", "0000000000000007");
    assert_eq!(gateway.client().call(&other).status(), 200);
    let seen = std::iter::repeat_with(|| new.request().start).find(|start| start.contains("/numbers/7?"));
    assert!(seen.is_some());
    assert!(old.unread().is_empty(), "the old counter was called again");
}

/// The counter resets connections of a gateway beyond 32: however many customers wait for a counter that says nothing,
/// and though it moves meanwhile, there are fewer.
#[test]
fn a_silent_counter_is_not_flooded_with_connections() {
    let server = Server::start(|_| ok());
    let (counter, moved) = (Server::start(|_| Does::Hangs), Server::start(|_| Does::Hangs));
    let (gateway, agent) = before(&server, counter.address, |_| {});
    let new_customer = |number: usize| patient().replace("00000000b4d65521", &format!("{number:016x}"));
    let ask = |numbers: std::ops::Range<usize>| -> Vec<Client> {
        let clients = numbers.map(|number| {
            let mut client = gateway.client();
            client.write(&new_customer(number));
            client
        });
        let clients = clients.collect();
        // It is answered once all that came before it was read.
        assert_eq!(gateway.client().call("GET /other HTTP/1.1\r\nHost: a\r\n\r\n").status(), 400);
        clients
    };
    let _waiting = ask(1..60);
    counter.request();
    let known = [entry("s-1", server.address, "room-a", "ready")];
    gateway.configure(&counting_config(&agent, &known, moved.address).to_string());
    gateway.logged("the counter moves");
    let _more = ask(60..120);
    let open = |counter: &Server| counter.connections.load(std::sync::atomic::Ordering::SeqCst);
    assert!(open(&counter) + open(&moved) <= 32, "{} and {}", open(&counter), open(&moved));
}
