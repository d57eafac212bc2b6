//! Tests of [`IdExchange`].

use super::*;

/// Returns an id that is remembered until `forgotten_at`.
fn recent(id: &str, forgotten_at: Micros) -> RecentId {
    RecentId { id: id.as_bytes().into(), forgotten_at }
}

#[test]
fn ids_of_before_and_during_the_exchange_reach_the_other_process() {
    let (here, there) = UnixStream::pair().unwrap();
    let (mut exchange, mut ids) = (IdExchange::default(), RecentIds::default());
    let (mut other_exchange, mut other_ids) = (IdExchange::default(), RecentIds::default());
    ids.insert(0, recent("before", 100));
    exchange.begin(50, here, &ids).unwrap();
    other_exchange.begin(5_000, there, &other_ids).unwrap();
    exchange.send(60, &recent("during", 100));
    assert!(!other_exchange.has_initial_ids());
    other_exchange.receive(5_000, &mut other_ids);
    assert!(other_exchange.has_initial_ids());
    assert!(other_ids.contains(5_039, b"during") && !other_ids.contains(5_040, b"during"));
    assert!(other_ids.contains(5_049, b"before") && !other_ids.contains(5_050, b"before"));
    other_exchange.send(5_000, &recent("there", 5_010));
    exchange.receive(70, &mut ids);
    assert!(ids.contains(79, b"there") && !ids.contains(80, b"there"));
    drop(other_exchange);
    exchange.receive(80, &mut ids);
    assert!(!exchange.is_active());
}

/// The other process is paused, and the socket's buffer fills.
#[test]
fn exchange_with_a_process_that_takes_nothing_ends() {
    let (here, _there) = UnixStream::pair().unwrap();
    let mut exchange = IdExchange::default();
    exchange.begin(0, here, &RecentIds::default()).unwrap();
    for number in 0..1_000_000 {
        exchange.send(0, &recent(&format!("{number:064}"), 100));
        if !exchange.is_active() {
            return;
        }
    }
    panic!("the socket takes everything");
}
