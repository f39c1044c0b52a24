//! Where a request goes, whether it waits, or that it is refused.

use {
    crate::{
        cost::{cost_s, fraction, predicted_s, shuffled, stalls_streams},
        dispatcher::Dispatcher,
        request_spec::RequestSpec,
        server::{Server, ServerIdx},
        server_queues::QueuePriority,
        verdict::{Refusal, Verdict},
    },
    glade_catalog::base_of,
    std::time::{Duration, Instant},
};

/// Advice to callers while nothing is known of when a server will be available.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(500);
/// Time that the holder of the lease is given to decide about a model that no engine holds.
const PLACEMENT_TIME: Duration = Duration::from_millis(400);
/// Part of a request's patience for which it waits for the same, where that is longer: a load that has
/// to wait for others still ends in time for it.
const PLACEMENT_SHARE: f64 = 0.33;
/// Time that the holder of the lease is given to bring an adapter to an engine with its model.
const ADAPTER_TIME: Duration = Duration::from_millis(1500);
/// Time that is left to a request whose model has just arrived for its first byte: reading a prompt of
/// average length on either users' engines, behind another.
const FIRST_READ: Duration = Duration::from_millis(60);
/// Nodes that may choose among all servers without choosing the same one.
const NODES_THAT_AGREE: usize = 8;
/// How much chance there is in the choices of a crowd: more, the less its nodes know of each other's
/// prompts.
const BLUR_WITH_WORD: Blur = Blur { cost_s: 0.08, drawn_min: 4 };
const BLUR_WITHOUT_WORD: Blur = Blur { cost_s: 0.16, drawn_min: 2 };
/// Part of a server's memory for prompts that is filled before requests wait.
const MEMORY_SHARE: f64 = 0.9;

/// Chance in choices.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Blur {
    /// Largest cost that is added to a server, in seconds.
    cost_s: f64,
    /// Servers that each choice has, where there are as many.
    drawn_min: usize,
}

/// When a server that takes no requests now would answer one.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Later {
    /// Time for which it wants no requests from this VM, in seconds.
    closed_s: f64,
    /// Predicted time to the first byte, in seconds.
    first_byte_s: f64,
}

impl Later {
    /// The sooner of the two.
    fn sooner(self, other: Self) -> Self {
        if other.first_byte_s < self.first_byte_s { other } else { self }
    }
}

impl Dispatcher {
    /// Decides where `need` goes. Servers in `tried` have failed it before. Servers that are set aside
    /// are used only where no other will do.
    pub fn decide(&self, now: Instant, need: &RequestSpec, tried: &[ServerIdx]) -> Verdict {
        let verdict = self.choose(now, need, tried, false);
        match verdict {
            Verdict::Send(_) | Verdict::Wait { missing: false } => verdict,
            Verdict::Wait { missing: true } | Verdict::Refuse { .. } => {
                match self.choose(now, need, tried, true) {
                    Verdict::Send(server) => Verdict::Send(server),
                    Verdict::Wait { .. } | Verdict::Refuse { .. } => verdict,
                }
            }
        }
    }

