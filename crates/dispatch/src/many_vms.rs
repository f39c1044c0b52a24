//! Decisions that differ when many VMs send to the same servers.
//!
//! Reports of what the other VMs send arrive later than the servers act on the requests. If all VMs
//! decided by the same late reports, they would all choose the same server. So with many VMs, each
//! keeps to a subset of a plain service's servers, and waiting requests draw lots for free slots.

use {
    crate::{
        cost::{hash_with_seed, unit_fraction},
        dispatcher::Dispatcher,
        request_spec::RequestSpec,
        server::{Server, ServerIdx},
    },
    std::time::{Duration, Instant},
};

/// Number of VMs above which late reports do not hold back prompts, and choices are randomized.
const FEW_VMS_MAX: usize = 12;
/// Age of the last report of another VM's prompts after which no such reports are taken to arrive.
/// With many VMs there are many reports in a second.
const REMOTE_PROMPTS_MAX_AGE: Duration = Duration::from_secs(1);
/// Requests that many VMs send to a server beyond its slots. They wait at the server by their
/// urgency and start sooner than a report of a free slot reaches the VMs.
const SERVER_QUEUE_SLOTS: u32 = 2;
/// Time after which a request that drew no slot draws again: about the time in which reports of the
/// others' sends arrive in a large mesh.
const SLOT_DRAW_PERIOD: Duration = Duration::from_millis(200);

/// Number of servers of a plain service that each of many VMs keeps to.
const SUBSET_SERVERS: usize = 2;
/// Exponent of the expected answer times in the choice among these. A server that takes twice as long
/// gets a fifth of the requests.
const CHOICE_EXPONENT: i32 = 2;

impl Dispatcher {
    /// Returns a server of a plain service for `request`, one of the few that this VM keeps to.
    ///
    /// Requests of plain services take less time than their reports to other VMs. If many VMs chose
    /// by these reports, all would send to the same server until it rejects requests. So each VM
    /// keeps to a subset, which also reuses its connections, and chooses by what it has measured
    /// itself. The choice is random in inverse proportion to a power of the expected times: VMs that
    /// find a server slow don't all leave it at once, and still notice when it has recovered.
    pub(crate) fn subset_server(
        &self,
        now: Instant,
        request: &RequestSpec,
        eligible: &[(u64, ServerIdx)],
    ) -> Option<ServerIdx> {
        let rank = |idx: &ServerIdx| {
            let tag = self.servers[idx.get()].view.record.key.short_hash();
            hash_with_seed(self.vm_seed, ServerIdx(tag))
        };
        let mut servers: Vec<ServerIdx> = eligible.iter().map(|(_, idx)| *idx).collect();
        servers.sort_by_cached_key(rank);
        servers.truncate(SUBSET_SERVERS);
        let weight =
            |idx: &ServerIdx| self.expected_answer_s(now, *idx).max(0.001).powi(-CHOICE_EXPONENT);
        let total: f64 = servers.iter().map(weight).sum();
        let mut left = total * unit_fraction(request.seed, ServerIdx(self.vm_seed));
        let fits = |idx: &&ServerIdx| {
            left -= weight(idx);
            left <= 0.0
        };
        servers.iter().find(fits).or(servers.first()).copied()
    }

    /// Time in which the server is expected to answer a request to a plain service, in seconds, by the
    /// requests that this VM has sent to it.
    fn expected_answer_s(&self, now: Instant, idx: ServerIdx) -> f64 {
        let server = &self.servers[idx.get()];
        let slots = f64::from(server.view.record.slots.max(1));
        let queued = f64::from(server.own_load.in_flight) / slots;
        server.speed.recent_answer_s() * (1.0 + queued) + server.health.cost_s(now)
    }

    /// True if so many VMs send that reports of their prompts are always out of date: prompts are
    /// prefilled sooner than their reports arrive.
    pub(crate) fn has_many_vms(&self) -> bool {
        self.live_vms as usize > FEW_VMS_MAX
    }

    /// True if other VMs have reported prompts recently.
    pub(crate) fn has_recent_remote_prompts(&self, now: Instant) -> bool {
        self.remote_prompts_at
            .is_some_and(|at| now.saturating_duration_since(at) < REMOTE_PROMPTS_MAX_AGE)
    }

    /// True if the request wins one of the free slots when more requests wait than there are slots.
    ///
    /// Many VMs receive the report of a free slot at about the same time. If all their waiting
    /// requests were sent, the server would reject most of them. So each request is sent with a
    /// probability of free slots to waiting requests, and draws again once reports of the others'
    /// sends have arrived.
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
        let random = unit_fraction(
            request.seed.rotate_left(round) ^ round,
            ServerIdx(server.view.record.key.short_hash()),
        );
        waiting <= free_slots || random < free_slots / waiting
    }

    /// This VM's part of the requests that wait for capacity at `server`, in hundredths.
    pub(crate) fn waiting_hundredths_at(&self, server: &Server) -> u32 {
        let tag = server.view.record.key.short_hash();
        self.waiting_by_server.get(&tag).copied().unwrap_or(0)
    }

    /// Recounts for which servers the requests of this VM wait.
    pub(crate) fn update_waiting_by_server(&mut self) {
        self.waiting_by_server.clear();
        if !self.has_many_vms() {
            return;
        }
        for (request, tried) in self.waiting.values() {
            let Some(model) = &request.model else { continue };
            let can_take = |(position, server): &(usize, &Server)| {
                server.view.usable
                    && request.may_run_at(&server.view.record)
                    && server.view.resident_models.contains(model)
                    && !tried.contains(&ServerIdx(*position as u32))
            };
            let servers = || self.servers.iter().enumerate().filter(can_take);
            let share_hundredths = 100 / (servers().count().max(1) as u32);
            for (_, server) in servers() {
                *self.waiting_by_server.entry(server.view.record.key.short_hash()).or_default() +=
                    share_hundredths;
            }
        }
    }
}
