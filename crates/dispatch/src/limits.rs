//! Servers that name a limit on their requests: they are sent a request only for a permit, and only
//! if no other server can take it.

use {
    crate::{
        cost::unit_fraction,
        dispatcher::Dispatcher,
        request_spec::RequestSpec,
        return_turns::ReturnTurns,
        server::{Server, ServerIdx},
        server_queues::QueuePriority,
    },
    glade_limit::{PermitGrant, PermitWish, RankCount},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Shortest and longest `Retry-After` of a request for which all limits are used up.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(120);
/// `Retry-After` while a server takes no requests at all.
const ZERO_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Time without an answer that names the limit after which a probe of it is wanted.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time over which the probes that different VMs want are spread.
const PROBE_SPREAD: Duration = Duration::from_secs(1);
/// Time for which a wish for a probe holds.
const PROBE_WISH_TTL: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Expected time until this VM may send a request with `priority` to the server at `idx`, in
    /// seconds: zero if it holds a permit that no more urgent request waits for. `None` if the server
    /// names no limit.
    pub(crate) fn permit_wait_s(
        &self,
        now: Instant,
        idx: ServerIdx,
        priority: &QueuePriority,
    ) -> Option<f64> {
        let server = &self.servers[idx.get()];
        let limit = server.limit.get()?;
        let held = server.permits.count(now);
        let ahead = self.permit_queues.ahead_of(idx, priority);
        if held > ahead || server.permits.has_probe(now) {
            return Some(0.0);
        }
        let others = server.permits.others_ahead(now, priority.rank()) as usize;
        Some((ahead + others + 1 - held) as f64 / limit.per_second)
    }

    /// The limited server from which a waiting request is expected to get a permit first.
    pub(crate) fn soonest_limited_server(
        &self,
        now: Instant,
        request: &RequestSpec,
        tried: &[ServerIdx],
    ) -> Option<ServerIdx> {
        if self.skips_limited {
            return None;
        }
        let priority = self.priority(now, request);
        let wait_s = |idx: ServerIdx| {
            let wait_s = self.permit_wait_s(now, idx, &priority)?;
            wait_s.is_finite().then_some((wait_s, idx))
        };
        let usable = self.limited_servers(now, request, tried);
        usable.filter_map(wait_s).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, idx)| idx)
    }

    /// Limited servers that could take `request`.
    fn limited_servers(
        &self,
        now: Instant,
        request: &RequestSpec,
        tried: &[ServerIdx],
    ) -> impl Iterator<Item = ServerIdx> {
        let can_take = move |(idx, server): &(ServerIdx, &Server)| {
            server.limit.get().is_some()
                && request.may_run_at(&server.view.record)
                && server.is_available_and_healthy(now)
                && request
                    .model
                    .as_ref()
                    .is_none_or(|model| server.view.resident_models.contains(model))
                && !tried.contains(idx)
        };
        let servers = self.servers.iter().zip(0..).map(|(server, at)| (ServerIdx(at), server));
        servers.filter(can_take).map(|(idx, _)| idx)
    }

    /// The servers to choose among: one that this VM may probe, else those that name no limit, else
    /// those that do.
    pub(crate) fn prefer_unlimited(
        &self,
        now: Instant,
        unlimited: Vec<(u64, ServerIdx)>,
        limited: Vec<(u64, ServerIdx)>,
    ) -> Vec<(u64, ServerIdx)> {
        let is_probe =
            |(_, idx): &&(u64, ServerIdx)| self.servers[idx.get()].permits.has_probe(now);
        if let Some(probe) = limited.iter().find(is_probe) {
            return vec![*probe];
        }
        if unlimited.is_empty() { limited } else { unlimited }
    }

    /// True if this VM decides by itself where to send `request`: only limited servers could take it,
    /// or it may be sent as a probe of one.
    pub fn needs_permit(&self, now: Instant, request: &RequestSpec, tried: &[ServerIdx]) -> bool {
        let mut limited = self.limited_servers(now, request, tried).peekable();
        if limited.peek().is_none() {
            return false;
        }
        if limited.any(|idx| self.servers[idx.get()].permits.has_probe(now)) {
            return true;
        }
        let is_unlimited = |(server, at): (&Server, u32)| {
            server.limit.get().is_none()
                && request.may_run_at(&server.view.record)
                && server.is_usable()
                && request
                    .model
                    .as_ref()
                    .is_none_or(|model| server.view.resident_models.contains(model))
                && !tried.contains(&ServerIdx(at))
        };
        !self.servers.iter().zip(0..).any(is_unlimited)
    }

    /// True if a limited server could take `request` for a permit.
    pub fn has_limited_server(
        &self,
        now: Instant,
        request: &RequestSpec,
        tried: &[ServerIdx],
    ) -> bool {
        self.limited_servers(now, request, tried).next().is_some()
    }

    /// Adds permits that this VM was granted.
    pub fn add_permits(&mut self, now: Instant, grant: &PermitGrant) {
        if let Some(idx) = self.index_by_tag.get(&grant.server) {
            self.servers[idx.get()].permits.add(now, grant);
        }
    }

    /// Wants a probe of the limited servers that could have taken `request`, which was sent elsewhere
    /// or refused, and which haven't named their limits for a while. Returns true if there are any.
    pub fn want_probes(&mut self, now: Instant, request: &RequestSpec) -> bool {
        let spread = |idx| PROBE_SPREAD.mul_f64(unit_fraction(self.vm_seed, idx));
        let is_due = |idx: &ServerIdx| {
            let server = &self.servers[idx.get()];
            let named_at = server.limit.get().map(|limit| limit.named_at);
            named_at
                .is_some_and(|at| now.saturating_duration_since(at) >= PROBE_AFTER + spread(*idx))
        };
        let due: Vec<ServerIdx> = self.limited_servers(now, request, &[]).filter(is_due).collect();
        for idx in &due {
            self.servers[idx.get()].probe_wanted_at = Some(now);
        }
        !due.is_empty()
    }

    /// What this VM wants permits for, by server, and marks that the issuers are told so.
    pub fn permit_wishes(&mut self, now: Instant) -> Vec<PermitWish> {
        self.assign_waiting(now);
        let mut wishes = Vec::new();
        for (server, at) in self.servers.iter_mut().zip(0..) {
            if server.limit.get().is_none() {
                continue;
            }
            let mut by_rank: BTreeMap<u8, u32> = BTreeMap::new();
            for rank in self.permit_queues.ranks(ServerIdx(at)) {
                *by_rank.entry(rank).or_default() += 1;
            }
            let waiting: Vec<RankCount> =
                by_rank.into_iter().map(|(rank, count)| RankCount { rank, count }).collect();
            let is_recent = |at: Instant| now.saturating_duration_since(at) < PROBE_WISH_TTL;
            let wants_probe = server.probe_wanted_at.is_some_and(is_recent);
            server.permits.set_own_waiting(&waiting);
            if !waiting.is_empty() || wants_probe {
                let server = server.view.record.key.short_hash();
                wishes.push(PermitWish { server, waiting, wants_probe });
            }
        }
        wishes
    }

    /// Assigns each waiting request to the limited server from which it is expected to get a permit.
    fn assign_waiting(&mut self, now: Instant) {
        self.permit_queues.clear();
        if self.servers.iter().all(|server| server.limit.get().is_none()) {
            return;
        }
        let mut waiting: Vec<(QueuePriority, &(RequestSpec, Vec<ServerIdx>))> =
            self.waiting.values().map(|entry| (self.priority(now, &entry.0), entry)).collect();
        waiting.sort_by_key(|(priority, _)| *priority);
        let waiting: Vec<_> =
            waiting.into_iter().map(|(priority, entry)| (priority, entry.clone())).collect();
        for (priority, (request, tried)) in waiting {
            if let Some(server) = self.soonest_limited_server(now, &request, &tried) {
                self.permit_queues.add(server, priority);
            }
        }
    }

    /// When the caller of `request`, which is refused because limits are used up, is to return:
    /// in the next turn that no other caller has.
    pub fn next_return(
        &mut self,
        now: Instant,
        request: &RequestSpec,
        retry_after: Duration,
    ) -> Duration {
        let priority = self.priority(now, request);
        let wait_s = |idx| self.permit_wait_s(now, idx, &priority).unwrap_or(0.0);
        let limit = |idx: ServerIdx| Some((idx, self.servers[idx.get()].limit.get()?));
        let limited = self.limited_servers(now, request, &[]).filter_map(limit);
        let Some((idx, limit)) = limited
            .filter(|(_, limit)| limit.per_second > 0.0)
            .min_by(|(a, _), (b, _)| wait_s(*a).total_cmp(&wait_s(*b)))
        else {
            return limited_retry_after(retry_after.as_secs_f64());
        };
        let turns = ReturnTurns::new(&limit, self.live_vms, self.vm_position);
        let server = &mut self.servers[idx.get()];
        let earliest = now + retry_after.min(RETRY_AFTER_MAX);
        let at = turns.next(earliest, server.return_at).min(now + RETRY_AFTER_MAX);
        server.return_at = Some(at);
        at.saturating_duration_since(now).max(RETRY_AFTER_MIN)
    }
}

/// `Retry-After` of a request that would get a permit in `permit_s` seconds.
pub(crate) fn limited_retry_after(permit_s: f64) -> Duration {
    if permit_s.is_infinite() {
        return ZERO_LIMIT_RETRY_AFTER;
    }
    let (min_s, max_s) = (RETRY_AFTER_MIN.as_secs_f64(), RETRY_AFTER_MAX.as_secs_f64());
    Duration::from_secs_f64(permit_s.clamp(min_s, max_s))
}
