//! Unit test of the queue of gossip entries.

use crate::api::CustomerId;
use crate::gossip::queue::GossipQueue;

#[test]
fn only_gateways_with_queued_customers_are_listed() {
    let mut queue = GossipQueue::default();
    for (to, id) in [(7, 3), (2, 9), (7, 1), (7, 3), (7, 2)] {
        queue.insert(to, CustomerId(id));
    }
    assert_eq!(queue.gateways(), [2, 7]);
    assert_eq!(queue.take(7, 2), [CustomerId(1), CustomerId(2)]);
    assert_eq!(queue.gateways(), [2, 7]);
    assert_eq!(queue.take(7, 2), [CustomerId(3)]);
    assert_eq!(queue.gateways(), [2]);
    assert!(queue.take(7, 2).is_empty());
}
