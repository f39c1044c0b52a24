//! What is learnt from the fate of requests: how fast servers read, whether they answer as they should, and
//! what they say of themselves.

use {
    crate::{
        cost::unit_fraction,
        dispatcher::{Dispatcher, InFlightId},
        prefill_fit::{DEFAULT_S_PER_TOKEN, PrefillFit},
        request_spec::RequestSpec,
        server::ServerIdx,
    },
    glade_catalog::{ServerKey, base_of},
    std::time::{Duration, Instant},
};

/// An outlier's share of failures is this many times the median of its service's servers, and this
/// much more.
const OUTLIER_RATIO: f64 = 2.0;
const OUTLIER_MARGIN: f64 = 0.15;

impl Dispatcher {
    /// Takes note of the first byte of an answer.
    pub fn record_first_byte(&mut self, now: Instant, id: InFlightId) {
        let sent_at = self.in_flight_requests.get(&id).map(|in_flight| in_flight.sent_at);
        if let Some(sent_at) = sent_at {
            self.record_first_byte_after(id, now.saturating_duration_since(sent_at));
        }
    }

    /// Takes note of the first byte of an answer, which came after `time`.
    pub fn record_first_byte_after(&mut self, id: InFlightId, time: Duration) {
        let Some(in_flight) = self.in_flight_requests.get_mut(&id) else { return };
        let row = &mut self.servers[in_flight.server.get()];
        row.own_load.unread_us -= std::mem::take(&mut in_flight.load.unread_us);
        row.speed.on_answer(time);
        let Some(isolated_prefill) = in_flight.isolated_prefill.take() else { return };
        let event_s = row.speed.decode_step_s() * f64::from(isolated_prefill.event_tokens);
        let took_s = (time.as_secs_f64() - event_s).max(0.0);
        let service = row.view.record.service.clone();
        let fit = self.prefill_fits.entry(service.clone()).or_default();
        let of_model = self
            .prefill_fits_by_model
            .entry(isolated_prefill.model)
            .or_insert_with(|| PrefillFit::like(fit));
        row.speed.on_isolated_prefill(took_s, of_model.time_s(f64::from(isolated_prefill.tokens)));
        of_model.add_sample(isolated_prefill.tokens, took_s);
        fit.add_sample(isolated_prefill.tokens, took_s);
        let first_event_overhead_s = fit.overhead_s();
        let alike = self.servers.iter_mut().filter(|row| row.view.record.service == service);
        alike.for_each(|row| row.speed.set_first_event_overhead_s(first_event_overhead_s));
    }

    /// Time that an engine takes to read the prompt of `need`, in microseconds.
    pub(crate) fn prefill_us(&self, request: &RequestSpec) -> u64 {
        let of_model =
            request.model.as_ref().and_then(|model| self.prefill_fits_by_model.get(base_of(model)));
        let fit = of_model.or_else(|| self.prefill_fits.get(&request.service));
        let s_per_token = fit.map_or(DEFAULT_S_PER_TOKEN, PrefillFit::s_per_token);
        (f64::from(request.prompt_tokens) * s_per_token * 1e6) as u64
    }

    /// Takes note that a server answered a request well, to its last byte.
    pub fn record_success(&mut self, id: InFlightId) {
        if let Some(in_flight) = self.in_flight_requests.get(&id) {
            self.servers[in_flight.server.get()].health.on_success();
        }
    }

    /// Takes note that `tokens` were generated in `time` after the first byte, with steps of `step` where
    /// nothing was read meanwhile.
    pub fn record_generation(
        &mut self,
        id: InFlightId,
        tokens: u32,
        time: Duration,
        step: Option<Duration>,
    ) {
        if let Some(in_flight) = self.in_flight_requests.get(&id) {
            let speed = &mut self.servers[in_flight.server.get()].speed;
            speed.on_generated(tokens, time);
        }
        self.record_decode_step(id, step);
    }

    /// Takes note of the time of a step of a request's server in which nothing was read.
    pub(crate) fn record_decode_step(&mut self, id: InFlightId, step: Option<Duration>) {
        if let (Some(in_flight), Some(step)) = (self.in_flight_requests.get(&id), step) {
            self.servers[in_flight.server.get()].speed.on_decode_step(step);
        }
    }

    /// Takes note that a server failed a request in a way that counts as `weight` failures. Returns
    /// how long it is set aside for that, if it is.
    pub fn record_failure(
        &mut self,
        now: Instant,
        server: ServerIdx,
        weight: u32,
    ) -> Option<Duration> {
        self.servers[server.get()].health.on_failure(now, weight)
    }

    /// True if a server fails clearly more often than the others of its service. A failure that is the
    /// same on all servers is the request's own, and asking another is of no use.
    pub fn is_outlier(&self, idx: ServerIdx) -> bool {
        let server = &self.servers[idx.get()];
        let service = &server.view.record.service;
        let mut shares: Vec<f64> = self
            .servers
            .iter()
            .filter(|other| other.view.usable && other.view.record.service == *service)
            .map(|other| other.health.failed_share())
            .collect();
        shares.sort_by(f64::total_cmp);
        let median = shares.get(shares.len() / 2).copied().unwrap_or(0.0);
        server.health.failed_share() > median * OUTLIER_RATIO + OUTLIER_MARGIN
    }

    /// Takes note that a server's process is gone. It gets no requests until the registry says
    /// something new of it.
    pub fn mark_gone(&mut self, idx: ServerIdx) -> ServerKey {
        let server = &mut self.servers[idx.get()];
        server.gone = true;
        server.view.record.key.clone()
    }

    /// Takes note that a server has said that it is about to end. It gets no new requests for the rest of
    /// its life. Returns its key unless that was known.
    pub fn mark_leaving(&mut self, idx: ServerIdx) -> Option<ServerKey> {
        let server = &mut self.servers[idx.get()];
        let is_new = !std::mem::replace(&mut server.leaving, true);
        is_new.then(|| server.view.record.key.clone())
    }

    /// Takes note that a server wants no requests from this VM for `time`. Returns how much of that is
    /// believed.
    pub fn back_off(&mut self, now: Instant, idx: ServerIdx, time: Duration) -> Duration {
        let spread_fraction = unit_fraction(self.vm_seed, idx);
        self.servers[idx.get()].back_off(now, time, spread_fraction)
    }
}
