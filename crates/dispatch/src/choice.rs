//! Server selection: decides for each request whether to send it to a server, keep it queued, or
//! refuse it.

use {
    crate::{
        cost::{cost_s, hash_with_seed, predicted_first_byte_s, stalls_streams, unit_fraction},
        dispatcher::Dispatcher,
        limits::limited_retry_after,
        request_spec::RequestSpec,
        server::{Server, ServerIdx},
        server_queues::QueuePriority,
        slot_wait::overload_retry_after,
        urgent_reserve::{Reserve, has_waited_long},
        verdict::{Refusal, Verdict},
    },
    glade_catalog::base_model_of,
    glade_types::ModelName,
    std::time::{Duration, Instant},
};

/// Retry-after advice while no estimate exists of when a server will be available.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(500);
/// Time that a request waits for the lease holder to decide about a model that is on no engine.
const PLACEMENT_WAIT: Duration = Duration::from_millis(400);
/// Fraction of a request's maximum wait for which it waits for that decision, where this is longer
/// than `PLACEMENT_WAIT`: a load that queues behind other loads still ends in time for the request.
const PLACEMENT_WAIT_FRACTION: f64 = 0.33;
/// Time that the lease holder gets to load an adapter on an engine that has its base model.
const ADAPTER_WAIT: Duration = Duration::from_millis(1500);
/// Time reserved between the end of a model load and the first byte: prefill of a prompt of average
/// length behind another one, on the engines of either user.
const FIRST_PREFILL_TIME: Duration = Duration::from_millis(60);
/// Number of VMs up to which each may choose among all servers without all choosing the same one.
const VMS_WITH_FULL_CHOICE: usize = 8;
/// Randomization of choices when many VMs send. The less the VMs receive about each other's
/// prompts, the more choices are randomized.
const RANDOMIZATION_WITH_PROMPT_REPORTS: Randomization =
    Randomization { cost_s: 0.08, candidates_min: 4 };
const RANDOMIZATION_WITHOUT_PROMPT_REPORTS: Randomization =
    Randomization { cost_s: 0.16, candidates_min: 2 };
/// Fraction of a server's KV cache that is filled before requests wait.
const KV_FILL_FRACTION: f64 = 0.9;

/// How much a choice among servers is randomized.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Randomization {
    /// Largest random cost added to a server, in seconds.
    cost_s: f64,
    /// Smallest number of servers drawn for each choice, if there are that many.
    candidates_min: usize,
}

/// When a server that cannot take the request now is predicted to answer it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct DelayedServer {
    /// Remaining time for which the server asked this VM for no requests, in seconds.
    backoff_s: f64,
    /// Expected time until this VM gets a permit for the server, in seconds.
    permit_s: f64,
    /// Predicted time to the first byte, in seconds.
    first_byte_s: f64,
}

impl DelayedServer {
    /// Returns the one with the earlier first byte.
    fn earlier(self, other: Self) -> Self {
        if other.first_byte_s < self.first_byte_s { other } else { self }
    }
}

impl Dispatcher {
    /// Decides what to do with `request`. Servers in `tried` have already failed it and are
    /// excluded. Ejected servers are used only if no other server can take the request.
    pub fn decide(&self, now: Instant, request: &RequestSpec, tried: &[ServerIdx]) -> Verdict {
        let verdict = self.choose(now, request, tried, false);
        match verdict {
            Verdict::Send(_) | Verdict::Wait { missing: false } => verdict,
            Verdict::Wait { missing: true } | Verdict::Refuse { .. } => {
                match self.choose(now, request, tried, true) {
                    Verdict::Send(server) => Verdict::Send(server),
                    Verdict::Wait { .. } | Verdict::Refuse { .. } => verdict,
                }
            }
        }
    }

