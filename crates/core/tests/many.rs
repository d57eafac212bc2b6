//! Hundreds of gateways: what one does must add up over all of them.

mod common;
use common::*;
use grebehook_core::*;
use std::collections::{BTreeMap, BTreeSet};

/// One of `n` gateways, seeded by its number, with ten servers listed.
fn gateway(mut s: Settings, me: usize, n: usize, seed: u64) -> Gateway {
    s.gateway_index = me;
    s.gateway_count = n;
    let mut g = Gateway::new(s, seed, S).expect("sound settings");
    let entries = (1..=10).map(|k| entry(k, 0)).collect();
    g.handle(
        S,
        Event::EndpointsChanged { watch_event: WatchEvent::Snapshot, endpoints: entries },
        &mut Vec::new(),
    );
    g
}

fn request(k: u64, customer: u64, spread: usize) -> Event {
    Event::RequestArrived(RequestArrival {
        id: RequestId(k),
        class: 0,
        plan: 0,
        customer: CustomerId(customer),
        client_timeout: 2 * S,
        units: 1.0,
        customer_gateway_count: spread,
        first_gateway: 0,
        is_retry: false,
        body_incomplete: false,
    })
}

/// Plays a request to the end of its hold; where it went.
fn play(g: &mut Gateway, now: Micros, k: u64, customer: u64, spread: usize) -> Option<ServerId> {
    let mut out = Vec::new();
    g.handle(now, request(k, customer, spread), &mut out);
    let hold = out.iter().find_map(|a| match a {
        Action::Timer { at, timer } if *at < now + S => Some((*at, *timer)),
        _ => None,
    });
    if let Some((at, timer)) = hold.filter(|_| sent(&out).is_none()) {
        g.handle(at, Event::Timer { timer }, &mut out);
    }
    sent(&out)
}

fn served(g: &mut Gateway, now: Micros, k: u64, server: ServerId, used: f64) -> Vec<Action> {
    let mut out = Vec::new();
    let (id, status, took) = (RequestId(k), AttemptStatus::Ok, 50 * MS);
    let end = Event::AttemptCompleted(AttemptReport {
        id,
        attempt: 0,
        server,
        status,
        elapsed: took,
        request_finished: true,
        reported_usage: Some(used),
        settled_units: None,
        load_report: Some(LoadReport { in_flight: Some(0.0), ..LoadReport::default() }),
    });
    g.handle(now, end, &mut out);
    out
}

fn metered() -> Settings {
    let mut s = settings();
    s.capabilities.usage_report_period = Some(500 * MS);
    s
}

#[test]
fn a_small_customer_with_room_is_served_at_each_of_its_gateways() {
    // Two a second over 160 gateways: an even slice is a request in eighty seconds.
    let went = (0..160).filter(|me| {
        let mut g = gateway(metered(), *me, 160, *me as u64);
        play(&mut g, 2 * S, 1, 5, 160).is_some()
    });
    assert_eq!(went.count(), 160);
}

#[test]
fn a_customer_over_its_quota_is_cut_to_it_over_all_gateways() {
    let mut s = metered();
    s.capabilities.gossip = true;
    let n = 160;
    let mut all: Vec<Gateway> = (0..n).map(|me| gateway(s.clone(), me, n, me as u64)).collect();
    // One gateway reads five times the quota and tells the others.
    let server = play(&mut all[0], 2 * S, 1, 5, n).expect("room at first");
    served(&mut all[0], 2 * S + 50 * MS, 1, server, 5.0);
    let mut news = Vec::new();
    all[0].handle(2 * S + 100 * MS, Event::Timer { timer: TimerId(u64::MAX) }, &mut news);
    let mut told = 0;
    for action in news {
        if let Action::SendGossip { to, message: data } = action {
            all[to].handle(
                2 * S + 110 * MS,
                Event::GossipReceived { from: 0, message: data },
                &mut Vec::new(),
            );
            told += 1;
        }
    }
    assert_eq!(told, n - 1);
    let mut went = 0;
    for (me, g) in all.iter_mut().enumerate() {
        for k in 0..5 {
            let now = 2 * S + 200 * MS + (me as u64 % 10) * 10 * MS + k * 300 * MS;
            if let Some(server) = play(g, now, 10 + k, 5, n) {
                served(g, now + 50 * MS, 10 + k, server, 0.0);
                went += 1;
            }
        }
    }
    // A fifth of 800 tries, more or less: not a burst at each gateway, nor nothing.
    assert!((80..=280).contains(&went), "{went}");
}

