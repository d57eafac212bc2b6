//! Unit tests of the table of customers: idle customers are evicted in time and without a scan of the table,
//! and changed customers are taken in round-robin order.

use crate::api::{CustomerId, Micros, Plan};
use crate::customer::table::{ChangedCustomers, CustomerTable};
use crate::customer::Customer;
use proptest::prelude::{any, prop, prop_assert, prop_oneof, proptest, ProptestConfig, Strategy};
use std::collections::BTreeMap;

/// One second in microseconds.
const SECOND: Micros = 1_000_000;

/// Returns a customer whose state equals that of a new one 1 s + 1.5 s per gateway after its last use.
fn customer(refilled_at: Micros, gateway_count: usize) -> Customer {
    let plan = Plan { rate: 1.0, burst: 1.0, ..Plan::default() };
    let mut customer = Customer { plan, gateway_count, ..Customer::default() };
    customer.bucket.set_refilled_at(refilled_at);
    customer
}

/// A step of a random sequence, applied to the table and to the reference model.
#[derive(Clone, Debug)]
enum Step {
    /// Inserts or replaces a customer with this id and gateway count.
    Insert(u64, usize),
    /// Records a use of the customer now and sets its requests and counter call in flight.
    Use { id: u64, in_flight: u32, has_call: bool, gateway_count: usize },
    /// Evicts idle customers after this number of milliseconds.
    Tick(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0u64..20, 1usize..4).prop_map(|(id, gateway_count)| Step::Insert(id, gateway_count)),
        3 => (0u64..20, 0u32..2, any::<bool>(), 1usize..4)
            .prop_map(|(id, in_flight, has_call, gateway_count)| {
                Step::Use { id, in_flight, has_call, gateway_count }
            }),
        3 => (0u64..3_000).prop_map(Step::Tick),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// The idle queue must evict the same customers as a scan of the whole table at each tick.
    #[test]
    fn idle_queue_evicts_exactly_the_customers_that_are_due(steps in prop::collection::vec(step(), 1..150)) {
        let (mut table, mut model, mut now) = (CustomerTable::default(), BTreeMap::new(), SECOND);
        for step in steps {
            match step {
                Step::Insert(id, gateway_count) => {
                    table.insert(CustomerId(id), customer(now, gateway_count));
                    model.insert(id, customer(now, gateway_count));
                }
                Step::Use { id, in_flight, has_call, gateway_count } => {
                    let change = |customer: &mut Customer| {
                        customer.bucket.set_refilled_at(now);
                        customer.in_flight = in_flight;
                        customer.counter.end_call();
                        if has_call {
                            customer.counter.begin_call(0.0);
                        }
                        customer.gateway_count = customer.gateway_count.max(gateway_count);
                    };
                    table.get_mut(CustomerId(id)).into_iter().for_each(change);
                    model.get_mut(&id).into_iter().for_each(change);
                }
                Step::Tick(ms) => {
                    now += ms * 1_000;
                    table.evict_idle(now);
                    model.retain(|_, customer| {
                        let has_call = customer.counter.has_call_in_flight();
                        customer.in_flight > 0 || has_call || now < customer.idle_at()
                    });
                }
            }
            prop_assert!(table.iter_mut().map(|(id, _)| id.0).eq(model.keys().copied()));
        }
    }
}

#[test]
fn tick_with_no_customer_due_visits_none() {
    let mut table = CustomerTable::default();
    (0..1_000).for_each(|id| table.insert(CustomerId(id), customer(SECOND, 1)));
    table.evict_idle(2 * SECOND);
    assert_eq!(table.visited(), 0);
    table.evict_idle(4 * SECOND);
    assert_eq!((table.visited(), table.iter_mut().count()), (1_000, 0));
}

