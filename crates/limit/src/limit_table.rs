//! The limits that servers name, as nodes tell each other.
//!
//! Nodes merge entries in any order and as often as they like. An entry is one time of need of a
//! server: it begins with a named limit and ends with an answer that names none. A later generation
//! replaces an earlier one.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Largest number of entries, ended ones included.
const ENTRIES_MAX: usize = 2048;
/// Time for which an ended entry is kept, so that a node with an older copy doesn't bring it back.
const ENDED_KEPT_FOR: Duration = Duration::from_secs(60);
/// Time after which the entry of a server that the registry doesn't list is dropped.
const UNLISTED_KEPT_FOR: Duration = Duration::from_secs(600);
/// Highest generation. Nodes count up by one, so that an entry beyond it comes from another writer.
const GENERATION_MAX: u32 = 1 << 24;

/// A limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedLimit {
    /// Requests per second that the server takes from all VMs together.
    pub per_second: f64,
    /// When an answer named it last, as far as this VM knows.
    pub named_at: Instant,
    /// When the server began to name limits: the same moment on all VMs, up to the delay of messages.
    pub began_at: Instant,
}

/// An entry as one node sends it to another.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct LimitUpdate {
    /// Hash that identifies the run of the server.
    pub server: u32,
    /// Requests per second.
    pub per_second: f64,
    /// Number of times that the server began to name a limit.
    pub generation: u32,
    /// Time since the limit was named last, in milliseconds.
    pub named_before_ms: u32,
    /// Time since the server began to name limits, in milliseconds.
    pub began_before_ms: u32,
    /// Time since the request was sent whose answer ended the limit, in milliseconds; `None` while
    /// the limit is in force.
    pub ended_before_ms: Option<u32>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    per_second: f64,
    generation: u32,
    named_at: Instant,
    began_at: Instant,
    /// When an answer to this node last named the limit.
    own_named_at: Option<Instant>,
    /// When the request was sent whose answer ended the limit.
    end_sent_at: Option<Instant>,
    ended_at: Option<Instant>,
    listed_at: Instant,
    /// When this node got to know of the need that the entry stands for.
    known_at: Instant,
}

/// The limits that one node knows, by the hash of the server's run.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    entries: BTreeMap<u32, Entry>,
}

impl LimitTable {
    /// Records that an answer to this node has named a limit. Returns true if other nodes have to
    /// know that.
    pub fn on_named(&mut self, now: Instant, server: u32, per_second: f64) -> bool {
        let entry = self.entries.get_mut(&server).filter(|entry| entry.end_sent_at.is_none());
        if let Some(entry) = entry {
            let has_changed = entry.per_second != per_second;
            (entry.per_second, entry.named_at) = (per_second, now);
            entry.own_named_at = Some(now);
            return has_changed;
        }
        let generation = self.entries.get(&server).map_or(1, |entry| entry.generation + 1);
        self.insert(
            server,
            Entry {
                per_second,
                generation,
                named_at: now,
                began_at: now,
                own_named_at: Some(now),
                end_sent_at: None,
                ended_at: None,
                listed_at: now,
                known_at: now,
            },
        );
        true
    }

