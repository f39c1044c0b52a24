//! One place where the starts of a data centre's engines are decided.
//!
//! The load that this answers: a hundred nodes send prompts to the same engines. Each learns of the others'
//! prompts later than the engines read them, so several choose the same engine at once and its streams
//! pause while others idle. A coordinator hears of every request before it is sent and knows what each
//! engine has yet to read, so it decides as a single node would: which engine, and when.
//!
//! What it says is advice on when to send. A node without it decides by itself, and a request that the
//! coordinator has forgotten costs no more than a place that stays taken until it expires.

use {
    crate::{
        dispatcher::{Dispatcher, FlightId, WaitId},
        need::Need,
        repeat_budget::RepeatLimit,
        server::ServerIdx,
        start::{StartAnswer, StartAsk, StartEvent, StartVerdict, mark},
        verdict::Verdict,
        view::View,
    },
    glade_catalog::{Catalog, ModelSpec},
    glade_types::{DataCentre, ModelName, ServiceName},
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time beyond its patience after which a request counts as ended without word of it.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);
/// Period at which such requests are looked for.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// A request, by the node that asked and the name that it gave it.
type Asked = (SocketAddr, u32);

/// What the coordinator wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Tell a node.
    Answer {
        /// Where it hears answers.
        to: SocketAddr,
        /// What.
        answer: StartAnswer,
    },
    /// Ask the coordinator of another data centre.
    PassOn {
        /// The data centre.
        data_centre: DataCentre,
        /// What.
        ask: StartAsk,
    },
    /// A model or adapter is waited for that no usable server holds.
    Missing(ModelName),
}

#[derive(Clone, Debug)]
enum State {
    Waiting { id: WaitId, missing: bool },
    Running { flight: FlightId, server: u32 },
}

#[derive(Clone, Debug)]
struct Ticket {
    state: State,
    ask: StartAsk,
    expires_at: Instant,
}

/// Decides for all nodes of a data centre.
#[derive(Debug)]
pub struct Coordinator {
    dispatcher: Dispatcher,
    tickets: HashMap<Asked, Ticket>,
    waiting: HashMap<WaitId, Asked>,
    services: HashMap<u32, ServiceName>,
    models: HashMap<u32, (ModelName, Duration, Duration)>,
    version: Option<u64>,
    sweep_at: Option<Instant>,
}

impl Coordinator {
    /// Returns a coordinator that knows no servers.
    pub fn new() -> Self {
        let no_repeats = RepeatLimit { share: 0.0, window: Duration::from_secs(1), reserve: 0.0 };
        Self {
            dispatcher: Dispatcher::new(no_repeats, 0),
            tickets: HashMap::new(),
            waiting: HashMap::new(),
            services: HashMap::new(),
            models: HashMap::new(),
            version: None,
            sweep_at: None,
        }
    }

    /// Takes over what is believed of servers. Those near are the ones that it decides on alone, so what
    /// others are said to have there isn't counted twice.
    pub fn sync(&mut self, view: &View) {
        let servers = view.servers.iter().map(|server| {
            let mut server = server.clone();
            if server.near {
                server.others = Default::default();
            }
            server
        });
        let view = View { servers: servers.collect(), live_vms: 1, ..view.clone() };
        self.dispatcher.sync(&view);
        if let Some(catalog) = &view.catalog
            && self.version != Some(catalog.version())
        {
            self.version = Some(catalog.version());
            self.learn_names(catalog);
        }
    }

    fn learn_names(&mut self, catalog: &Catalog) {
        self.services =
            catalog.services().map(|it| (mark(it.name.as_str()), it.name.clone())).collect();
        let classes = catalog.services().filter_map(|service| service.engine_class.as_ref());
        let named = |spec: &ModelSpec| {
            let (load, quickest) = (spec.load_from_store, spec.quickest_load());
            let names = spec.adapter_names().chain([spec.name.clone()]);
            names.map(|name| (mark(name.as_str()), (name, load, quickest))).collect::<Vec<_>>()
        };
        self.models = classes.flat_map(|class| class.models.iter().flat_map(named)).collect();
    }