    fn choose(
        &self,
        now: Instant,
        need: &RequestSpec,
        tried: &[ServerIdx],
        with_set_aside: bool,
    ) -> Verdict {
        let reading_us = self.reading_us(need);
        let (candidates, is_held) = self.candidates(need, tried);
        // Servers that are set aside are known all the same.
        let mut known = is_held;
        let mut base_held = false;
        let mut crowded: Option<Later> = None;
        let mut fitting: Vec<(u64, ServerIdx)> = Vec::new();
        let base = need.model.as_ref().map(base_of);
        let turn = QueuePriority::of(now, need);
        for idx in candidates {
            let server = &self.servers[idx.get()];
            if server.view.record.service != need.service
                || !server.is_usable()
                || (server.health.is_set_aside(now) && !with_set_aside)
                || tried.contains(&idx)
            {
                continue;
            }
            known = true;
            if let (Some(model), Some(base)) = (&need.model, base) {
                base_held |= server.view.resident_models.contains(base);
                if !server.view.resident_models.contains(model) {
                    continue;
                }
            }
            let closed_s = server.closed_for(now).as_secs_f64();
            let before_us = self.reserved.before(idx, &turn);
            if closed_s > 0.0 || !self.has_room(now, server, need, reading_us, before_us) {
                let later = Later {
                    closed_s,
                    first_byte_s: closed_s
                        + predicted_s(now, server, need, reading_us)
                        + server.speed.read_s(self.reserved.queued(idx, &turn)),
                };
                crowded = Some(crowded.map_or(later, |least| least.sooner(later)));
                continue;
            }
            fitting.push((shuffled(need.seed, idx), idx));
        }
        if let [(_, only)] = fitting[..]
            && self.is_crowd()
            && self.has_word(now)
        {
            let server = &self.servers[only.get()];
            let recent_us = server.recent_beyond_unread_us(now);
            if stalls_streams(now, server, need, recent_us, reading_us) {
                let predicted = predicted_s(now, server, need, reading_us);
                return self
                    .in_time(now, need, predicted)
                    .unwrap_or(Verdict::Wait { missing: false });
            }
        }
        let chosen = if need.model.is_none() && self.is_crowd() {
            self.own_share(&fitting)
        } else {
            self.cheapest(now, need, reading_us, fitting)
        };
        if let Some(idx) = chosen {
            let predicted = predicted_s(now, &self.servers[idx.get()], need, reading_us);
            return self.in_time(now, need, predicted).unwrap_or(Verdict::Send(idx));
        }
        if let Some(later) = crowded {
            return match self.in_time(now, need, later.first_byte_s) {
                None => Verdict::Wait { missing: false },
                Some(_) if later.closed_s > 0.0 => {
                    refuse(Refusal::Overloaded, Duration::from_secs_f64(later.closed_s))
                }
                Some(refusal) => refusal,
            };
        }
        if !known {
            return refuse(Refusal::NoServer, RETRY_AFTER_DEFAULT);
        }
        self.absent(now, need, base_held)
    }

    /// Servers to look at for `need`: those that hold its model, if any is left to try, or else all. True if
    /// they hold it.
    fn candidates(&self, need: &RequestSpec, tried: &[ServerIdx]) -> (Vec<ServerIdx>, bool) {
        let holders = need.model.as_ref().and_then(|model| self.holders.get(model));
        let is_left = |idx: &ServerIdx| !tried.contains(idx) && self.servers[idx.get()].is_usable();
        match holders {
            Some(holders) if holders.iter().any(is_left) => (holders.clone(), true),
            _ => (self.indices().collect(), false),
        }
    }

    /// The server of least cost among some of `fitting`, which are drawn by their first fields.
    ///
    /// Nodes learn of each other's sends late. Were each to choose among all servers, all would choose
    /// the same one until its load is known; with a few drawn for each request, a server gets at most a
    /// few times its share meanwhile. The more nodes send beside this one, the fewer are drawn.
    fn cheapest(
        &self,
        now: Instant,
        need: &RequestSpec,
        reading_us: u64,
        mut fitting: Vec<(u64, ServerIdx)>,
    ) -> Option<ServerIdx> {
        let drawn = (fitting.len() * NODES_THAT_AGREE).div_ceil(self.live_vms as usize);
        let blur = if self.has_word(now) { BLUR_WITH_WORD } else { BLUR_WITHOUT_WORD };
        let drawn = drawn.max(blur.drawn_min);
        if drawn < fitting.len() {
            fitting.sort_unstable();
            fitting.truncate(drawn);
        }
        let blur_s = if self.is_crowd() { blur.cost_s } else { 0.0 };
        let cost = |idx: ServerIdx| {
            cost_s(now, &self.servers[idx.get()], need, reading_us)
                + blur_s * fraction(need.seed, idx)
        };
        let cheaper = |best: (f64, ServerIdx), (_, idx): &(u64, ServerIdx)| {
            let cost = cost(*idx);
            if cost < best.0 { (cost, *idx) } else { best }
        };
        let (_, first) = *fitting.first()?;
        Some(fitting[1..].iter().fold((cost(first), first), cheaper).1)
    }

    /// A refusal, if nobody will wait for `predicted_s` seconds any more.
    fn in_time(&self, now: Instant, need: &RequestSpec, predicted_s: f64) -> Option<Verdict> {
        let left_s = need.first_byte_deadline.saturating_duration_since(now).as_secs_f64();
        if predicted_s < left_s {
            return None;
        }
        let wait = Duration::from_secs_f64((predicted_s - left_s).clamp(0.1, 5.0));
        Some(refuse(Refusal::Overloaded, wait))
    }