#[test]
fn gateways_with_the_same_report_do_not_all_choose_alike() {
    let mut got = [0; 11];
    for me in 0..300 {
        let mut g = gateway(metered(), me, 300, 77 * me as u64 + 1);
        let load = Some(LoadReport { in_flight: Some(0.0), ..LoadReport::default() });
        let report =
            Event::HealthCheckCompleted { server: ServerId(3), status: AttemptStatus::Ok, load_report: load };
        g.handle(S, report, &mut Vec::new());
        got[play(&mut g, 2 * S, 1, me as u64, 300).expect("sent").0 as usize] += 1;
    }
    assert!(got[1..].iter().all(|n| (5..=120).contains(n)), "{got:?}");
}

/// Gateways act on the same report before any sees what the others did: together they make up for what an empty
/// server lacks, and do not each do so alone.
#[test]
fn an_empty_server_gets_from_all_gateways_what_it_lacks_and_no_more() {
    let (n, held, each) = (32, 12.0, 4);
    let mut to_empty = 0;
    for me in 0..n {
        let mut g = gateway(metered(), me, n, 77 * me as u64 + 1);
        for server in 1..=10 {
            let inflight = if server == 3 { 0.0 } else { held };
            let load = Some(LoadReport { in_flight: Some(inflight), ..LoadReport::default() });
            let report = Event::HealthCheckCompleted {
                server: ServerId(server),
                status: AttemptStatus::Ok,
                load_report: load,
            };
            g.handle(S, report, &mut Vec::new());
        }
        for k in 0..each {
            let server = play(&mut g, S + 10 * MS, 1 + k, 100 * me as u64 + k, n).expect("sent");
            to_empty += usize::from(server == ServerId(3));
        }
    }
    let lacks = held as usize;
    assert!((lacks / 2..=3 * lacks).contains(&to_empty), "{to_empty} sent, {lacks} lacking");
}

#[test]
fn a_cold_server_gets_from_all_gateways_its_part_and_no_more() {
    let n = 300;
    let mut all: Vec<Gateway> = (0..n).map(|me| gateway(metered(), me, n, 31 * me as u64 + 7)).collect();
    let cold = Endpoint { started_at: Some(3 * S), ..entry(20, 0) };
    let (mut to_cold, mut total) = (0, 0);
    for (me, g) in all.iter_mut().enumerate() {
        for k in 0..12 {
            let now = 2 * S + k * 250 * MS + me as u64 * 300;
            if k == 4 {
                let entries = vec![cold.clone()];
                g.handle(
                    now,
                    Event::EndpointsChanged { watch_event: WatchEvent::Delta, endpoints: entries },
                    &mut Vec::new(),
                );
            }
            if k == 8 && me % 3 == 0 {
                // Restarted: nothing of what it sent is remembered.
                *g = gateway(metered(), me, n, 1_000 + me as u64);
                let entries = vec![cold.clone()];
                g.handle(
                    now,
                    Event::EndpointsChanged { watch_event: WatchEvent::Delta, endpoints: entries },
                    &mut Vec::new(),
                );
            }
            g.handle(now, Event::Timer { timer: TimerId(u64::MAX) }, &mut Vec::new());
            if let Some(server) = play(g, now, 100 + k, 1_000 * me as u64 + k, n) {
                served(g, now + 50 * MS, 100 + k, server, 0.0);
                if k >= 4 {
                    total += 1;
                    to_cold += usize::from(server == ServerId(20));
                }
            }
            for later in [100 * MS, 200 * MS] {
                g.handle(now + later, Event::Timer { timer: TimerId(u64::MAX) }, &mut Vec::new());
            }
        }
    }
    // Two seconds at up to 0.36 of the ramp, three times what a warm one of ten takes meanwhile.
    let most = 3.0 * 0.28 * total as f64 / 10.0;
    assert!(total > 1_000 && (to_cold as f64) < most, "{to_cold} of {total}, at most {most}");
    // Nor so little that the warm ones must do its work: half of what its ramp makes of a warm one's part.
    let least = 0.5 * 0.28 * total as f64 / 10.0;
    assert!(to_cold as f64 > least, "{to_cold} of {total}, at least {least}");
}

