use crate::api::*;
use crate::customer_table::Customer;
use crate::customer_table::{ChangedCustomers, CustomerTable};
use proptest::prelude::*;
use std::collections::BTreeMap;

const S: Micros = 1_000_000;

/// A customer that is as good as new 1 s + 1.5 s for each of its gateways after its last use.
fn customer(filled: Micros, spread: usize) -> Customer {
    let terms = Plan { rate: 1.0, burst: 1.0, ..Plan::default() };
    Customer { plan: terms, gateway_count: spread, refilled_at: filled, ..Customer::default() }
}

#[derive(Clone, Debug)]
enum Step {
    Insert(u64, usize),
    Use { id: u64, open: u32, calling: bool, spread: usize },
    Tick(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0u64..20, 1usize..4).prop_map(|(id, spread)| Step::Insert(id, spread)),
        3 => (0u64..20, 0u32..2, any::<bool>(), 1usize..4)
            .prop_map(|(id, open, calling, spread)| Step::Use { id, open, calling, spread }),
        3 => (0u64..3_000).prop_map(Step::Tick),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// As if each tick had looked at each customer.
    #[test]
    fn the_queue_forgets_exactly_the_customers_that_are_due(steps in prop::collection::vec(step(), 1..150)) {
        let (mut table, mut model, mut now) = (CustomerTable::default(), BTreeMap::new(), S);
        for step in steps {
            match step {
                Step::Insert(id, spread) => {
                    table.insert(CustomerId(id), customer(now, spread));
                    model.insert(id, customer(now, spread));
                }
                Step::Use { id, open, calling, spread } => {
                    let change = |c: &mut Customer| {
                        (c.refilled_at, c.in_flight, c.call_in_flight) = (now, open, calling);
                        c.gateway_count = c.gateway_count.max(spread);
                    };
                    table.get_mut(CustomerId(id)).into_iter().for_each(change);
                    model.get_mut(&id).into_iter().for_each(change);
                }
                Step::Tick(ms) => {
                    now += ms * 1_000;
                    table.forget_idle(now);
                    model.retain(|_, c| c.in_flight > 0 || c.call_in_flight || now < c.idle_at());
                }
            }
            prop_assert!(table.iter_mut().map(|(id, _)| id.0).eq(model.keys().copied()));
        }
    }
}

#[test]
fn a_tick_with_nothing_due_examines_nobody() {
    let mut table = CustomerTable::default();
    (0..1_000).for_each(|id| table.insert(CustomerId(id), customer(S, 1)));
    table.forget_idle(2 * S);
    assert_eq!(table.visited(), 0);
    table.forget_idle(4 * S);
    assert_eq!((table.visited(), table.iter_mut().count()), (1_000, 0));
}

/// One used meanwhile is looked at once where it was due before, and not again before it is due anew.
#[test]
fn a_customer_in_use_is_not_examined_by_each_tick() {
    let mut table = CustomerTable::default();
    table.insert(CustomerId(1), customer(S, 1));
    table.get_mut(CustomerId(1)).expect("just added").refilled_at = 3 * S;
    (4 * S..5 * S).step_by(100_000).for_each(|now| table.forget_idle(now));
    assert_eq!((table.visited(), table.iter_mut().count()), (1, 1));
    table.forget_idle(6 * S);
    assert_eq!((table.visited(), table.iter_mut().count()), (2, 0));
}

#[test]
fn changed_customers_take_turns_where_there_are_many() {
    let mut changed = ChangedCustomers::default();
    let ids = |range: std::ops::Range<u64>| range.map(CustomerId).collect::<Vec<_>>();
    for id in ids(0..10).into_iter().rev() {
        changed.insert(id);
    }
    assert_eq!(changed.take(4), ids(0..4));
    for id in ids(0..4) {
        changed.insert(id);
    }
    assert_eq!(changed.take(4), ids(4..8), "those that were put back wait for the others");
    assert_eq!(changed.take(4), [ids(8..10), ids(0..2)].concat());
    assert_eq!(changed.take(4), ids(2..4));
    assert!(changed.take(4).is_empty());
}
