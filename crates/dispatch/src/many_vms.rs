//! What a node decides differently where many nodes send to the same servers.
//!
//! Word of what the others do comes later than the servers act on it. So nodes of a crowd don't all go by
//! the same word: they share out the servers of plain services, and take turns at free places.

use {
    crate::{
        cost::{hash_with_seed, unit_fraction},
        dispatcher::Dispatcher,
        request_spec::RequestSpec,
        server::{Server, ServerIdx},
    },
    std::time::{Duration, Instant},
};

/// Nodes beyond which prompts aren't paced by what others have told, and choices are blurred.
const FEW_VMS_MAX: usize = 12;
/// Time without word of another VM's prompts after which there is taken to be none. In a crowd there
/// are many in a second.
const REMOTE_PROMPTS_MAX_AGE: Duration = Duration::from_secs(1);
/// Requests beyond a server's places that a crowd sends it: they wait there, by their urgency, and go on
/// sooner than word of a free place gets to the nodes.
const SERVER_QUEUE_SLOTS: u32 = 2;
/// Time after which a request that had no turn has another chance: about what word of the others' sends
/// takes in a large mesh.
const SLOT_DRAW_PERIOD: Duration = Duration::from_millis(200);

impl Dispatcher {
    /// The server of a plain service that this VM's share of the callers goes to.
    ///
    /// Such requests take less time than word of them to other nodes. Were the nodes of a crowd to go by
    /// what they hear, all would send to the same server until it rejects. So each keeps to one as long as
    /// that one fits, which also lets it use its connections again.
    pub(crate) fn subset_server(&self, fitting: &[(u64, ServerIdx)]) -> Option<ServerIdx> {
        let own_rank = |idx: &ServerIdx| {
            let tag = self.servers[idx.get()].view.record.key.tag();
            hash_with_seed(self.vm_seed, ServerIdx(tag))
        };
        fitting.iter().map(|(_, idx)| *idx).min_by_key(own_rank)
    }

    /// True if so many nodes send beside this one that what it knows of their prompts is always out of
    /// date: prompts are read sooner than word of them gets here.
    pub(crate) fn has_many_vms(&self) -> bool {
        self.live_vms as usize > FEW_VMS_MAX
    }

    /// True if other VMs tell of their prompts.
    pub(crate) fn has_recent_remote_prompts(&self, now: Instant) -> bool {
        self.remote_prompts_at
            .is_some_and(|at| now.saturating_duration_since(at) < REMOTE_PROMPTS_MAX_AGE)
    }

    /// True if the request is among those for which there is a place, where more wait than there are.
    ///
    /// All nodes of a crowd learn of a free place at about the same time. Were all that wait to go, the
    /// server would reject most of them; so each goes with the chance of places to requests, drawn anew
    /// once word of the others' sends has come.
    pub(crate) fn wins_slot_draw(
        &self,
        now: Instant,
        server: &Server,
        request: &RequestSpec,
    ) -> bool {
        let load = server.load(now);
        let slots = server.view.record.slots.max(1);
        let free_slots = f64::from(slots.saturating_sub(load.in_flight) + SERVER_QUEUE_SLOTS);
        let own_hundredths = self.waiting_hundredths_at(server);
        let waiting =
            f64::from(server.view.other_vms_load.waiting_hundredths + own_hundredths) / 100.0;
        let waited = now.saturating_duration_since(request.arrived_at);
        let round = (waited.as_millis() / SLOT_DRAW_PERIOD.as_millis()) as u32;
        let drawn = unit_fraction(
            request.seed.rotate_left(round) ^ round,
            ServerIdx(server.view.record.key.tag()),
        );
        waiting <= free_slots || drawn < free_slots / waiting
    }

    /// This VM's part of the requests that wait for room on `server`, in hundredths.
    pub(crate) fn waiting_hundredths_at(&self, server: &Server) -> u32 {
        let tag = server.view.record.key.tag();
        self.waiting_by_server.get(&tag).copied().unwrap_or(0)
    }

    /// Works out anew for which servers this VM's requests wait.
    pub(crate) fn update_waiting_by_server(&mut self) {
        self.waiting_by_server.clear();
        if !self.has_many_vms() {
            return;
        }
        for (request, tried) in self.waiting.values() {
            let Some(model) = &request.model else { continue };
            let fits = |(position, server): &(usize, &Server)| {
                server.view.usable
                    && server.view.record.service == request.service
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
