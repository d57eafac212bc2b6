//! An ordered set of slots, with access by position within subsets of it.
//!
//! The tree is a treap: a binary search tree by key and a heap by priority. A node's priority is a
//! pseudorandom function of its key, so that the shape depends on the keys alone and the expected depth is
//! logarithmic. Each node counts the members of each subset in its subtree.

use crate::random_source::RandomSource;

/// Index of a record in the caller's table.
pub(crate) type Slot = u32;

/// Marks an absent child, parent or root.
const NONE: Slot = Slot::MAX;

/// Number of subsets, the variants of [`Subset`].
const SUBSET_COUNT: usize = 3;

/// A subset whose members can be counted and found by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Subset {
    /// Servers that accept new requests.
    Ready,
    /// Ready servers that are not ejected.
    Healthy,
    /// Healthy servers that are not warming up.
    WarmedUp,
}

/// Whether a slot belongs to each subset, indexed by [`Subset`].
pub(crate) type Membership = [bool; SUBSET_COUNT];

/// A node of the tree, stored at the index of its slot.
#[derive(Clone, Copy)]
struct Node {
    key: u64,
    /// Root of the subtree of smaller keys.
    left: Slot,
    /// Root of the subtree of larger keys.
    right: Slot,
    /// Members of each subset in this node and its subtrees.
    counts: [u32; SUBSET_COUNT],
    /// Subsets that the node itself belongs to.
    membership: Membership,
}

impl Node {
    /// Returns the heap priority, a pseudorandom function of the key.
    fn priority(&self) -> f64 {
        RandomSource::new(self.key).next_fraction()
    }
}

/// A treap of slots. The caller assigns the slots; memory grows with the highest one.
pub(crate) struct RankedTree {
    /// Nodes by slot; those of unused slots are stale.
    nodes: Vec<Node>,
    root: Slot,
}

impl Default for RankedTree {
    fn default() -> Self {
        RankedTree { nodes: Vec::new(), root: NONE }
    }
}

impl RankedTree {
    /// Reserves memory for a number of additional slots.
    pub fn reserve(&mut self, additional: usize) {
        self.nodes.reserve(additional);
    }

    /// Returns the slot with the given key.
    pub fn find(&self, key: u64) -> Option<Slot> {
        let mut current = self.root;
        while let Some(node) = self.nodes.get(current as usize) {
            current = match key.cmp(&node.key) {
                std::cmp::Ordering::Equal => return Some(current),
                std::cmp::Ordering::Less => node.left,
                std::cmp::Ordering::Greater => node.right,
            };
        }
        None
    }

    /// Inserts a slot, which is in no subset yet, under a key that must not be in the tree.
    pub fn insert(&mut self, slot: Slot, key: u64) {
        let node = Node {
            key,
            left: NONE,
            right: NONE,
            counts: [0; SUBSET_COUNT],
            membership: [false; SUBSET_COUNT],
        };
        if slot as usize >= self.nodes.len() {
            self.nodes.resize(slot as usize + 1, node);
        }
        let (mut parent, mut current) = (NONE, self.root);
        while let Some(ancestor) =
            self.nodes.get(current as usize).filter(|ancestor| ancestor.priority() >= node.priority())
        {
            (parent, current) = (current, if key < ancestor.key { ancestor.left } else { ancestor.right });
        }
        let (left, right) = self.split(current, key);
        self.nodes[slot as usize] = Node { left, right, ..node };
        self.recount(slot);
        self.replace_child(parent, key, slot);
    }

    /// Removes the slot with the given key, if there is one.
    pub fn remove(&mut self, key: u64) {
        let Some(slot) = self.find(key) else { return };
        self.set_membership(slot, [false; SUBSET_COUNT]);
        let (mut parent, mut current) = (NONE, self.root);
        while current != slot {
            let ancestor = &self.nodes[current as usize];
            (parent, current) = (current, if key < ancestor.key { ancestor.left } else { ancestor.right });
        }
        let Node { left, right, .. } = self.nodes[slot as usize];
        let child = self.merge(left, right);
        self.replace_child(parent, key, child);
    }

    /// Sets the subsets that a slot belongs to.
    pub fn set_membership(&mut self, slot: Slot, membership: Membership) {
        let node = &mut self.nodes[slot as usize];
        let (key, before) = (node.key, std::mem::replace(&mut node.membership, membership));
        if before == membership {
            return;
        }
        let mut current = self.root;
        while current != NONE {
            let node = &mut self.nodes[current as usize];
            for k in 0..SUBSET_COUNT {
                node.counts[k] = node.counts[k] + u32::from(membership[k]) - u32::from(before[k]);
            }
            current = match key.cmp(&node.key) {
                std::cmp::Ordering::Equal => return,
                std::cmp::Ordering::Less => node.left,
                std::cmp::Ordering::Greater => node.right,
            };
        }
    }