    /// No usable server holds what is needed: waits if it will be there in time.
    fn absent(&self, now: Instant, need: &RequestSpec, base_held: bool) -> Verdict {
        let Some(model) = &need.model else {
            return refuse(Refusal::NoServer, RETRY_AFTER_DEFAULT);
        };
        if base_held {
            let last = need.first_byte_deadline.checked_sub(FIRST_READ).unwrap_or(need.arrived_at);
            let until = last.min(need.arrived_at + ADAPTER_TIME);
            return if now < until {
                Verdict::Wait { missing: true }
            } else {
                refuse(Refusal::NotResident, RETRY_AFTER_DEFAULT)
            };
        }
        match self.arriving.get(base_of(model)).map(|at| likely_at(now, *at)) {
            Some(at) if at + FIRST_READ < need.first_byte_deadline => {
                Verdict::Wait { missing: true }
            }
            Some(at) => {
                let wait = at.saturating_duration_since(now);
                refuse(Refusal::NotResident, wait.max(RETRY_AFTER_DEFAULT))
            }
            None if now < placement_until(need) => Verdict::Wait { missing: true },
            None => refuse(Refusal::NotResident, need.model_load.max(RETRY_AFTER_DEFAULT)),
        }
    }

    /// True if the request can go to `server` now, beside what takes `before_us` to read for which the
    /// server is reserved.
    fn has_room(
        &self,
        now: Instant,
        server: &Server,
        need: &RequestSpec,
        reading_us: u64,
        before_us: u64,
    ) -> bool {
        let load = server.load(now);
        let slots = server.view.record.slots.max(1);
        let Some(capacity) = self.kv_capacity.get(&need.service) else {
            let known = if self.is_crowd() { server.own } else { load };
            return known.in_flight < slots * 2;
        };
        let tokens = u64::from(need.prompt_tokens) + u64::from(need.output_tokens);
        let room = (*capacity as f64 * MEMORY_SHARE) as u64;
        load.in_flight < slots
            && (!self.is_crowd() || self.has_turn(now, server, need))
            && (load.held_tokens + tokens <= room || load.in_flight == 0)
            && (self.is_crowd() || !stalls_streams(now, server, need, before_us, reading_us))
    }

    /// The server that holds what `need` wants and has least to read.
    pub(crate) fn soonest(
        &self,
        now: Instant,
        need: &RequestSpec,
        tried: &[ServerIdx],
    ) -> Option<ServerIdx> {
        let model = need.model.as_ref()?;
        let turn = QueuePriority::of(now, need);
        let fits = |(idx, server): &(ServerIdx, &Server)| {
            server.view.record.service == need.service
                && server.takes_requests(now)
                && server.view.resident_models.contains(model)
                && !tried.contains(idx)
        };
        let to_read = |(idx, server): &(ServerIdx, &Server)| {
            server.load(now).unread_us + self.reserved.queued(*idx, &turn)
        };
        let holders = self.holders.get(model)?.iter();
        let servers = holders.map(|idx| (*idx, &self.servers[idx.get()]));
        servers.filter(fits).min_by_key(to_read).map(|(idx, _)| idx)
    }

    /// Longest time that `need` may take from its choice of a server to its last byte.
    pub fn longest_duration(&self, now: Instant, need: &RequestSpec) -> Duration {
        let reading_us = self.reading_us(need);
        let servers =
            self.servers.iter().filter(|server| server.view.record.service == need.service);
        let slowest = servers
            .filter(|server| server.view.usable)
            .map(|server| {
                predicted_s(now, server, need, reading_us)
                    + server.speed.generate_s(need.output_tokens_max)
            })
            .fold(0.0, f64::max);
        Duration::from_secs_f64(slowest)
    }
}

/// Until when a request waits for the holder of the lease to decide about its model. A load that begins
/// later would end when nobody waits any more.
fn placement_until(need: &RequestSpec) -> Instant {
    let patience = need.first_byte_deadline.saturating_duration_since(need.arrived_at);
    // Even a copy at hand would be there too late: an answer of the holder's could only say so.
    if patience < need.model_load_min + FIRST_READ {
        return need.arrived_at;
    }
    let last = patience.saturating_sub(need.model_load + FIRST_READ);
    let wait = PLACEMENT_TIME.min(patience.saturating_sub(need.model_load_min + FIRST_READ));
    need.arrived_at + wait.max(patience.mul_f64(PLACEMENT_SHARE).min(last))
}

/// When something that was expected at `at` is likely to be there. What is overdue is expected to be
/// late for as long again.
fn likely_at(now: Instant, at: Instant) -> Instant {
    at.max(now + now.saturating_duration_since(at))
}

fn refuse(reason: Refusal, retry_after: Duration) -> Verdict {
    Verdict::Refuse { reason, retry_after }
}
