//! Slots in the order of their keys, with access by position within some subsets of them.
//!
//! A treap: a search tree by key that is a heap by a priority made from the key, so that its shape depends
//! on the keys alone and its depth is logarithmic. Each node counts the members of each subset below it.

use crate::random_source::RandomSource;

/// The place of a record.
pub(crate) type Slot = u32;

/// No slot.
const NONE: Slot = Slot::MAX;

/// How many subsets are counted.
const SUBSETS: usize = 3;

/// A subset whose members can be counted and found by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Subset {
    /// Servers that take new requests.
    Ready,
    /// Of these, the ones that are not ejected.
    Trusted,
    /// Of these, the ones that are warm.
    Available,
}

/// Which subsets a slot belongs to, by [`Subset`] as an index.
pub(crate) type Membership = [bool; SUBSETS];

/// A node of the tree, which is the slot of the same number.
#[derive(Clone, Copy)]
struct Node {
    /// Its key.
    key: u64,
    /// The root of the smaller keys below it.
    left: Slot,
    /// The root of the larger keys below it.
    right: Slot,
    /// Members in this node and below.
    counts: [u32; SUBSETS],
    /// The subsets it belongs to itself.
    member: Membership,
}

impl Node {
    /// Random, but always the same for a key.
    fn priority(&self) -> f64 {
        RandomSource::new(self.key).next_fraction()
    }
}

/// The tree; slots are chosen by the caller and should be dense.
pub(crate) struct RankedTree {
    /// The nodes, by slot.
    nodes: Vec<Node>,
    /// The slot of the root.
    root: Slot,
}

impl Default for RankedTree {
    fn default() -> Self {
        RankedTree { nodes: Vec::new(), root: NONE }
    }
}

impl RankedTree {
    /// Reserves memory for this many further slots.
    pub fn reserve(&mut self, further: usize) {
        self.nodes.reserve(further);
    }

    /// The slot with this key.
    pub fn find(&self, key: u64) -> Option<Slot> {
        let mut at = self.root;
        while let Some(node) = self.nodes.get(at as usize) {
            at = match key.cmp(&node.key) {
                std::cmp::Ordering::Equal => return Some(at),
                std::cmp::Ordering::Less => node.left,
                std::cmp::Ordering::Greater => node.right,
            };
        }
        None
    }

    /// Adds a slot, which is in no subset yet, under a key that is not in the tree.
    pub fn insert(&mut self, slot: Slot, key: u64) {
        let node = Node { key, left: NONE, right: NONE, counts: [0; SUBSETS], member: [false; SUBSETS] };
        if slot as usize >= self.nodes.len() {
            self.nodes.resize(slot as usize + 1, node);
        }
        let (mut parent, mut at) = (NONE, self.root);
        while let Some(above) =
            self.nodes.get(at as usize).filter(|above| above.priority() >= node.priority())
        {
            (parent, at) = (at, if key < above.key { above.left } else { above.right });
        }
        let (left, right) = self.split(at, key);
        self.nodes[slot as usize] = Node { left, right, ..node };
        self.recount(slot);
        self.replace_child(parent, key, slot);
    }

    /// Removes a key.
    pub fn remove(&mut self, key: u64) {
        let Some(slot) = self.find(key) else { return };
        self.set_membership(slot, [false; SUBSETS]);
        let (mut parent, mut at) = (NONE, self.root);
        while at != slot {
            let above = &self.nodes[at as usize];
            (parent, at) = (at, if key < above.key { above.left } else { above.right });
        }
        let Node { left, right, .. } = self.nodes[slot as usize];
        let child = self.merge(left, right);
        self.replace_child(parent, key, child);
    }

    /// Says which subsets a slot belongs to from now on.
    pub fn set_membership(&mut self, slot: Slot, member: Membership) {
        let node = &mut self.nodes[slot as usize];
        let (key, before) = (node.key, std::mem::replace(&mut node.member, member));
        if before == member {
            return;
        }
        let mut at = self.root;
        while at != NONE {
            let node = &mut self.nodes[at as usize];
            for k in 0..SUBSETS {
                node.counts[k] = node.counts[k] + u32::from(member[k]) - u32::from(before[k]);
            }
            at = match key.cmp(&node.key) {
                std::cmp::Ordering::Equal => return,
                std::cmp::Ordering::Less => node.left,
                std::cmp::Ordering::Greater => node.right,
            };
        }
    }