    fn choose(
        &self,
        now: Instant,
        request: &RequestSpec,
        tried: &[ServerIdx],
        include_ejected: bool,
    ) -> Verdict {
        let prefill_us = self.prefill_us(request);
        let (candidates, is_resident) = self.candidates(request, tried);
        // Ejected servers count as known servers of the service.
        let mut has_known_server = is_resident;
        let mut base_is_resident = false;
        let mut soonest_delayed: Option<DelayedServer> = None;
        let mut has_limited_server = false;
        let mut eligible: Vec<(u64, ServerIdx)> = Vec::new();
        let mut eligible_limited: Vec<(u64, ServerIdx)> = Vec::new();
        let base = request.model.as_ref().map(base_model_of);
        let priority = self.priority(now, request);
        for idx in candidates {
            let server = &self.servers[idx.get()];
            if !request.may_run_at(&server.view.record)
                || !server.is_usable()
                || (server.health.is_ejected(now) && !include_ejected)
                || tried.contains(&idx)
            {
                continue;
            }
            has_known_server = true;
            if let (Some(model), Some(base)) = (&request.model, base) {
                base_is_resident |= server.view.resident_models.contains(base);
                if !server.view.resident_models.contains(model) {
                    continue;
                }
            }
            let permit_s = self.permit_wait_s(now, idx, &priority);
            has_limited_server |= permit_s.is_some();
            if permit_s.is_some() && self.skips_limited {
                continue;
            }
            let backoff_s = server.backoff_remaining(now).as_secs_f64();
            let queued_ahead_us = self.queues.reserved_prefill_us(idx, &priority);
            if backoff_s > 0.0
                || permit_s.is_some_and(|time_s| time_s > 0.0)
                || !self.has_capacity(now, server, request, prefill_us, queued_ahead_us)
                || !self.leaves_room_for_urgent(now, idx, request, prefill_us, &priority)
            {
                let delayed = DelayedServer {
                    backoff_s,
                    permit_s: permit_s.unwrap_or(0.0),
                    first_byte_s: backoff_s.max(permit_s.unwrap_or(0.0))
                        + predicted_first_byte_s(now, server, request, prefill_us)
                        + server
                            .speed
                            .actual_prefill_s(self.queues.queued_prefill_us(idx, &priority))
                        + self.slot_wait_s(now, idx, request, &priority),
                };
                soonest_delayed =
                    Some(soonest_delayed.map_or(delayed, |soonest| soonest.earlier(delayed)));
                continue;
            }
            let list = if permit_s.is_some() { &mut eligible_limited } else { &mut eligible };
            list.push((hash_with_seed(request.seed, idx), idx));
        }
        let eligible = self.prefer_unlimited(now, eligible, eligible_limited);
        if let [(_, only)] = eligible[..]
            && self.has_many_vms()
            && self.has_recent_remote_prompts(now)
        {
            let server = &self.servers[only.get()];
            let recent_us = server.recently_prefilled_us(now);
            if stalls_streams(now, server, request, recent_us, prefill_us) {
                let predicted = predicted_first_byte_s(now, server, request, prefill_us);
                return self
                    .refuse_if_late(now, request, predicted)
                    .unwrap_or(Verdict::Wait { missing: false });
            }
        }
        let chosen = if request.model.is_none() && self.has_many_vms() {
            self.subset_server(now, request, &eligible)
        } else {
            self.least_cost(now, request, prefill_us, eligible)
        };
        if let Some(idx) = chosen {
            let predicted =
                predicted_first_byte_s(now, &self.servers[idx.get()], request, prefill_us);
            return self
                .refuse_if_overloaded(now, request, predicted)
                .unwrap_or(Verdict::Send(idx));
        }
        if let Some(delayed) = soonest_delayed {
            let is_held_back = delayed.permit_s > 0.0 || delayed.backoff_s > 0.0;
            let refusal = if is_held_back {
                self.refuse_if_late(now, request, delayed.first_byte_s)
            } else {
                self.refuse_if_overloaded(now, request, delayed.first_byte_s)
            };
            return match refusal {
                None => Verdict::Wait { missing: false },
                Some(_) if delayed.permit_s > delayed.backoff_s => {
                    refuse(Refusal::Limited, limited_retry_after(delayed.permit_s))
                }
                Some(_) if delayed.backoff_s > 0.0 => {
                    refuse(Refusal::Overloaded, Duration::from_secs_f64(delayed.backoff_s))
                }
                Some(refusal) => refusal,
            };
        }
        if has_limited_server {
            return refuse(Refusal::Limited, RETRY_AFTER_DEFAULT);
        }
        if !has_known_server {
            let is_bound = request.software_version.is_some();
            let reason = if is_bound { Refusal::VersionUnavailable } else { Refusal::NoServer };
            return refuse(reason, RETRY_AFTER_DEFAULT);
        }
        self.decide_missing_model(now, request, base_is_resident)
    }

