//! Unit tests of the ranked tree against a sorted map, and of its depth.

use crate::endpoints::ranked_tree::{RankedTree, Slot, Subset};
use proptest::prelude::{any, prop, prop_oneof, proptest, ProptestConfig, Strategy};
use std::collections::BTreeMap;

/// All subsets, in the order of their indexes in a membership array.
const SUBSETS: [Subset; 3] = [Subset::Ready, Subset::Healthy, Subset::WarmedUp];

/// A step of a random sequence, applied to the tree and to the reference model.
#[derive(Clone, Debug)]
enum Step {
    Insert(u64),
    Remove(u64),
    SetMembership(u64, [bool; 3]),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0u64..60).prop_map(Step::Insert),
        1 => (0u64..60).prop_map(Step::Remove),
        3 => (0u64..60, any::<[bool; 3]>())
            .prop_map(|(key, membership)| Step::SetMembership(key, membership)),
    ]
}

/// The reference model: slots and memberships by key.
type Model = BTreeMap<u64, (Slot, [bool; 3])>;

fn assert_matches_model(tree: &RankedTree, model: &Model) {
    assert_eq!(tree.slots(), model.values().map(|(slot, _)| *slot).collect::<Vec<_>>());
    for key in 0..61 {
        assert_eq!(tree.find(key), model.get(&key).map(|(slot, _)| *slot));
    }
    for subset in SUBSETS {
        let is_member = |(_, (_, membership)): &(&u64, &(Slot, [bool; 3]))| membership[subset as usize];
        let members: Vec<(u64, Slot)> =
            model.iter().filter(is_member).map(|(key, (slot, _))| (*key, *slot)).collect();
        assert_eq!(tree.count(subset), members.len());
        for (position, (key, slot)) in members.iter().enumerate() {
            assert_eq!(tree.at(subset, position), Some(*slot));
            assert_eq!(tree.rank(subset, *key), position);
        }
        assert_eq!(tree.at(subset, members.len()), None);
        for key in 0..61 {
            assert_eq!(tree.rank(subset, key), members.iter().filter(|(k, _)| *k < key).count());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn positions_and_ranks_match_a_sorted_map(steps in prop::collection::vec(step(), 1..150)) {
        let (mut tree, mut model) = (RankedTree::default(), Model::new());
        for step in steps {
            match step {
                Step::Insert(key) if !model.contains_key(&key) => {
                    // The order of the slots differs from that of the keys.
                    let slot = (key * 37 % 61) as Slot;
                    tree.insert(slot, key);
                    model.insert(key, (slot, [false; 3]));
                }
                Step::Remove(key) => {
                    tree.remove(key);
                    model.remove(&key);
                }
                Step::SetMembership(key, membership) => {
                    if let Some((slot, known)) = model.get_mut(&key) {
                        tree.set_membership(*slot, membership);
                        *known = membership;
                    }
                }
                Step::Insert(_) => {}
            }
            assert_matches_model(&tree, &model);
        }
    }
}

/// Guards against a degenerate tree: without balancing, ascending keys form a list.
#[test]
fn depth_stays_logarithmic() {
    let mut tree = RankedTree::default();
    for key_count in [1_000_u32, 10_000, 100_000] {
        let start = tree.slots().len() as u32;
        (start..key_count).for_each(|k| tree.insert(k, u64::from(k)));
        let max_depth = 5.0 * f64::from(key_count).log2();
        assert!(
            tree.depth() as f64 <= max_depth,
            "{} levels for {key_count} keys, expected at most {max_depth:.0}",
            tree.depth()
        );
    }
}