/// A cold server bears N calls within the time that the settings name, and by chance twice the root of N and two more,
/// from all gateways together: their first calls and repeats, while other servers come and go, which moves the parts.
#[test]
fn a_cold_server_is_not_overrun_by_twenty_gateways_nor_by_hundreds() {
    for (n, servers, changing) in
        [(20, 10, false), (30, 10, false), (30, 20, true), (300, 20, true), (300, 60, true)]
    {
        let mut s = metered();
        s.plans[0] = Plan { rate: 1000.0, burst: 1000.0, ..plan() };
        let rules = s.rules.clone();
        let list: Vec<Endpoint> = (0..servers as u64).map(|k| entry(k, 0)).collect();
        let mut all: Vec<Gateway> = (0..n)
            .map(|me| {
                (s.gateway_index, s.gateway_count) = (me, n);
                let mut g = Gateway::new(s.clone(), 31 * me as u64 + 7, S).expect("sound settings");
                let event =
                    Event::EndpointsChanged { watch_event: WatchEvent::Snapshot, endpoints: list.clone() };
                g.handle(S, event, &mut Vec::new());
                g
            })
            .collect();
        // Twenty requests a second for each server, one of five attempts turned away unseen.
        let (gap, born) = (S / (20 * servers as u64), 4 * S);
        let (mut to_cold, mut total): (Vec<Micros>, u64) = (Vec::new(), 0);
        let mut pace = 0;
        for (k, now) in (0..).map(|k| (k, 2 * S + k * gap)).take_while(|(_, now)| *now < 10 * S) {
            let me = (k as usize * 7919) % n;
            if now / (100 * MS) != pace {
                pace = now / (100 * MS);
                let mut entries = Vec::new();
                if pace == born / (100 * MS) {
                    entries.push(Endpoint { started_at: Some(born), ..entry(1_000, 0) });
                } else if changing && pace > born / (100 * MS) && pace % 3 == 0 {
                    // Another is replaced by one that is warm.
                    let old =
                        Endpoint { state: EndpointState::Gone, ..entry(pace / 3 % (servers as u64 / 2), 0) };
                    entries = vec![old, entry(2_000 + pace, 0)];
                }
                for g in &mut all {
                    let (kind, entries) = (WatchEvent::Delta, entries.clone());
                    g.handle(
                        now,
                        Event::EndpointsChanged { watch_event: kind, endpoints: entries },
                        &mut Vec::new(),
                    );
                    g.handle(now, Event::Timer { timer: TimerId(u64::MAX) }, &mut Vec::new());
                }
            }
            let mut out = Vec::new();
            all[me].handle(now, request(k, k, n), &mut out);
            let mut attempt = 0;
            while let Some(server) = sent(&out) {
                total += 1;
                if server == ServerId(1_000) {
                    to_cold.push(now);
                }
                let full = attempt == 0 && k % 5 == 0;
                let (status, closed) =
                    if full { (AttemptStatus::Rejected, false) } else { (AttemptStatus::Ok, true) };
                let id = RequestId(k);
                let end = Event::AttemptCompleted(AttemptReport {
                    id,
                    attempt,
                    server,
                    status,
                    elapsed: 50 * MS,
                    request_finished: closed,
                    reported_usage: None,
                    settled_units: None,
                    load_report: None,
                });
                out = Vec::new();
                all[me].handle(now, end, &mut out);
                attempt += 1;
            }
        }
        assert!(total > 20 * servers as u64 * 7, "{total}");
        for (k, from) in to_cold.iter().enumerate() {
            let got = to_cold[k..].iter().take_while(|at| **at < from + rules.overload_window).count() as f64;
            let up = (from - born) as f64 / rules.warm_up as f64;
            let ramp = rules.initial_capacity + (1.0 - rules.initial_capacity) * up;
            let budget = rules.overload_multiple * ramp * 20.0 * rules.overload_window as f64 / 1e6;
            let most = budget + 2.0 * budget.sqrt() + 2.0;
            let age = (from - born) / MS;
            assert!(
                got <= most,
                "{n} gateways, {servers} servers: {got} from {age} ms on, {most:.1} at most"
            );
        }
        assert!(to_cold.len() > 3, "{n} gateways: only {} in all", to_cold.len());
    }
}