    /// True if requests wait.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// A node hears answers at `asker` and asks for a server. `draw` is a number drawn for the request.
    pub fn ask(
        &mut self,
        now: Instant,
        asker: SocketAddr,
        ask: StartAsk,
        draw: u32,
    ) -> Vec<Notice> {
        let asked = (ask.reply_to.unwrap_or(asker), ask.ticket);
        if let Some(ticket) = self.tickets.get(&asked) {
            let verdict = match ticket.state {
                State::Waiting { missing, .. } => StartVerdict::Queued { missing },
                State::Running { server, .. } => StartVerdict::Go { server },
            };
            return vec![answer(asked, verdict)];
        }
        // A name that isn't known here is for the node itself to decide on.
        let Some(need) = self.need(now, &ask, draw) else { return Vec::new() };
        let tried = self.tried(&ask);
        let verdict = self.dispatcher.decide(now, &need, &tried);
        match verdict {
            Verdict::Send(server) if self.is_near(server) => {
                let flight = self.dispatcher.begin(now, &need, server);
                vec![self.start(now, asked, ask, flight, server)]
            }
            Verdict::Send(server) => vec![self.pass_on(asked, ask, server)],
            Verdict::Wait { missing } => {
                let id = self.dispatcher.wait(&need, &tried);
                self.waiting.insert(id, asked);
                let expires_at = need.give_up_at + FORGOTTEN_AFTER;
                self.tickets.insert(
                    asked,
                    Ticket { state: State::Waiting { id, missing }, ask, expires_at },
                );
                let wish = need.model.filter(|_| missing).map(Notice::Missing);
                wish.into_iter().chain([answer(asked, StartVerdict::Queued { missing })]).collect()
            }
            Verdict::Refuse { reason, retry_after } => {
                vec![answer(asked, StartVerdict::refused(reason, retry_after))]
            }
        }
    }

    /// The node that hears answers at `asker` tells what became of a request.
    pub fn on_event(&mut self, now: Instant, asker: SocketAddr, event: StartEvent) {
        match event {
            StartEvent::Answered { ticket, after_us } => {
                let state = self.tickets.get(&(asker, ticket)).map(|ticket| &ticket.state);
                if let Some(State::Running { flight, .. }) = state {
                    let after = Duration::from_micros(u64::from(after_us));
                    self.dispatcher.answered_after(*flight, after);
                }
            }
            StartEvent::Ended { ticket, is_good, step_us } => {
                let Some(ticket) = self.tickets.remove(&(asker, ticket)) else { return };
                match ticket.state {
                    State::Waiting { id, .. } => self.forget(id),
                    State::Running { flight, .. } => {
                        if is_good {
                            self.dispatcher.succeeded(flight);
                        }
                        let step = step_us.map(|us| Duration::from_micros(u64::from(us)));
                        self.dispatcher.stepped(flight, step);
                        self.dispatcher.end(flight);
                    }
                }
            }
            StartEvent::Failed { server, weight } => {
                if let Some(server) = self.dispatcher.server_with(server) {
                    self.dispatcher.failed(now, server, weight);
                }
            }
        }
    }

    /// Lets waiting requests go as servers get room for them.
    pub fn tick(&mut self, now: Instant) -> Vec<Notice> {
        self.sweep(now);
        let mut notices = Vec::new();
        for (id, verdict, flight) in self.dispatcher.due(now) {
            let Some(asked) = self.waiting.remove(&id) else { continue };
            let Some(ticket) = self.tickets.remove(&asked) else { continue };
            match (verdict, flight) {
                (Verdict::Send(server), Some(flight)) if self.is_near(server) => {
                    notices.push(self.start(now, asked, ticket.ask, flight, server));
                }
                (Verdict::Send(server), Some(flight)) => {
                    self.dispatcher.end(flight);
                    notices.push(self.pass_on(asked, ticket.ask, server));
                }
                (Verdict::Refuse { reason, retry_after }, _) => {
                    notices.push(answer(asked, StartVerdict::refused(reason, retry_after)));
                }
                (Verdict::Send(_) | Verdict::Wait { .. }, _) => {}
            }
        }
        notices
    }