    /// Returns the servers to consider for `request`: those that hold its model, if one of these is
    /// usable and untried, and otherwise all servers. The flag is true if the servers hold the
    /// model.
    fn candidates(&self, request: &RequestSpec, tried: &[ServerIdx]) -> (Vec<ServerIdx>, bool) {
        let holders = request.model.as_ref().and_then(|model| self.holders.get(model));
        let is_untried = |idx: &ServerIdx| {
            let server = &self.servers[idx.get()];
            !tried.contains(idx) && server.is_usable() && request.may_run_at(&server.view.record)
        };
        match holders {
            Some(holders) if holders.iter().any(is_untried) => (holders.clone(), true),
            _ => (self.indices().collect(), false),
        }
    }

    /// Returns the server of least cost among a random subset of `eligible`; the first field of each
    /// element is its random sort key.
    ///
    /// VMs receive each other's sends late. If each chose among all servers, all would choose the
    /// same server until its load is reported. With a small random subset for each request, a
    /// server gets at most a few times its share in the meantime. The more VMs send, the smaller
    /// the subset.
    fn least_cost(
        &self,
        now: Instant,
        request: &RequestSpec,
        prefill_us: u64,
        mut eligible: Vec<(u64, ServerIdx)>,
    ) -> Option<ServerIdx> {
        let subset_size = (eligible.len() * VMS_WITH_FULL_CHOICE).div_ceil(self.live_vms as usize);
        let randomization = if self.has_recent_remote_prompts(now) {
            RANDOMIZATION_WITH_PROMPT_REPORTS
        } else {
            RANDOMIZATION_WITHOUT_PROMPT_REPORTS
        };
        let subset_size = subset_size.max(randomization.candidates_min);
        if subset_size < eligible.len() {
            eligible.sort_unstable();
            eligible.truncate(subset_size);
        }
        let random_cost_s = if self.has_many_vms() { randomization.cost_s } else { 0.0 };
        let cost = |idx: ServerIdx| {
            cost_s(now, &self.servers[idx.get()], request, prefill_us)
                + random_cost_s * unit_fraction(request.seed, idx)
        };
        let cheaper = |best: (f64, ServerIdx), (_, idx): &(u64, ServerIdx)| {
            let cost = cost(*idx);
            if cost < best.0 { (cost, *idx) } else { best }
        };
        let (_, first) = *eligible.first()?;
        Some(eligible[1..].iter().fold((cost(first), first), cheaper).1)
    }

    /// Returns a refusal if the caller will no longer wait for a first byte in
    /// `predicted_first_byte_s` seconds.
    fn refuse_if_late(
        &self,
        now: Instant,
        request: &RequestSpec,
        predicted_first_byte_s: f64,
    ) -> Option<Verdict> {
        let left_s = request.first_byte_deadline.saturating_duration_since(now).as_secs_f64();
        if predicted_first_byte_s < left_s {
            return None;
        }
        let retry_after = overload_retry_after(request, predicted_first_byte_s - left_s);
        Some(refuse(Refusal::Overloaded, retry_after))
    }