#[test]
fn ceilings_add_up_over_all_gateways_and_restarts() {
    let mut s = metered();
    s.plans[0] = Plan {
        rate: 1000.0,
        burst: 1000.0,
        hard_limit_rate: 40.0,
        hard_limit_burst: 320.0,
        hard_limit_overdraft: 32.0,
        ..plan()
    };
    let n = 160;
    let mut went = 0;
    for me in 0..n {
        let mut g = gateway(s.clone(), me, n, me as u64);
        for k in 0..40 {
            let now = 2 * S + k * 250 * MS;
            if k == 20 && me % 2 == 0 {
                (s.gateway_index, s.gateway_count) = (me, n);
                g = Gateway::new(s.clone(), 9_000 + me as u64, now).expect("sound settings");
                let entries = vec![entry(1, 0)];
                g.handle(
                    now,
                    Event::EndpointsChanged { watch_event: WatchEvent::Snapshot, endpoints: entries },
                    &mut Vec::new(),
                );
            }
            if let Some(server) = play(&mut g, now, k, 5, n) {
                served(&mut g, now + 50 * MS, k, server, 0.0);
                went += 1;
            }
        }
    }
    // Eleven seconds since the launch; the store holds 320 and may be overdrawn by 32.
    assert!(went > 200 && went as f64 <= 352.0 + 11.0 * 40.0, "{went}");
}

#[test]
fn strange_messages_make_no_units_and_do_no_harm() {
    let mut s = metered();
    s.capabilities.gossip = true;
    let mut g = gateway(s, 0, 160, 1);
    let good = [&[1, 0, 0, 1][..], &7u64.to_be_bytes(), &[0, 0, 160, 255, 255, 255, 255]].concat();
    let strange: [(usize, Vec<u8>); 8] = [
        (0, good.clone()),
        (160, good.clone()),
        (usize::MAX, good.clone()),
        (3, good[..9].to_vec()),
        (3, Vec::new()),
        (3, vec![9; 64]),
        (3, [&good[..12], &[200], &good[13..]].concat()),
        (3, [&good[..13], &[0, 0], &good[15..]].concat()),
    ];
    for (from, data) in strange {
        let mut out = Vec::new();
        g.handle(2 * S, Event::GossipReceived { from, message: data }, &mut out);
        assert!(out.iter().all(|a| matches!(a, Action::Timer { .. })), "{out:?}");
    }
    let went = (0..60).filter(|k| play(&mut g, 3 * S, *k, 7, 160).is_some()).count();
    assert!((1..=8).contains(&went), "told to ask ten times its quota: {went} of 60");
    assert!(play(&mut g, 3 * S, 90, 8, 0).is_some(), "a spread of nought is borne");
}