    /// Records that an answer without a limit has arrived, to a request that was sent at `sent_at`.
    /// Returns true if that ends the limit.
    pub fn on_unnamed(&mut self, now: Instant, server: u32, sent_at: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&server) else { return false };
        if entry.end_sent_at.is_some() || sent_at <= entry.named_at {
            return false;
        }
        (entry.end_sent_at, entry.ended_at) = (Some(sent_at), Some(now));
        true
    }

    /// Merges an entry of another node. Returns true if this node's entry is now another one, which
    /// other nodes have to know. An entry that no node can have written changes nothing.
    pub fn merge(&mut self, now: Instant, update: &LimitUpdate) -> bool {
        let is_rate = update.per_second.is_finite() && update.per_second >= 0.0;
        if !is_rate || update.generation > GENERATION_MAX {
            return false;
        }
        let before = |ms: u32| now.checked_sub(Duration::from_millis(u64::from(ms))).unwrap_or(now);
        let named_at = before(update.named_before_ms);
        let began_at = before(update.began_before_ms);
        let end_sent_at = update.ended_before_ms.map(before);
        let known = self.entries.get_mut(&update.server);
        let Some(entry) = known.filter(|entry| entry.generation >= update.generation) else {
            let own_named_at = None;
            self.insert(
                update.server,
                Entry {
                    per_second: update.per_second,
                    generation: update.generation,
                    named_at,
                    began_at,
                    own_named_at,
                    end_sent_at,
                    ended_at: end_sent_at.map(|_| now),
                    listed_at: now,
                    known_at: now,
                },
            );
            return true;
        };
        if entry.generation > update.generation || entry.end_sent_at.is_some() {
            return false;
        }
        // Delays of messages make the moment later, so the earliest is the closest.
        entry.began_at = entry.began_at.min(began_at);
        if let Some(sent_at) = end_sent_at {
            if entry.own_named_at.is_some_and(|at| at >= sent_at) {
                // The node that ended the limit hadn't heard of an answer that names it.
                entry.generation += 1;
            } else {
                (entry.end_sent_at, entry.ended_at) = (Some(sent_at), Some(now));
            }
            return true;
        }
        if named_at <= entry.named_at {
            return false;
        }
        let has_changed = entry.per_second != update.per_second;
        (entry.per_second, entry.named_at) = (update.per_second, named_at);
        has_changed
    }

    /// The limit of a server, if it names one.
    pub fn get(&self, server: u32) -> Option<NamedLimit> {
        self.entries.get(&server).and_then(Entry::in_force)
    }

    /// True if the server began to name its limit within `age`, as far as this node can tell.
    pub fn is_new(&self, now: Instant, server: u32, age: Duration) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < age;
        let entry = self.entries.get(&server);
        entry.is_some_and(|entry| is_recent(entry.known_at) && is_recent(entry.named_at))
    }

    /// The limits in force.
    pub fn in_force(&self) -> impl Iterator<Item = (u32, NamedLimit)> + '_ {
        self.entries.iter().filter_map(|(server, entry)| Some((*server, entry.in_force()?)))
    }

    /// True if anything is recorded of a server, also that its limit has ended.
    pub fn contains(&self, server: u32) -> bool {
        self.entries.contains_key(&server)
    }

    /// True if nothing is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All entries, as other nodes merge them.
    pub fn updates(&self, now: Instant) -> Vec<LimitUpdate> {
        let ms = |at: Instant| {
            u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
        };
        let update = |(server, entry): (&u32, &Entry)| LimitUpdate {
            server: *server,
            per_second: entry.per_second,
            generation: entry.generation,
            named_before_ms: ms(entry.named_at),
            began_before_ms: ms(entry.began_at),
            ended_before_ms: entry.end_sent_at.map(ms),
        };
        self.entries.iter().map(update).collect()
    }

    /// Drops entries that ended long ago, and those of servers that the registry hasn't listed for
    /// long.
    pub fn sweep(&mut self, now: Instant, is_listed: impl Fn(u32) -> bool) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.entries.retain(|server, entry| {
            if is_listed(*server) {
                entry.listed_at = now;
            }
            age(entry.listed_at) < UNLISTED_KEPT_FOR
                && entry.ended_at.is_none_or(|at| age(at) < ENDED_KEPT_FOR)
        });
    }

    fn insert(&mut self, server: u32, entry: Entry) {
        if self.entries.len() >= ENTRIES_MAX && !self.entries.contains_key(&server) {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| {
                (entry.ended_at.is_none(), entry.listed_at, entry.named_at)
            });
            if let Some(oldest) = oldest.map(|(server, _)| *server) {
                self.entries.remove(&oldest);
            }
        }
        self.entries.insert(server, entry);
    }
}

impl Entry {
    fn in_force(&self) -> Option<NamedLimit> {
        let Self { per_second, named_at, began_at, .. } = *self;
        let limit = NamedLimit { per_second, named_at, began_at };
        self.end_sent_at.is_none().then_some(limit)
    }
}