    /// Like [`Self::refuse_if_late`], but refuses no request whose caller still waits while there is
    /// much room, or has a part of the answer: the estimate may be wrong, and the part would be lost.
    fn refuse_if_overloaded(
        &self,
        now: Instant,
        request: &RequestSpec,
        predicted_first_byte_s: f64,
    ) -> Option<Verdict> {
        let refusal = self.refuse_if_late(now, request, predicted_first_byte_s)?;
        let is_awaited = now < request.first_byte_deadline;
        let may_wait = request.is_continuation || self.has_much_room(now, request);
        (!is_awaited || !may_wait).then_some(refusal)
    }

    /// Decides for a request whose model or adapter is on no usable server: it waits if the model
    /// is expected in time.
    fn decide_missing_model(
        &self,
        now: Instant,
        request: &RequestSpec,
        base_is_resident: bool,
    ) -> Verdict {
        let Some(model) = &request.model else {
            return refuse(Refusal::NoServer, RETRY_AFTER_DEFAULT);
        };
        if base_is_resident {
            let last = request
                .first_byte_deadline
                .checked_sub(FIRST_PREFILL_TIME)
                .unwrap_or(request.arrived_at);
            let until = last.min(request.arrived_at + ADAPTER_WAIT);
            return if now < until {
                Verdict::Wait { missing: true }
            } else {
                refuse(Refusal::NotResident, RETRY_AFTER_DEFAULT)
            };
        }
        match self.base_ready_at(request, model).map(|at| expected_ready_at(now, at)) {
            Some(at) if at + FIRST_PREFILL_TIME < request.first_byte_deadline => {
                Verdict::Wait { missing: true }
            }
            Some(at) => {
                let wait = at.saturating_duration_since(now);
                refuse(Refusal::NotResident, wait.max(RETRY_AFTER_DEFAULT))
            }
            // Models are placed whatever the software versions of engines. Only adapters are wanted at one.
            None if request.software_version.is_some() => {
                refuse(Refusal::VersionUnavailable, RETRY_AFTER_DEFAULT)
            }
            None if now < wait_for_placement_until(request) => Verdict::Wait { missing: true },
            None => refuse(Refusal::NotResident, request.model_load.max(RETRY_AFTER_DEFAULT)),
        }
    }

    /// When the base model of `model` is expected at the first engine that may run `request`, of those
    /// that load it.
    fn base_ready_at(&self, request: &RequestSpec, model: &ModelName) -> Option<Instant> {
        let by_version = self.models_ready_at.get(base_model_of(model))?;
        match request.software_version {
            Some(version) => by_version.get(&version).copied(),
            None => by_version.values().min().copied(),
        }
    }

    /// True if the server can take the request now. Requests for which the server is reserved and
    /// whose prefill takes `queued_ahead_us` go first.
    fn has_capacity(
        &self,
        now: Instant,
        server: &Server,
        request: &RequestSpec,
        prefill_us: u64,
        queued_ahead_us: u64,
    ) -> bool {
        let load = server.load(now);
        let slots = server.view.record.slots.max(1);
        let Some(capacity) = self.kv_capacity.get(&request.service) else {
            let counted_load = if self.has_many_vms() { server.own_load } else { load };
            return counted_load.in_flight < slots * 2;
        };
        let tokens = u64::from(request.prompt_tokens) + u64::from(request.output_tokens);
        let kv_limit_tokens = (*capacity as f64 * KV_FILL_FRACTION) as u64;
        load.in_flight < slots
            && (!self.has_many_vms() || self.wins_slot_draw(now, server, request))
            && (load.held_tokens + tokens <= kv_limit_tokens || load.in_flight == 0)
            && (self.has_many_vms()
                || !stalls_streams(now, server, request, queued_ahead_us, prefill_us))
    }

