//! Records the outcomes of requests: measured prefill and decode speed of servers, failures, and
//! what servers state about themselves (leaving, backoff).

use {
    crate::{
        cost::unit_fraction,
        dispatcher::{Dispatcher, InFlightId},
        prefill_fit::{DEFAULT_S_PER_TOKEN, PrefillFit},
        request_spec::RequestSpec,
        server::ServerIdx,
    },
    glade_catalog::{ServerKey, base_model_of},
    glade_limit::{LimitChange, LimitReport, StatedLimit},
    std::time::{Duration, Instant},
};

/// A server is an outlier if its failure share exceeds the median of its service by this factor
/// plus this margin.
const OUTLIER_RATIO: f64 = 2.0;
const OUTLIER_MARGIN: f64 = 0.15;

impl Dispatcher {
    /// Records the first byte of an answer.
    pub fn record_first_byte(&mut self, now: Instant, id: InFlightId) {
        let Some(in_flight) = self.in_flight_requests.get(&id) else { return };
        let (server, is_stream) = (in_flight.server, in_flight.is_stream);
        let time = now.saturating_duration_since(in_flight.sent_at);
        let service = self.servers[server.get()].view.record.service.clone();
        self.record_answer_time(now, &service, is_stream, time);
        self.record_first_byte_after(id, time);
    }

    /// Records the first byte of an answer, `time` after the request was sent.
    pub fn record_first_byte_after(&mut self, id: InFlightId, time: Duration) {
        let Some(in_flight) = self.in_flight_requests.get_mut(&id) else { return };
        in_flight.is_answering = true;
        let server = &mut self.servers[in_flight.server.get()];
        server.own_load.outstanding_prefill_us -=
            std::mem::take(&mut in_flight.load.outstanding_prefill_us);
        server.speed.on_answer(time);
        let Some(isolated_prefill) = in_flight.isolated_prefill.take() else { return };
        let event_s = server.speed.decode_step_s() * f64::from(isolated_prefill.event_tokens);
        let took_s = (time.as_secs_f64() - event_s).max(0.0);
        let service = server.view.record.service.clone();
        let service_fit = self.prefill_fits.entry(service.clone()).or_default();
        let model_fit = self
            .prefill_fits_by_model
            .entry(isolated_prefill.model)
            .or_insert_with(|| PrefillFit::from_service_fit(service_fit));
        server
            .speed
            .on_isolated_prefill(took_s, model_fit.time_s(f64::from(isolated_prefill.tokens)));
        model_fit.add_sample(isolated_prefill.tokens, took_s);
        service_fit.add_sample(isolated_prefill.tokens, took_s);
        let first_event_overhead_s = service_fit.overhead_s();
        let same_service =
            self.servers.iter_mut().filter(|server| server.view.record.service == service);
        same_service
            .for_each(|server| server.speed.set_first_event_overhead_s(first_event_overhead_s));
    }

    /// Time of an engine's prefill for `request`, in microseconds.
    pub(crate) fn prefill_us(&self, request: &RequestSpec) -> u64 {
        let model_fit = request
            .model
            .as_ref()
            .and_then(|model| self.prefill_fits_by_model.get(base_model_of(model)));
        let fit = model_fit.or_else(|| self.prefill_fits.get(&request.service));
        let s_per_token = fit.map_or(DEFAULT_S_PER_TOKEN, PrefillFit::s_per_token);
        (f64::from(request.prompt_tokens) * s_per_token * 1e6) as u64
    }

    /// Records that a server answered a request successfully, to the last byte.
    pub fn record_success(&mut self, id: InFlightId) {
        if let Some(in_flight) = self.in_flight_requests.get(&id) {
            self.servers[in_flight.server.get()].health.on_success();
        }
    }

    /// Records that `tokens` were generated in `time` after the first byte. `step` is the duration
    /// of decode steps without prefill, if measured.
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

    /// Records the duration of a decode step without prefill at a request's server.
    pub(crate) fn record_decode_step(&mut self, id: InFlightId, step: Option<Duration>) {
        if let (Some(in_flight), Some(step)) = (self.in_flight_requests.get(&id), step) {
            self.servers[in_flight.server.get()].speed.on_decode_step(step);
        }
    }

    /// Records that a server failed a request in a way that counts as `weight` failures. Returns
    /// the duration of the ejection, if the server is ejected for it.
    pub fn record_failure(
        &mut self,
        now: Instant,
        server: ServerIdx,
        weight: u32,
    ) -> Option<Duration> {
        self.servers[server.get()].health.on_failure(now, weight)
    }

    /// True if a server fails clearly more often than the others of its service. A failure that
    /// occurs on all servers alike is caused by the request, and a retry on another server is of no
    /// use.
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

    /// Records that a server's process is gone. The server gets no requests until its registry
    /// record changes.
    pub fn mark_gone(&mut self, idx: ServerIdx) -> ServerKey {
        let server = &mut self.servers[idx.get()];
        server.process_gone = true;
        server.view.record.key.clone()
    }

    /// Records that a server has announced its shutdown. It gets no new requests for the rest of
    /// its life. Returns its key at the first call only.
    pub fn mark_leaving(&mut self, idx: ServerIdx) -> Option<ServerKey> {
        let server = &mut self.servers[idx.get()];
        let is_new = !std::mem::replace(&mut server.leaving, true);
        is_new.then(|| server.view.record.key.clone())
    }

    /// Records what an answer to a request sent at `sent_at` has stated about its server's limit.
    /// Returns what that has changed, and what the other VMs have to know.
    pub fn record_stated_limit(
        &mut self,
        now: Instant,
        idx: ServerIdx,
        sent_at: Instant,
        stated: StatedLimit,
    ) -> (Option<LimitChange>, Option<LimitReport>) {
        let limit = &mut self.servers[idx.get()].limit;
        let change = limit.record(now, sent_at, stated);
        (change, limit.report(now, change))
    }

    /// Records that a server asked for no requests from this VM for `time`. Returns how much of
    /// that time is respected.
    pub fn back_off(&mut self, now: Instant, idx: ServerIdx, time: Duration) -> Duration {
        let spread_fraction = unit_fraction(self.vm_seed, idx);
        self.servers[idx.get()].back_off(now, time, spread_fraction)
    }
}
