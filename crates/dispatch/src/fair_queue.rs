//! Queue that gives teams equal shares of what is taken from it, by cost.
//!
//! The failure that this prevents: a team that sends many times its usual load fills the queue, and
//! the few requests of other teams wait behind all of these.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    hash::Hash,
};

/// Entries of one team, with the team's virtual time.
#[derive(Debug)]
struct TeamQueue<T> {
    virtual_time: u64,
    entries: VecDeque<(u64, T)>,
}

/// Entries by team. The team with the least virtual time is next; taking an entry advances its team's
/// virtual time by the entry's cost. Keys of a lesser class go first, whatever their virtual time.
#[derive(Debug)]
pub struct FairQueue<K, T> {
    positions: HashMap<K, usize>,
    teams: Vec<TeamQueue<T>>,
    /// Class, virtual time and position of each team with entries.
    next: BinaryHeap<Reverse<(u8, u64, usize)>>,
    len: usize,
}

impl<K: Copy + Eq + Hash, T> FairQueue<K, T> {
    /// Returns an empty queue.
    pub fn new() -> Self {
        Self { positions: HashMap::new(), teams: Vec::new(), next: BinaryHeap::new(), len: 0 }
    }

    /// Adds an entry behind the others of the same key. `start` is the virtual time of a key that isn't
    /// known yet. All entries of a key have the same class.
    pub fn push(&mut self, class: u8, key: K, start: u64, cost: u64, entry: T) {
        let position = *self.positions.entry(key).or_insert_with(|| {
            self.teams.push(TeamQueue { virtual_time: start, entries: VecDeque::new() });
            self.teams.len() - 1
        });
        let team = &mut self.teams[position];
        if team.entries.is_empty() {
            self.next.push(Reverse((class, team.virtual_time, position)));
        }
        team.entries.push_back((cost, entry));
        self.len += 1;
    }

    /// Takes the next entry.
    pub fn pop(&mut self) -> Option<T> {
        let Reverse((class, _, position)) = self.next.pop()?;
        let team = &mut self.teams[position];
        let (cost, entry) = team.entries.pop_front()?;
        team.virtual_time = team.virtual_time.saturating_add(cost);
        if !team.entries.is_empty() {
            self.next.push(Reverse((class, team.virtual_time, position)));
        }
        self.len -= 1;
        Some(entry)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}

impl<K: Copy + Eq + Hash, T> Default for FairQueue<K, T> {
    fn default() -> Self {
        Self::new()
    }
}