    /// True if the server has slots for the requests that wait ahead of `request`, and keeps enough
    /// slots and prefill time for the urgent ones that are expected.
    ///
    /// Many VMs that decide without a coordinator draw lots for free slots instead.
    fn leaves_room_for_urgent(
        &self,
        now: Instant,
        idx: ServerIdx,
        request: &RequestSpec,
        prefill_us: u64,
        priority: &QueuePriority,
    ) -> bool {
        if request.model.is_none() || self.has_many_vms() {
            return true;
        }
        let server = &self.servers[idx.get()];
        let load = server.load(now);
        let slots = server.view.record.slots.max(1);
        let takes_share = server.urgent_reserve.has_patient_share(request, slots);
        let may_overtake = takes_share && has_waited_long(now, request);
        let ahead = if may_overtake { 0 } else { self.queues.count_ahead(idx, priority) };
        if load.in_flight + ahead >= slots {
            return false;
        }
        let reserve = server.urgent_reserve.for_request(now, request, slots);
        if takes_share || reserve == Reserve::default() {
            return true;
        }
        let is_idle = load.outstanding_prefill_us == 0;
        load.in_flight + ahead + reserve.slots < slots
            && (is_idle || server.can_prefill(now, reserve.prefill_us, prefill_us))
    }

    /// Returns the server that holds the model of `request` and is expected to start it first, by
    /// outstanding prefill and expected time until a slot is free.
    pub(crate) fn earliest_server(
        &self,
        now: Instant,
        request: &RequestSpec,
        tried: &[ServerIdx],
    ) -> Option<ServerIdx> {
        let model = request.model.as_ref()?;
        let priority = self.priority(now, request);
        let can_serve = |(idx, server): &(ServerIdx, &Server)| {
            request.may_run_at(&server.view.record)
                && server.is_available_and_healthy(now)
                && server.view.resident_models.contains(model)
                && !tried.contains(idx)
        };
        let outstanding_us = |(idx, server): &(ServerIdx, &Server)| {
            let slot_wait_s = self.slot_wait_s(now, *idx, request, &priority);
            server.load(now).outstanding_prefill_us
                + self.queues.queued_prefill_us(*idx, &priority)
                + (slot_wait_s * 1e6) as u64
        };
        let holders = self.holders.get(model)?.iter();
        let servers = holders.map(|idx| (*idx, &self.servers[idx.get()]));
        servers.filter(can_serve).min_by_key(outstanding_us).map(|(idx, _)| idx)
    }

    /// Longest time that `request` may take from the choice of its server to its last byte.
    pub fn longest_duration(&self, now: Instant, request: &RequestSpec) -> Duration {
        let prefill_us = self.prefill_us(request);
        let servers =
            self.servers.iter().filter(|server| server.view.record.service == request.service);
        let slowest = servers
            .filter(|server| server.view.usable)
            .map(|server| {
                predicted_first_byte_s(now, server, request, prefill_us)
                    + server.speed.generate_s(request.output_tokens_max)
            })
            .fold(0.0, f64::max);
        Duration::from_secs_f64(slowest)
    }
}

/// Time until which a request waits for the lease holder to decide about its model. A load that
/// starts later would end after the caller has left.
fn wait_for_placement_until(request: &RequestSpec) -> Instant {
    let max_wait = request.first_byte_deadline.saturating_duration_since(request.arrived_at);
    // Even a load from the quickest copy would end too late, so a decision of the lease holder
    // could not help.
    if max_wait < request.model_load_min + FIRST_PREFILL_TIME {
        return request.arrived_at;
    }
    let last = max_wait.saturating_sub(request.model_load + FIRST_PREFILL_TIME);
    let wait =
        PLACEMENT_WAIT.min(max_wait.saturating_sub(request.model_load_min + FIRST_PREFILL_TIME));
    request.arrived_at + wait.max(max_wait.mul_f64(PLACEMENT_WAIT_FRACTION).min(last))
}

/// Estimates when something that was expected at `at` will be ready. Something overdue is expected
/// to take as long again as it is late already.
fn expected_ready_at(now: Instant, at: Instant) -> Instant {
    at.max(now + now.saturating_duration_since(at))
}

fn refuse(reason: Refusal, retry_after: Duration) -> Verdict {
    Verdict::Refuse { reason, retry_after }
}