#[test]
fn news_costs_no_more_than_own_requests_pay_for() {
    let mut s = metered();
    s.capabilities.gossip = true;
    let mut g = gateway(s, 0, 400, 1);
    let mut told = 0;
    for k in 0..400 {
        let now = 2 * S + k * 100 * MS;
        if let Some(server) = play(&mut g, now, k, k, 400) {
            served(&mut g, now + 20 * MS, k, server, 5.0);
        }
        let mut out = Vec::new();
        g.handle(now + 50 * MS, Event::Timer { timer: TimerId(u64::MAX) }, &mut out);
        told += out.iter().filter(|a| matches!(a, Action::SendGossip { .. })).count();
    }
    assert!(told > 300 && told <= 200 + 6 * 400, "{told}");
}

/// A gateway's few requests use the same few connections again, and the parts of all cover the servers evenly.
#[test]
fn each_of_many_gateways_keeps_to_its_part_of_the_servers() {
    let (gateways, servers, requests) = (100, 60, 40);
    let mut got = vec![0; servers];
    for me in 0..gateways {
        let mut s = metered();
        (s.gateway_index, s.gateway_count) = (me, gateways);
        let mut g = Gateway::new(s, 31 * me as u64 + 7, S).expect("sound settings");
        let entries = (0..servers as u64).map(|k| entry(k, 0)).collect();
        g.handle(
            S,
            Event::EndpointsChanged { watch_event: WatchEvent::Snapshot, endpoints: entries },
            &mut Vec::new(),
        );
        let mut used = BTreeSet::new();
        for k in 0..requests {
            let now = 2 * S + k * 200 * MS;
            let server = play(&mut g, now, k, 1_000 * me as u64 + k, gateways).expect("sent");
            served(&mut g, now + 50 * MS, k, server, 0.0);
            got[server.0 as usize] += 1;
            used.insert(server);
        }
        assert!((6..=12).contains(&used.len()), "gateway {me} uses {used:?}");
    }
    let even = gateways * requests as usize / servers;
    assert!(got.iter().all(|n| (even * 2 / 3..=even * 4 / 3).contains(n)), "{even} would be even: {got:?}");
}

/// Gateways that share a counter, which adds each call at once and tells its totals a moment later.
struct Counting {
    all: Vec<Gateway>,
    totals: BTreeMap<CounterId, f64>,
    next: u64,
}

impl Counting {
    fn new(gateways: usize) -> Counting {
        let mut s = metered();
        s.capabilities.shared_counter = true;
        s.capabilities.counter_timeout = Some(80 * MS);
        let all = (0..gateways).map(|me| gateway(s.clone(), me, gateways, 31 * me as u64 + 7)).collect();
        Counting { all, totals: BTreeMap::new(), next: 0 }
    }

    /// The same whose gateways have found the counter quick, and call it whenever they would know more.
    fn warm(gateways: usize) -> Counting {
        let mut fleet = Counting::new(gateways);
        fleet.others(990 * S);
        fleet.totals.clear();
        fleet
    }

    /// Each gateway has requests of other customers for four seconds; from some it saves calls.
    fn others(&mut self, from: Micros) {
        for me in 0..self.all.len() {
            for k in 0..60 {
                let (now, mut out) = (from + k * 66 * MS, Vec::new());
                self.next += 1;
                // One whose store is ample and just counted needs no call.
                let customer = if k < 40 { 100 + self.next } else { 100 };
                let event = request(self.next, customer, self.all.len());
                self.all[me].handle(now, event, &mut out);
                self.settle(me, now, out);
            }
            let (now, mut out) = (from + 4 * S, Vec::new());
            self.all[me].handle(now, Event::Timer { timer: TimerId(u64::MAX) }, &mut out);
            self.settle(me, now, out);
        }
    }

