//! What a node decides differently where many nodes send to the same servers.
//!
//! Word of what the others do comes later than the servers act on it. So nodes of a crowd don't all go by
//! the same word: they share out the servers of plain services, and take turns at free places.

use {
    crate::{
        cost::{fraction, shuffled},
        dispatcher::Dispatcher,
        request_spec::RequestSpec,
        server::{Server, ServerIdx},
    },
    std::time::{Duration, Instant},
};

/// Nodes beyond which prompts aren't paced by what others have told, and choices are blurred.
const CROWD: usize = 12;
/// Time without word of another VM's prompts after which there is taken to be none. In a crowd there
/// are many in a second.
const WORD_MAX_AGE: Duration = Duration::from_secs(1);
/// Requests beyond a server's places that a crowd sends it: they wait there, by their urgency, and go on
/// sooner than word of a free place gets to the nodes.
const PLACES_IN_QUEUE: u32 = 2;
/// Time after which a request that had no turn has another chance: about what word of the others' sends
/// takes in a large mesh.
const TURN_TIME: Duration = Duration::from_millis(200);

impl Dispatcher {
    /// The server of a plain service that this VM's share of the callers goes to.
    ///
    /// Such requests take less time than word of them to other nodes. Were the nodes of a crowd to go by
    /// what they hear, all would send to the same server until it rejects. So each keeps to one as long as
    /// that one fits, which also lets it use its connections again.
    pub(crate) fn own_share(&self, fitting: &[(u64, ServerIdx)]) -> Option<ServerIdx> {
        let own_rank = |idx: &ServerIdx| {
            let tag = self.servers[idx.get()].view.record.key.tag();
            shuffled(self.own_draw, ServerIdx(tag))
        };
        fitting.iter().map(|(_, idx)| *idx).min_by_key(own_rank)
    }

    /// True if so many nodes send beside this one that what it knows of their prompts is always out of
    /// date: prompts are read sooner than word of them gets here.
    pub(crate) fn is_crowd(&self) -> bool {
        self.live_vms as usize > CROWD
    }

    /// True if other VMs tell of their prompts.
    pub(crate) fn has_word(&self, now: Instant) -> bool {
        self.word_at.is_some_and(|at| now.saturating_duration_since(at) < WORD_MAX_AGE)
    }

    /// True if the request is among those for which there is a place, where more wait than there are.
    ///
    /// All nodes of a crowd learn of a free place at about the same time. Were all that wait to go, the
    /// server would reject most of them; so each goes with the chance of places to requests, drawn anew
    /// once word of the others' sends has come.
    pub(crate) fn has_turn(&self, now: Instant, server: &Server, need: &RequestSpec) -> bool {
        let load = server.load(now);
        let slots = server.view.record.slots.max(1);
        let places = f64::from(slots.saturating_sub(load.in_flight) + PLACES_IN_QUEUE);
        let own = self.waiting_at(server);
        let waiting = f64::from(server.view.other_vms_load.waiting_hundredths + own) / 100.0;
        let waited = now.saturating_duration_since(need.arrived_at);
        let turn = (waited.as_millis() / TURN_TIME.as_millis()) as u32;
        let drawn =
            fraction(need.seed.rotate_left(turn) ^ turn, ServerIdx(server.view.record.key.tag()));
        waiting <= places || drawn < places / waiting
    }

    /// This VM's part of the requests that wait for room on `server`, in hundredths.
    pub(crate) fn waiting_at(&self, server: &Server) -> u32 {
        let tag = server.view.record.key.tag();
        self.waiting_by_server.get(&tag).copied().unwrap_or(0)
    }

    /// Works out anew for which servers this VM's requests wait.
    pub(crate) fn count_waiting(&mut self) {
        self.waiting_by_server.clear();
        if !self.is_crowd() {
            return;
        }
        for (need, tried) in self.waiting.values() {
            let Some(model) = &need.model else { continue };
            let fits = |(position, server): &(usize, &Server)| {
                server.view.usable
                    && server.view.record.service == need.service
                    && server.view.resident_models.contains(model)
                    && !tried.contains(&ServerIdx(*position as u32))
            };
            let servers = || self.servers.iter().enumerate().filter(fits);
            let part = 100 / (servers().count().max(1) as u32);
            for (_, server) in servers() {
                *self.waiting_by_server.entry(server.view.record.key.tag()).or_default() += part;
            }
        }
    }
}
