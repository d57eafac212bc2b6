//! Starts of servers are told by the fleet's clock. The gateway's own may be off by seconds or by hours, since a wall
//! clock may be stepped before the process starts.

mod common;
use common::*;
use grebehook_core::*;
use std::collections::VecDeque;

const HOUR: Micros = 3_600 * S;
/// Requests offered in a second.
const OFFERED: u64 = 100;
/// Requests that are out at a time.
const OPEN: usize = 6;
/// What the draw of a server may differ by.
const CHANCE: usize = 5;
/// Discovery tells at least so often that it has nothing new.
const LIST_EVERY: u64 = OFFERED / 2;

fn delta(entries: Vec<Endpoint>) -> Event {
    Event::EndpointsChanged { watch_event: WatchEvent::Delta, endpoints: entries }
}

/// Requests that go to server 2 in three seconds from when it was told to have started just now, and from a minute
/// later, beside two warm servers. The gateway's clock is `ahead` of the fleet's, or behind it.
fn sends_after_a_start(ahead: i64) -> (usize, usize) {
    let mut rig = Rig::new(Settings { gateway_count: 1, ..settings() }, &[entry(1, 0), entry(3, 0)]);
    rig.run_to(2 * HOUR);
    let begin = rig.now;
    let fleet_time = |now: Micros| now.saturating_add_signed(-ahead);
    let (mut first, mut later) = (0, 0);
    let mut open = VecDeque::new();
    for k in 0..64 * OFFERED {
        rig.run_to(begin + k * S / OFFERED);
        if k % LIST_EVERY == 0 {
            rig.event(delta(Vec::new()));
        }
        if k == OFFERED {
            let started = Endpoint { started_at: Some(fleet_time(rig.now)), ..entry(2, 0) };
            rig.event(delta(vec![started]));
        }
        let (id, actions) = rig.request(0, 100 + k, 2 * S);
        let Some(server) = sent(&actions) else { continue };
        open.push_back((id, server));
        if open.len() > OPEN {
            let (id, server) = open.pop_front().expect("not empty");
            rig.outcome(id, 0, server, AttemptStatus::Ok);
        }
        let to_started = usize::from(server == ServerId(2));
        match k / OFFERED {
            1..=3 => first += to_started,
            61..=63 => later += to_started,
            _ => {}
        }
    }
    (first, later)
}

/// A server that has just started is ramped up by the time that has really gone by.
#[test]
fn a_clock_that_is_off_neither_skips_the_ramp_of_a_server_nor_holds_it_back() {
    let (cold, warm) = sends_after_a_start(0);
    assert!(0 < cold && cold < warm, "{cold} at first, {warm} a minute later");
    for ahead in [HOUR as i64, 60 * S as i64, -(60 * S as i64), -(HOUR as i64)] {
        let (first, later) = sends_after_a_start(ahead);
        assert!(first <= cold + CHANCE, "{ahead}: {first} to a cold server, {cold} by a sound clock");
        assert!(later >= warm - warm / 4, "{ahead}: {later} to a warm server, {warm} by a sound clock");
    }
}