    /// Carries out calls until none is left; whether a request was sent meanwhile.
    fn settle(&mut self, me: usize, mut now: Micros, mut out: Vec<Action>) -> bool {
        let mut went = false;
        while !out.is_empty() {
            went |= sent(&out).is_some();
            let mut done = Vec::new();
            for action in out {
                if let Action::AddToCounter { counter, amount, .. } = action {
                    now += 2 * MS;
                    let total = self.totals.entry(counter).or_default();
                    *total += amount;
                    let result = CounterResult::Total(*total);
                    self.all[me].handle(
                        now,
                        Event::CounterReplied { counter, result, elapsed: 2 * MS },
                        &mut done,
                    );
                }
            }
            out = done;
        }
        went
    }

    /// One request of customer 5 at a gateway; whether it went.
    fn request(&mut self, me: usize, now: Micros) -> bool {
        self.next += 1;
        let (spread, mut out) = (self.all.len(), Vec::new());
        self.all[me].handle(now, request(self.next, 5, spread), &mut out);
        let went = self.settle(me, now, out);
        let mut out = Vec::new();
        self.all[me].handle(now + 50 * MS, Event::Timer { timer: TimerId(u64::MAX) }, &mut out);
        self.settle(me, now + 50 * MS, out);
        went
    }
}

/// Each gateway of a large set finds the customer new, though others have spent its store: only the total can
/// tell, and since when it counts must be known too.
#[test]
fn a_customer_new_at_each_of_many_gateways_has_one_store_among_them() {
    let mut fleet = Counting::new(60);
    // A store of four filling by two a second; a window of four seconds begins at 1000 s.
    let went = (0..60).filter(|k| fleet.request(*k, 1_000 * S + *k as u64 * 50 * MS)).count();
    assert!(
        (8..=11).contains(&went),
        "{went} went, where four and two a second for three seconds are allowed"
    );
}

/// What a customer leaves unused runs over: a total that does not show it would grant it to the next burst.
#[test]
fn a_burst_after_a_quiet_time_is_held_to_the_store_by_all_gateways() {
    let mut fleet = Counting::warm(60);
    for (k, quiet) in [3_500, 9_000, 30_000].into_iter().enumerate() {
        let from = 1_000 * S + quiet * MS + k as u64 * 20 * S;
        // A request now and then, then thirty within 0.3 s. Four are stored and one is filled meanwhile.
        assert!(fleet.request(59, from - S));
        let went = (0..30).filter(|k| fleet.request(*k, from + *k as u64 * 10 * MS)).count();
        assert!((3..=6).contains(&went), "{went} went after {quiet} ms");
    }
}

/// A name lives for a minute at most; the next one starts with what is owed, not with a full store.
#[test]
fn a_store_stays_empty_when_its_counter_gets_another_name() {
    let mut fleet = Counting::warm(60);
    let went = (0..700).filter(|k| fleet.request(*k % 60, 1_000 * S + *k as u64 * 100 * MS)).count();
    assert!(fleet.totals.len() >= 2, "no other name: {:?}", fleet.totals);
    // A store of four, filled by two a second for 70 s.
    assert!((100..=150).contains(&went), "{went} went");
}

/// Two gateways that find a total behind at once add the same; the second takes its part back.
#[test]
fn a_total_that_two_gateways_put_right_at_once_is_put_right_once() {
    let mut fleet = Counting::new(60);
    fleet.request(0, 1_000 * S);
    let now = 1_020 * S;
    let mut pending: Vec<(usize, Action)> = Vec::new();
    for me in [1, 2] {
        let mut out = Vec::new();
        fleet.all[me].handle(now, request(900 + me as u64, 5, 60), &mut out);
        pending.extend(out.into_iter().map(|a| (me, a)));
    }
    // All calls that are out are added before the first of them is answered.
    let mut rounds = 0;
    while !pending.is_empty() {
        let calls = std::mem::take(&mut pending).into_iter().filter_map(|(me, a)| match a {
            Action::AddToCounter { counter, amount, .. } => {
                let total = fleet.totals.entry(counter).or_default();
                *total += amount;
                Some((me, counter, *total))
            }
            _ => None,
        });
        for (me, counter, total) in calls.collect::<Vec<_>>() {
            let mut out = Vec::new();
            let answer =
                Event::CounterReplied { counter, result: CounterResult::Total(total), elapsed: 2 * MS };
            fleet.all[me].handle(now + 2 * MS, answer, &mut out);
            pending.extend(out.into_iter().map(|a| (me, a)));
        }
        rounds += 1;
        assert!(rounds < 10, "they go on for ever");
    }
    let went = (3..30).filter(|k| fleet.request(*k, now + 20 * MS)).count();
    assert!((1..=2).contains(&went), "{went} went where two of four units were left");
}