    /// Returns the number of members of a subset.
    pub fn count(&self, subset: Subset) -> usize {
        self.count_below(self.root, subset)
    }

    /// Returns the member at a position of a subset, counted from 0 in the order of keys.
    pub fn at(&self, subset: Subset, position: usize) -> Option<Slot> {
        let (mut current, mut position) = (self.root, position);
        while let Some(node) = self.nodes.get(current as usize) {
            let left = self.count_below(node.left, subset);
            let own_count = usize::from(node.membership[subset as usize]);
            if position < left {
                current = node.left;
            } else if position < left + own_count {
                return Some(current);
            } else {
                position -= left + own_count;
                current = node.right;
            }
        }
        None
    }

    /// Returns the number of members of a subset whose key is smaller than the given one.
    pub fn rank(&self, subset: Subset, key: u64) -> usize {
        let (mut current, mut rank) = (self.root, 0);
        while let Some(node) = self.nodes.get(current as usize) {
            if key <= node.key {
                current = node.left;
            } else {
                rank += self.count_below(node.left, subset) + usize::from(node.membership[subset as usize]);
                current = node.right;
            }
        }
        rank
    }

    /// Returns all slots in the order of their keys.
    pub fn slots(&self) -> Vec<Slot> {
        let (mut slots, mut ancestors, mut current) = (Vec::new(), Vec::new(), self.root);
        loop {
            while current != NONE {
                ancestors.push(current);
                current = self.nodes[current as usize].left;
            }
            let Some(slot) = ancestors.pop() else { return slots };
            slots.push(slot);
            current = self.nodes[slot as usize].right;
        }
    }

    /// Returns the number of levels, in time linear in the number of slots.
    #[cfg(test)]
    pub fn depth(&self) -> usize {
        let (mut depth, mut level) = (0, vec![self.root]);
        loop {
            level.retain(|slot| *slot != NONE);
            if level.is_empty() {
                return depth;
            }
            depth += 1;
            let children = |slot: &Slot| [self.nodes[*slot as usize].left, self.nodes[*slot as usize].right];
            level = level.iter().flat_map(children).collect();
        }
    }

    /// Returns the number of members of a subset in a subtree.
    fn count_below(&self, root: Slot, subset: Subset) -> usize {
        self.nodes.get(root as usize).map_or(0, |node| node.counts[subset as usize] as usize)
    }

    /// Recomputes a node's member counts from its children.
    fn recount(&mut self, slot: Slot) {
        let node = self.nodes[slot as usize];
        let mut counts = node.membership.map(u32::from);
        for child in [node.left, node.right] {
            if let Some(child) = self.nodes.get(child as usize) {
                (0..SUBSET_COUNT).for_each(|k| counts[k] += child.counts[k]);
            }
        }
        self.nodes[slot as usize].counts = counts;
    }

    /// Splits a subtree into the keys below `key` and the remaining ones; returns the two roots.
    fn split(&mut self, root: Slot, key: u64) -> (Slot, Slot) {
        if root == NONE {
            return (NONE, NONE);
        }
        let node = self.nodes[root as usize];
        if node.key < key {
            let (smaller, larger) = self.split(node.right, key);
            self.nodes[root as usize].right = smaller;
            self.recount(root);
            (root, larger)
        } else {
            let (smaller, larger) = self.split(node.left, key);
            self.nodes[root as usize].left = larger;
            self.recount(root);
            (smaller, root)
        }
    }

    /// Merges two subtrees, all keys of the first below all of the second, and returns the root.
    fn merge(&mut self, smaller: Slot, larger: Slot) -> Slot {
        if smaller == NONE {
            return larger;
        }
        if larger == NONE {
            return smaller;
        }
        if self.nodes[smaller as usize].priority() >= self.nodes[larger as usize].priority() {
            let right = self.nodes[smaller as usize].right;
            self.nodes[smaller as usize].right = self.merge(right, larger);
            self.recount(smaller);
            smaller
        } else {
            let left = self.nodes[larger as usize].left;
            self.nodes[larger as usize].left = self.merge(smaller, left);
            self.recount(larger);
            larger
        }
    }

    /// Replaces the child of `parent` on the search path of a key, or the root if `parent` is `NONE`.
    fn replace_child(&mut self, parent: Slot, key: u64, child: Slot) {
        match self.nodes.get_mut(parent as usize) {
            None => self.root = child,
            Some(node) if key < node.key => node.left = child,
            Some(node) => node.right = child,
        }
    }
}
