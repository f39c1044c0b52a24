//! The fake engine.

use {
    glade_engine::{EngineReport, FencingToken, Order, OrderKind, ResidentModel},
    glade_table::Table,
    glade_types::{BackendId, Incarnation, ModelName, Priority},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Places in the batch.
pub(crate) const SLOTS: u32 = 16;
/// Prefill on an idle engine without a cached prefix.
const PREFILL: Duration = Duration::from_millis(160);
/// Share of the prefill that a cached prefix saves.
const CACHED_SAVING: f64 = 0.75;
/// Time for one token on an idle engine.
const PER_TOKEN: Duration = Duration::from_millis(14);
/// How much slower a full batch is than an empty one.
const CROWDING: f64 = 0.8;
/// Prompt prefixes that the engine keeps.
const CACHED_PREFIXES: usize = 24;

/// A request at the engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) request: usize,
    pub(crate) attempt: u32,
    pub(crate) priority: Priority,
    pub(crate) prefix: u64,
    pub(crate) tokens: u32,
}

/// A job that has started: when its first token and its end come.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Started {
    pub(crate) job: Job,
    pub(crate) first_token: Duration,
    pub(crate) end: Duration,
}

/// One engine.
#[derive(Clone, Debug)]
pub(crate) struct FakeEngine {
    pub(crate) id: BackendId,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) leaving: bool,
    /// Models with their memory and whether they can serve.
    models: BTreeMap<ModelName, (u64, bool)>,
    highest_token: FencingToken,
    urgent: VecDeque<Job>,
    patient: VecDeque<Job>,
    running: u32,
    prefixes: VecDeque<u64>,
    done: u64,
    busy: Duration,
}

impl FakeEngine {
    pub(crate) fn new(idx: usize) -> Self {
        Self {
            id: BackendId::new(&format!("e{idx:02}")),
            incarnation: 1,
            alive: true,
            leaving: false,
            models: BTreeMap::new(),
            highest_token: FencingToken(0),
            urgent: VecDeque::new(),
            patient: VecDeque::new(),
            running: 0,
            prefixes: VecDeque::new(),
            done: 0,
            busy: Duration::ZERO,
        }
    }

    /// Dies with all it holds. Returns the jobs that were lost while waiting.
    pub(crate) fn die(&mut self) {
        self.alive = false;
        self.models.clear();
        self.urgent.clear();
        self.patient.clear();
        self.prefixes.clear();
        self.running = 0;
        self.highest_token = FencingToken(0);
    }

    /// Comes back empty.
    pub(crate) fn start(&mut self) {
        self.alive = true;
        self.leaving = false;
        self.incarnation += 1;
    }

    pub(crate) fn preload(&mut self, table: &Table, model: &ModelName) {
        let bytes = table.row(model.as_str()).map_or(0, |row| row.memory_bytes);
        self.models.insert(model.clone(), (bytes, true));
    }

    pub(crate) fn holds(&self, model: &ModelName) -> bool {
        self.models.get(model).is_some_and(|(_, ready)| *ready)
    }

    pub(crate) fn resident(&self) -> impl Iterator<Item = &ModelName> {
        self.models.iter().filter(|(_, (_, ready))| *ready).map(|(name, _)| name)
    }

    pub(crate) fn free_bytes(&self, capacity: u64) -> u64 {
        capacity.saturating_sub(self.models.values().map(|(bytes, _)| bytes).sum())
    }

    /// Takes an order; true if a load has begun.
    pub(crate) fn order(&mut self, order: &Order) -> bool {
        self.highest_token = self.highest_token.max(order.token);
        match order.kind {
            OrderKind::Unload => {
                self.models.remove(&order.model);
                false
            }
            OrderKind::Load { memory_bytes, .. } => {
                self.models.entry(order.model.clone()).or_insert((memory_bytes, false));
                true
            }
        }
    }

    pub(crate) fn loaded(&mut self, model: &ModelName) {
        if let Some((_, ready)) = self.models.get_mut(model) {
            *ready = true;
        }
    }

    pub(crate) fn enqueue(&mut self, job: Job) {
        match job.priority {
            Priority::Urgent => self.urgent.push_back(job),
            Priority::Patient => self.patient.push_back(job),
        }
    }

    /// Starts the next job if there is a place for it.
    pub(crate) fn start_next(&mut self, now: Duration) -> Option<Started> {
        if self.running >= SLOTS {
            return None;
        }
        let job = self.urgent.pop_front().or_else(|| self.patient.pop_front())?;
        self.running += 1;
        let slower = 1.0 + CROWDING * f64::from(self.running) / f64::from(SLOTS);
        let cached = self.touch(job.prefix);
        let prefill = if cached { PREFILL.mul_f64(1.0 - CACHED_SAVING) } else { PREFILL };
        let first_token = now + prefill.mul_f64(slower);
        let end = first_token + (PER_TOKEN * job.tokens).mul_f64(slower);
        self.busy += end - now;
        self.done += 1;
        Some(Started { job, first_token, end })
    }

    pub(crate) fn ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Marks a prefix as used; true if it was cached.
    fn touch(&mut self, prefix: u64) -> bool {
        let found = self.prefixes.iter().position(|known| *known == prefix);
        if let Some(idx) = found {
            self.prefixes.remove(idx);
        } else if self.prefixes.len() == CACHED_PREFIXES {
            self.prefixes.pop_front();
        }
        self.prefixes.push_back(prefix);
        found.is_some()
    }

    pub(crate) fn report(&self, memory_bytes: u64, accelerators: u32) -> EngineReport {
        let mean = self.busy.checked_div(u32::try_from(self.done).unwrap_or(u32::MAX));
        EngineReport {
            incarnation: Incarnation(self.incarnation),
            memory_bytes,
            accelerators,
            running: self.running,
            waiting: u32::try_from(self.urgent.len() + self.patient.len()).unwrap_or(u32::MAX),
            slots: SLOTS,
            mean_request: mean.unwrap_or(Duration::from_secs(1)),
            leaving: self.leaving,
            resident: self
                .models
                .iter()
                .filter(|(_, (_, ready))| *ready)
                .map(|(name, (bytes, _))| ResidentModel {
                    name: name.clone(),
                    memory_bytes: *bytes,
                })
                .collect(),
        }
    }
}