    /// How many members a subset has.
    pub fn count(&self, subset: Subset) -> usize {
        self.count_below(self.root, subset)
    }

    /// The member at this position of a subset, from 0.
    pub fn at(&self, subset: Subset, position: usize) -> Option<Slot> {
        let (mut at, mut position) = (self.root, position);
        while let Some(node) = self.nodes.get(at as usize) {
            let left = self.count_below(node.left, subset);
            let own = usize::from(node.member[subset as usize]);
            if position < left {
                at = node.left;
            } else if position < left + own {
                return Some(at);
            } else {
                position -= left + own;
                at = node.right;
            }
        }
        None
    }

    /// How many members of a subset have a smaller key.
    pub fn rank(&self, subset: Subset, key: u64) -> usize {
        let (mut at, mut rank) = (self.root, 0);
        while let Some(node) = self.nodes.get(at as usize) {
            if key <= node.key {
                at = node.left;
            } else {
                rank += self.count_below(node.left, subset) + usize::from(node.member[subset as usize]);
                at = node.right;
            }
        }
        rank
    }

    /// All slots in the order of their keys.
    pub fn slots(&self) -> Vec<Slot> {
        let (mut slots, mut above, mut at) = (Vec::new(), Vec::new(), self.root);
        loop {
            while at != NONE {
                above.push(at);
                at = self.nodes[at as usize].left;
            }
            let Some(slot) = above.pop() else { return slots };
            slots.push(slot);
            at = self.nodes[slot as usize].right;
        }
    }

    /// Levels of the tree; a walk.
    #[cfg(test)]
    pub fn depth(&self) -> usize {
        let (mut depth, mut level) = (0, vec![self.root]);
        loop {
            level.retain(|at| *at != NONE);
            if level.is_empty() {
                return depth;
            }
            depth += 1;
            let children = |at: &Slot| [self.nodes[*at as usize].left, self.nodes[*at as usize].right];
            level = level.iter().flat_map(children).collect();
        }
    }

    /// Members of a subset in a node and below.
    fn count_below(&self, at: Slot, subset: Subset) -> usize {
        self.nodes.get(at as usize).map_or(0, |node| node.counts[subset as usize] as usize)
    }

    /// Counts a node's members anew from its children.
    fn recount(&mut self, at: Slot) {
        let node = self.nodes[at as usize];
        let mut counts = node.member.map(u32::from);
        for child in [node.left, node.right] {
            if let Some(child) = self.nodes.get(child as usize) {
                (0..SUBSETS).for_each(|k| counts[k] += child.counts[k]);
            }
        }
        self.nodes[at as usize].counts = counts;
    }

    /// Splits a tree into the keys below `key` and the others.
    fn split(&mut self, at: Slot, key: u64) -> (Slot, Slot) {
        if at == NONE {
            return (NONE, NONE);
        }
        let node = self.nodes[at as usize];
        if node.key < key {
            let (below, above) = self.split(node.right, key);
            self.nodes[at as usize].right = below;
            self.recount(at);
            (at, above)
        } else {
            let (below, above) = self.split(node.left, key);
            self.nodes[at as usize].left = above;
            self.recount(at);
            (below, at)
        }
    }

    /// Joins two trees, all keys of the first below those of the second.
    fn merge(&mut self, below: Slot, above: Slot) -> Slot {
        if below == NONE {
            return above;
        }
        if above == NONE {
            return below;
        }
        if self.nodes[below as usize].priority() >= self.nodes[above as usize].priority() {
            let right = self.nodes[below as usize].right;
            self.nodes[below as usize].right = self.merge(right, above);
            self.recount(below);
            below
        } else {
            let left = self.nodes[above as usize].left;
            self.nodes[above as usize].left = self.merge(below, left);
            self.recount(above);
            above
        }
    }

    /// Puts a tree where the search for a key goes on below `parent`.
    fn replace_child(&mut self, parent: Slot, key: u64, child: Slot) {
        match self.nodes.get_mut(parent as usize) {
            None => self.root = child,
            Some(above) if key < above.key => above.left = child,
            Some(above) => above.right = child,
        }
    }
}