    fn start(
        &mut self,
        now: Instant,
        asked: Asked,
        ask: StartAsk,
        flight: FlightId,
        server: ServerIdx,
    ) -> Notice {
        let server = self.dispatcher.record(server).key.tag();
        let patience = Duration::from_millis(u64::from(ask.patience_ms));
        let expires_at = now + patience + FORGOTTEN_AFTER;
        let state = State::Running { flight, server };
        self.log_started(now, asked, &ask, flight);
        self.tickets.insert(asked, Ticket { state, ask, expires_at });
        answer(asked, StartVerdict::Go { server })
    }

    fn log_started(&self, now: Instant, (asker, ticket): Asked, ask: &StartAsk, flight: FlightId) {
        let Some((server, reading_us)) = self.dispatcher.reading_of(flight) else { return };
        let basis = self.dispatcher.basis(now, server);
        log::info!(
            asker = asker.to_string().as_str(),
            ticket = ticket,
            server = self.dispatcher.record(server).key.id.as_str(),
            waited_ms = ask.waited_ms,
            prompt = ask.prompt_tokens,
            reading_us = reading_us,
            unread_us = basis.own.unread_us,
            in_flight = basis.own.in_flight,
            waiting = self.waiting.len() as u64,
            slowness = basis.slowness,
            step_us = (basis.step_s * 1e6) as u64;
            "start_decided"
        );
    }

    fn pass_on(&self, asked: Asked, ask: StartAsk, server: ServerIdx) -> Notice {
        let data_centre = self.dispatcher.record(server).data_centre.clone();
        Notice::PassOn { data_centre, ask: StartAsk { reply_to: Some(asked.0), ..ask } }
    }

    fn need(&self, now: Instant, ask: &StartAsk, draw: u32) -> Option<Need> {
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        let (model, model_load, model_load_min) = self.models.get(&ask.model)?.clone();
        Some(Need {
            service: self.services.get(&ask.service)?.clone(),
            model: Some(model),
            prompt_tokens: ask.prompt_tokens,
            output_tokens: ask.output_tokens,
            output_tokens_max: ask.output_tokens_max,
            tokens_per_event: ask.tokens_per_event,
            shared_prompt: None,
            rank: ask.rank,
            objective: ms(ask.objective_ms),
            pause_limit: ask.pause_limit_ms.map(ms),
            arrived_at: now.checked_sub(ms(ask.waited_ms)).unwrap_or(now),
            model_load,
            model_load_min,
            give_up_at: now + ms(ask.patience_ms),
            draw,
        })
    }

    /// Servers that are out of the question. A question that was passed on isn't passed on again.
    fn tried(&self, ask: &StartAsk) -> Vec<ServerIdx> {
        let far = |idx: &ServerIdx| ask.reply_to.is_some() && !self.is_near(*idx);
        let failed = ask.tried.iter().filter_map(|tag| self.dispatcher.server_with(*tag));
        failed.chain(self.dispatcher.indices().filter(far)).collect()
    }

    fn is_near(&self, idx: ServerIdx) -> bool {
        self.dispatcher.servers[idx.get()].view.near
    }

    fn forget(&mut self, id: WaitId) {
        self.waiting.remove(&id);
        self.dispatcher.forget(id);
    }

    /// Forgets requests of which there was no word for long.
    fn sweep(&mut self, now: Instant) {
        if self.sweep_at.is_some_and(|at| now < at) {
            return;
        }
        self.sweep_at = Some(now + SWEEP_EVERY);
        let is_old = |(_, ticket): &(&Asked, &Ticket)| ticket.expires_at <= now;
        let old: Vec<Asked> = self.tickets.iter().filter(is_old).map(|(asked, _)| *asked).collect();
        for asked in old {
            match self.tickets.remove(&asked).map(|ticket| ticket.state) {
                Some(State::Waiting { id, .. }) => self.forget(id),
                Some(State::Running { flight, .. }) => self.dispatcher.end(flight),
                None => {}
            }
        }
    }
}

impl Default for Coordinator {
    fn default() -> Self {
        Self::new()
    }
}

fn answer((to, ticket): Asked, verdict: StartVerdict) -> Notice {
    Notice::Answer { to, answer: StartAnswer { ticket, verdict } }
}
