//! Servers whose entries are removed while they serve on, and what they get too late.

use {
    crate::{
        checks::Violation,
        harm::{Harm, Harmed},
    },
    glade_standins::site::RunLog,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time from the removal of an entry after which the server gets no requests.
const LEAVING_TIME: Duration = Duration::from_secs(2);
/// Time for which a node must have been undisturbed, and the store too, before a removal.
const CONTACT_TIME: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Removal {
    server: usize,
    name: String,
    since: Duration,
    /// When its time was over. Ticks are never shorter than they say, so that this isn't too early.
    late_from: Option<Instant>,
}

/// Removals under way, and which node each request was sent to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Removals {
    under_way: Vec<Removal>,
    nodes: BTreeMap<String, usize>,
}

impl Removals {
    /// The entry of the plain server at a position, called `name`, is removed.
    pub(crate) fn begin(&mut self, now: Duration, server: usize, name: &str) {
        let name = name.to_owned();
        self.under_way.push(Removal { server, name, since: now, late_from: None });
    }

    /// True if the server's entry is removed.
    pub(crate) fn is_removed(&self, server: usize) -> bool {
        self.under_way.iter().any(|removal| removal.server == server)
    }

    /// A request is sent to a node.
    pub(crate) fn on_sent(&mut self, id: &str, node: usize) {
        if !self.under_way.is_empty() {
            self.nodes.insert(id.to_owned(), node);
        }
    }

    /// Notes the time at which servers must have stopped getting requests.
    pub(crate) fn look(&mut self, now: Duration, time: Instant) {
        for removal in &mut self.under_way {
            if now >= removal.since + LEAVING_TIME {
                removal.late_from.get_or_insert(time);
            }
        }
    }

    /// The removal of a server ends. Returns what it got too late from nodes in touch.
    pub(crate) fn end(&mut self, server: usize, harm: &Harm, log: &RunLog) -> Option<Violation> {
        let position = self.under_way.iter().position(|removal| removal.server == server)?;
        let removal = self.under_way.remove(position);
        let late_from = removal.late_from?;
        let calm_since = removal.since.saturating_sub(CONTACT_TIME);
        let is_calm = |harmed| !harm.is_harmed_since(harmed, calm_since);
        let is_in_touch = |id: &String| {
            let node = self.nodes.get(id);
            node.is_some_and(|node| {
                is_calm(Harmed::Node(*node)) && is_calm(Harmed::StoreLink(*node))
            })
        };
        let arrivals = log.arrivals_at(&removal.name);
        let late: Vec<String> = arrivals
            .into_iter()
            .filter(|(id, at)| *at > late_from && is_in_touch(id))
            .map(|(id, at)| format!("{id} {:?} too late", at - late_from))
            .collect();
        if self.under_way.is_empty() {
            self.nodes.clear();
        }
        let is_broken = !late.is_empty() && is_calm(Harmed::Store);
        is_broken.then(|| Violation {
            promise: "a removed server gets no requests",
            seen: format!("{}: {late:?}", removal.name),
        })
    }
}

#[cfg(test)]
mod tests;
