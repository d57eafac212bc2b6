//! Tests of [`RecentIds`].

use super::*;

/// Returns an id that is remembered until `forgotten_at`.
fn recent(number: u64, forgotten_at: Micros) -> RecentId {
    RecentId { id: Box::from(number.to_be_bytes()), forgotten_at }
}

#[test]
fn id_is_remembered_until_its_time_however_often_it_is_added() {
    let mut ids = RecentIds::default();
    ids.insert(0, recent(1, 10));
    ids.insert(5, recent(1, 20));
    ids.insert(12, recent(2, 30));
    assert!(ids.contains(12, &1_u64.to_be_bytes()) && !ids.contains(20, &1_u64.to_be_bytes()));
    assert!(ids.contains(20, &2_u64.to_be_bytes()));
    assert_eq!(ids.newest_first().next(), Some(&recent(2, 30)));
}

/// Guards against memory that grows with the ids that clients choose.
#[test]
fn oldest_ids_are_forgotten_beyond_the_limit() {
    let mut ids = RecentIds::default();
    let count = 2 * MAX_RECENT_IDS as u64;
    for number in 0..count {
        ids.insert(0, recent(number, 10));
    }
    assert_eq!((ids.order.len(), ids.by_id.len()), (MAX_RECENT_IDS, MAX_RECENT_IDS));
    assert!(!ids.contains(0, &0_u64.to_be_bytes()) && ids.contains(0, &(count - 1).to_be_bytes()));
}