/// With few calls left, those go to the plan whose use beyond its quota costs most; with many, to all.
#[test]
fn few_calls_go_where_use_beyond_the_quota_costs_most() {
    let mut s = settings();
    (s.capabilities.shared_counter, s.capabilities.counter_timeout) = (true, Some(80 * MS));
    s.plans.push(Plan { overage_cost: 0.2, ..plan() });
    s.plans.push(Plan { overage_cost: 0.0, ..plan() });
    let mut g = gateway(s, 0, 160, 3);
    let mut asks = |k: u64, plan: usize, customer: u64| {
        let mut event = request(k, customer, 160);
        if let Event::RequestArrived(RequestArrival { plan: p, .. }) = &mut event {
            *p = plan;
        }
        let mut out = Vec::new();
        g.handle(1_000 * S, event, &mut out);
        out.iter().any(|a| matches!(a, Action::AddToCounter { .. }))
    };
    // Two calls are saved at first.
    assert_eq!([asks(1, 2, 1_001), asks(2, 1, 1_002), asks(3, 0, 1_003)], [false, false, true]);
    // Those behind one that asks already cost no call, and save some.
    (10..40).for_each(|k| assert!(!asks(k, 0, 1_003)));
    assert_eq!([asks(50, 2, 1_004), asks(51, 1, 1_005), asks(52, 0, 1_006)], [true, true, true]);
}

/// Hundreds that start together must not meet the counter with all they may save up.
#[test]
fn many_gateways_begin_to_call_slowly() {
    let calls = |gateways: usize| {
        let mut fleet = Counting::new(gateways);
        let mut out = Vec::new();
        (0..10).for_each(|k| fleet.all[0].handle(2 * S, request(k, 100 + k, gateways), &mut out));
        out.iter().filter(|a| matches!(a, Action::AddToCounter { .. })).count()
    };
    assert_eq!(calls(3), 10, "a small fleet asks for each new customer");
    assert!((2..=5).contains(&calls(100)), "{} calls for ten new customers", calls(100));
}