/// Guards against repeated visits: a customer used after its insertion is visited once at its original due
/// time, and then not before its new one.
#[test]
fn customer_in_use_is_not_visited_by_each_tick() {
    let mut table = CustomerTable::default();
    table.insert(CustomerId(1), customer(SECOND, 1));
    table.get_mut(CustomerId(1)).expect("customer 1 was inserted").bucket.set_refilled_at(3 * SECOND);
    (4 * SECOND..5 * SECOND).step_by(100_000).for_each(|now| table.evict_idle(now));
    assert_eq!((table.visited(), table.iter_mut().count()), (1, 1));
    table.evict_idle(6 * SECOND);
    assert_eq!((table.visited(), table.iter_mut().count()), (2, 0));
}

#[test]
fn changed_customers_above_the_limit_are_taken_in_round_robin_order() {
    let mut changed = ChangedCustomers::default();
    let ids = |range: std::ops::Range<u64>| range.map(CustomerId).collect::<Vec<_>>();
    for id in ids(0..10).into_iter().rev() {
        changed.insert(id);
    }
    assert_eq!(changed.take(4), ids(0..4));
    for id in ids(0..4) {
        changed.insert(id);
    }
    assert_eq!(changed.take(4), ids(4..8), "customers added again wait until the others have been taken");
    assert_eq!(changed.take(4), [ids(8..10), ids(0..2)].concat());
    assert_eq!(changed.take(4), ids(2..4));
    assert!(changed.take(4).is_empty());
}

#[test]
fn full_table_evicts_the_customer_that_would_be_idle_first_and_none_in_flight() {
    let mut table = CustomerTable::default();
    table.set_max_customers(3);
    let in_flight = Customer { in_flight: 1, ..customer(SECOND, 1) };
    table.insert(CustomerId(1), in_flight);
    for id in 2..4 {
        table.insert(CustomerId(id), customer(id * SECOND, 1));
    }
    let used_again = table.get_mut(CustomerId(2)).expect("the table has room for three customers");
    used_again.bucket.set_refilled_at(9 * SECOND);
    table.insert(CustomerId(4), customer(4 * SECOND, 1));
    let kept = |table: &CustomerTable| -> Vec<u64> {
        (1..=5).filter(|id| table.get(CustomerId(*id)).is_some()).collect()
    };
    assert_eq!(kept(&table), [1, 2, 4]);
    table.insert(CustomerId(5), customer(5 * SECOND, 1));
    assert_eq!(kept(&table), [1, 2, 5]);
    let replaced = customer(6 * SECOND, 1);
    table.insert(CustomerId(5), replaced);
    assert_eq!(kept(&table), [1, 2, 5]);
}

#[test]
fn insertion_into_a_full_table_visits_a_bounded_number_of_customers() {
    let mut table = CustomerTable::default();
    table.set_max_customers(10_000);
    for id in 0..10_000 {
        table.insert(CustomerId(id), Customer { in_flight: 1, ..customer(SECOND, 1) });
    }
    table.insert(CustomerId(10_000), customer(SECOND, 1));
    assert!(table.visited() <= 64, "{} customers were visited", table.visited());
    assert!(table.get(CustomerId(0)).is_some() && table.get(CustomerId(10_000)).is_some());
}

/// Guards against a table that grows because those that would be idle first have requests that take long.
#[test]
fn customers_in_flight_do_not_keep_a_full_table_from_evicting_others() {
    const IN_FLIGHT: u64 = 300;
    const MAX_CUSTOMERS: usize = 500;
    let mut table = CustomerTable::default();
    table.set_max_customers(MAX_CUSTOMERS);
    for id in 0..IN_FLIGHT {
        table.insert(CustomerId(id), Customer { in_flight: 1, ..customer(SECOND, 1) });
    }
    for id in IN_FLIGHT..10_000 {
        table.insert(CustomerId(id), customer(SECOND + id, 1));
    }
    let kept = (0..10_000).filter(|id| table.get(CustomerId(*id)).is_some()).count();
    assert!(kept <= MAX_CUSTOMERS + IN_FLIGHT as usize, "{kept} customers");
    assert!((0..IN_FLIGHT).all(|id| table.get(CustomerId(id)).is_some()));
}