/// The counter serves about one call for each request of a large fleet. Use that is told after the fact leaves the
/// calls to requests that ask, and goes along with the next of them; with many saved it is told by itself. What was
/// reserved for one that did not go is given back at once: others are refused for it.
#[test]
fn use_told_after_the_fact_leaves_the_calls_to_those_who_ask() {
    let mut s = settings();
    (s.capabilities.shared_counter, s.capabilities.settles_units, s.capabilities.counter_timeout) =
        (true, true, Some(80 * MS));
    let mut g = gateway(s, 0, 160, 3);
    let mut does = |now: Micros, event| {
        let mut out = Vec::new();
        g.handle(now, event, &mut out);
        out
    };
    let counts = |out: &[Action]| -> Vec<(CounterId, f64)> {
        let count = |a: &Action| match a {
            Action::AddToCounter { counter, amount, .. } => Some((*counter, *amount)),
            _ => None,
        };
        out.iter().filter_map(count).collect()
    };
    let told = |counter, result| Event::CounterReplied { counter, result, elapsed: 5 * MS };
    let round = || Event::Timer { timer: TimerId(u64::MAX) };
    let now = 2 * S;
    // One that asked turns out to have taken three units, not one.
    let asked = counts(&does(now, request(1, 5, 160)));
    assert_eq!(asked[0].1, 1.0);
    // The store filled by four units since the number's window began, and they ran over.
    let server = sent(&does(now, told(asked[0].0, CounterResult::Total(5.0)))).expect("room at first");
    let (id, status, settled) = (RequestId(1), AttemptStatus::Ok, Some(3.0));
    let end = Event::AttemptCompleted(AttemptReport {
        id,
        attempt: 0,
        server,
        status,
        elapsed: 50 * MS,
        request_finished: true,
        reported_usage: None,
        settled_units: settled,
        load_report: None,
    });
    does(now, end);
    for k in 1..5 {
        assert!(counts(&does(now + k * 100 * MS, round())).is_empty(), "a call that nobody waits for");
    }
    let now = now + S;
    let asked = counts(&does(now, request(2, 5, 160)));
    assert_eq!(asked[0].1, 3.0, "the difference goes along");
    // Its client leaves: the two units stay told, the one that was reserved goes back.
    does(now, Event::ClientDisconnected { id: RequestId(2) });
    assert_eq!(counts(&does(now, told(asked[0].0, CounterResult::Total(8.0)))), [(asked[0].0, -1.0)]);
    assert!(counts(&does(now, round())).is_empty(), "once");
}

/// A request that went though the counter turned its call away is told later: not while few calls are saved.
#[test]
fn use_that_nobody_asked_for_is_told_once_calls_are_saved() {
    let mut s = settings();
    (s.capabilities.shared_counter, s.capabilities.counter_timeout) = (true, Some(80 * MS));
    let mut g = gateway(s, 0, 160, 3);
    let mut does = |now: Micros, event| {
        let mut out = Vec::new();
        g.handle(now, event, &mut out);
        out
    };
    let amounts = |out: &[Action]| -> Vec<f64> {
        let amount = |a: &Action| match a {
            Action::AddToCounter { amount, .. } => Some(*amount),
            _ => None,
        };
        out.iter().filter_map(amount).collect()
    };
    let (now, round) = (2 * S, || Event::Timer { timer: TimerId(u64::MAX) });
    // Those behind the first wait for its call, and save some.
    (10..18).for_each(|k| drop(does(now, request(k, 8, 160))));
    let asks = does(now, request(1, 6, 160));
    let Some(Action::AddToCounter { counter, .. }) =
        asks.iter().find(|a| matches!(a, Action::AddToCounter { .. }))
    else {
        panic!("it does not ask")
    };
    let refused =
        Event::CounterReplied { counter: *counter, result: CounterResult::Refused, elapsed: 5 * MS };
    assert!(sent(&does(now, refused)).is_some(), "room at first");
    assert!(amounts(&does(now + 100 * MS, round())).is_empty(), "a call that nobody waits for");
    (20..50).for_each(|k| drop(does(now + 100 * MS, request(k, 8, 160))));
    assert_eq!(amounts(&does(now + 200 * MS, round())), [1.0]);
}

/// A plan without a rate has no quota: nobody is held, refused or asked about, in a fleet of any size.
#[test]
fn a_plan_without_a_rate_is_never_refused() {
    let mut s = metered();
    (s.plans[0].rate, s.plans[0].burst) = (0.0, 0.0);
    (s.capabilities.shared_counter, s.capabilities.counter_timeout) = (true, Some(80 * MS));
    for n in [2, 160] {
        let mut g = gateway(s.clone(), 0, n, 3);
        for k in 0..20 {
            let (now, mut out) = (2 * S + k * 100 * MS, Vec::new());
            g.handle(now, request(k, 5, n), &mut out);
            let server = sent(&out).expect("it goes at once");
            assert!(!out.iter().any(|a| matches!(a, Action::AddToCounter { .. })), "nobody need be asked");
            served(&mut g, now + 50 * MS, k, server, 0.0);
        }
    }
}
