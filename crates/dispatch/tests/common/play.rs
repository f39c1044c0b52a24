//! Engines that read prompts between the tokens of their streams, as the users' engines do, and nodes
//! that send them requests, in virtual time.

use {
    super::{Fixture, ms},
    glade_dispatch::{
        Coordinator, CoordinatorAction, InFlightId, Load, RequestSpec, ServerIdx, StartEvent,
        StartRequest, StartVerdict, Verdict, WaitId,
    },
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Prompt tokens that an engine reads in a millisecond.
const READ_PER_MS: u64 = 29;
/// Prompt tokens read in one step.
const CHUNK: u64 = 2048;
/// Tokens in an event.
const EVENT_TOKENS: u32 = 5;
/// A step without reading.
const STEP_MS: u64 = 6;
const PAUSE_LIMIT_MS: u64 = 300;
const OBJECTIVE_MS: u64 = 400;

#[derive(Debug)]
struct Run {
    request: usize,
    unread: u64,
    tokens_left: u32,
    tokens_in_event: u32,
    last_event_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct Engine {
    runs: VecDeque<Run>,
    busy_until: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub first_event: Option<Duration>,
    pub longest_pause: Duration,
    pub refused: bool,
    /// Requests that its engine had when it came there.
    pub found_there: usize,
}

/// A request of a load.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// Where all nodes hear the coordinator: requests have names that differ over all nodes here.
const ASKER: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

/// Nodes that send requests to the same engines.
pub struct Play {
    /// Every node has a dispatcher of its own.
    nodes: Vec<Fixture>,
    /// Period at which nodes tell each other of their loads.
    told_every_ms: u64,
    /// Period at which they tell each other of the prompts that they have sent; `None` if they don't.
    prompts_every_ms: Option<u64>,
    engines: HashMap<ServerIdx, Engine>,
    needs: Vec<(RequestSpec, Instant)>,
    flights: HashMap<usize, InFlightId>,
    sent_at: HashMap<usize, Instant>,
    waiting: BTreeMap<(usize, WaitId), usize>,
    outcomes: Vec<Outcome>,
    /// Decides on all starts, if there is one.
    coordinator: Option<Coordinator>,
    /// What it has yet to hear, and when.
    untold: VecDeque<(Instant, StartEvent)>,
}

/// Time for which nodes gather what they tell a coordinator.
const GATHER: Duration = Duration::from_millis(30);

impl Play {
    /// Plays `load`, which comes to many nodes that leave its starts to a coordinator.
    pub fn run_coordinated(engine_count: usize, load: &[Arrival]) -> Vec<Outcome> {
        let coordinator = Some(Coordinator::new());
        Self::run_with(coordinator, 1, 1000, None, engine_count, load)
    }

    /// Plays `load` on one node.
    pub fn run(engine_count: usize, load: &[Arrival]) -> Vec<Outcome> {
        Self::run_nodes(1, 1000, engine_count, load)
    }

    /// Plays `load`, whose requests come to `node_count` nodes in turn.
    pub fn run_nodes(
        node_count: usize,
        told_every_ms: u64,
        engine_count: usize,
        load: &[Arrival],
    ) -> Vec<Outcome> {
        Self::run_nodes_that_tell(node_count, told_every_ms, None, engine_count, load)
    }

    /// The same, where nodes tell each other of every prompt, each `prompts_every_ms`.
    pub fn run_nodes_that_tell(
        node_count: usize,
        told_every_ms: u64,
        prompts_every_ms: Option<u64>,
        engine_count: usize,
        load: &[Arrival],
    ) -> Vec<Outcome> {
        Self::run_with(None, node_count, told_every_ms, prompts_every_ms, engine_count, load)
    }

    fn run_with(
        coordinator: Option<Coordinator>,
        node_count: usize,
        told_every_ms: u64,
        prompts_every_ms: Option<u64>,
        engine_count: usize,
        load: &[Arrival],
    ) -> Vec<Outcome> {
        let holds: Vec<&[&str]> = (0..engine_count).map(|_| &["m"][..]).collect();
        let mut nodes: Vec<Fixture> = (0..node_count).map(|_| Fixture::engines(&holds)).collect();
        let start = nodes[0].now;
        for node in &mut nodes {
            node.view.live_vms = node_count as u32;
            node.update_view();
        }
        let mut play = Self {
            nodes,
            told_every_ms,
            prompts_every_ms,
            engines: HashMap::new(),
            needs: Vec::new(),
            flights: HashMap::new(),
            sent_at: HashMap::new(),
            waiting: BTreeMap::new(),
            outcomes: vec![Outcome::default(); load.len()],
            coordinator,
            untold: VecDeque::new(),
        };
        if let Some(coordinator) = &mut play.coordinator {
            coordinator.update_view(&play.nodes[0].view);
        }
        let end_ms = load.last().map_or(0, |last| last.at_ms) + 20_000;
        let mut next = 0;
        for at_ms in 0..end_ms {
            play.nodes.iter_mut().for_each(|node| node.now = start + ms(at_ms));
            while load.get(next).is_some_and(|arrival| arrival.at_ms <= at_ms) {
                play.arrive(next, load[next]);
                next += 1;
            }
            play.advance_engines();
            play.tell_loads(at_ms);
            play.tell_prompts(at_ms);
            play.serve_waiting();
            play.coordinate();
        }
        play.outcomes
    }

    fn node_of(&self, request: usize) -> usize {
        request % self.nodes.len()
    }

    fn arrive(&mut self, request: usize, arrival: Arrival) {
        let position = self.node_of(request);
        let node = &mut self.nodes[position];
        let mut need = node.need("m", arrival.prompt_tokens);
        need.output_tokens = arrival.output_tokens;
        need.output_tokens_max = arrival.output_tokens;
        need.seed = (request as u32).wrapping_mul(2_654_435_761);
        self.needs.push((need.clone(), node.now));
        if let Some(coordinator) = &mut self.coordinator {
            let ask = StartRequest::new(node.now, request as u32, &need, Vec::new());
            let notices = coordinator.request_start(node.now, ASKER.into(), ask, need.seed);
            return self.carry_out(notices);
        }
        let node = &mut self.nodes[position];
        match node.decide(&need, &[]) {
            Verdict::Send(server) => {
                let flight = node.dispatcher.begin_request(node.now, &need, server);
                self.send(request, server, flight);
            }
            Verdict::Wait { .. } => {
                let id = node.dispatcher.enqueue(&need, &[]);
                self.waiting.insert((position, id), request);
            }
            Verdict::Refuse { .. } => self.outcomes[request].refused = true,
        }
    }

    /// The coordinator hears what it hasn't heard, and lets waiting requests go.
    fn coordinate(&mut self) {
        let now = self.nodes[0].now;
        let Some(coordinator) = &mut self.coordinator else { return };
        while self.untold.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, event)) = self.untold.pop_front() else { break };
            coordinator.on_event(now, ASKER.into(), event);
        }
        let notices = coordinator.poll(now);
        self.carry_out(notices);
    }

    fn carry_out(&mut self, notices: Vec<CoordinatorAction>) {
        for notice in notices {
            let CoordinatorAction::Reply { reply: answer, .. } = notice else { continue };
            let request = answer.ticket as usize;
            match answer.verdict {
                StartVerdict::Go { server } => {
                    let node = &mut self.nodes[0];
                    let server = node.dispatcher.server_by_tag(server).expect("a known server");
                    let need = &self.needs[request].0;
                    let flight = node.dispatcher.begin_request(node.now, need, server);
                    self.send(request, server, flight);
                }
                StartVerdict::Queued { .. } => {}
                StartVerdict::Refused { .. } => self.outcomes[request].refused = true,
            }
        }
    }

    /// Nodes learn what the others have under way, somewhat late.
    fn tell_loads(&mut self, at_ms: u64) {
        if self.nodes.len() == 1 || !at_ms.is_multiple_of(self.told_every_ms) {
            return;
        }
        let mut all: HashMap<u32, Load> = HashMap::new();
        let own: Vec<HashMap<u32, Load>> = self
            .nodes
            .iter()
            .map(|node| {
                let loads = node.dispatcher.loads();
                loads.into_iter().map(|told| (told.server, told.load)).collect()
            })
            .collect();
        for (server, load) in own.iter().flatten() {
            all.entry(*server).or_default().add(load);
        }
        for (node, own) in self.nodes.iter_mut().zip(&own) {
            for server in &mut node.view.servers {
                let tag = server.record.key.tag();
                server.other_vms_load = all.get(&tag).copied().unwrap_or_default();
                server.other_vms_load.subtract(&own.get(&tag).copied().unwrap_or_default());
            }
            node.update_view();
        }
    }

    /// Nodes learn which prompts the others have sent.
    fn tell_prompts(&mut self, at_ms: u64) {
        if !self.prompts_every_ms.is_some_and(|every| at_ms.is_multiple_of(every)) {
            return;
        }
        let sent: Vec<_> =
            self.nodes.iter_mut().map(|node| node.dispatcher.take_sent_prompts()).collect();
        for (position, node) in self.nodes.iter_mut().enumerate() {
            for (_, prompts) in sent.iter().enumerate().filter(|(by, _)| *by != position) {
                node.dispatcher.record_remote_prompts(node.now, prompts);
            }
        }
    }

    fn serve_waiting(&mut self) {
        for position in 0..self.nodes.len() {
            let node = &mut self.nodes[position];
            for (id, verdict, flight) in node.dispatcher.poll_waiting(node.now) {
                let Some(request) = self.waiting.remove(&(position, id)) else { continue };
                match (verdict, flight) {
                    (Verdict::Send(server), Some(flight)) => self.send(request, server, flight),
                    _ => self.outcomes[request].refused = true,
                }
            }
        }
    }

    fn send(&mut self, request: usize, server: ServerIdx, flight: InFlightId) {
        let need = &self.needs[request].0;
        self.flights.insert(request, flight);
        self.sent_at.insert(request, self.nodes[0].now);
        let engine = self.engines.entry(server).or_default();
        self.outcomes[request].found_there = engine.runs.len();
        engine.runs.push_back(Run {
            request,
            unread: u64::from(need.prompt_tokens),
            tokens_left: need.output_tokens,
            tokens_in_event: 0,
            last_event_at: None,
        });
    }

    fn advance_engines(&mut self) {
        let now = self.nodes[0].now;
        let count = self.nodes.len();
        let mut ended = Vec::new();
        for engine in self.engines.values_mut() {
            if engine.busy_until.is_some_and(|until| until > now) || engine.runs.is_empty() {
                continue;
            }
            ended.extend(engine.step(now, &self.needs, &mut self.outcomes, |request| {
                let dispatcher = &mut self.nodes[request % count].dispatcher;
                dispatcher.record_first_byte(now, self.flights[&request]);
                let after = now - self.sent_at[&request];
                let after_us = after.as_micros() as u32;
                let event = StartEvent::Answered { ticket: request as u32, after_us };
                self.untold.push_back((now + GATHER, event));
            }));
        }
        for request in ended {
            let event = StartEvent::Ended { ticket: request as u32, is_good: true, step_us: None };
            self.untold.push_back((now + GATHER, event));
            if let Some(flight) = self.flights.remove(&request) {
                let position = self.node_of(request);
                self.nodes[position].dispatcher.end_request(flight);
            }
        }
    }
}

impl Engine {
    /// One step: a chunk of prompts, and a token for each run that is read. Returns runs that ended.
    fn step(
        &mut self,
        now: Instant,
        needs: &[(RequestSpec, Instant)],
        outcomes: &mut [Outcome],
        mut answered: impl FnMut(usize),
    ) -> Vec<usize> {
        let mut chunk = CHUNK;
        for run in &mut self.runs {
            let read = run.unread.min(chunk);
            run.unread -= read;
            chunk -= read;
        }
        let took = ms(STEP_MS + (CHUNK - chunk) / READ_PER_MS);
        self.busy_until = Some(now + took);
        let at = now + took;
        let mut ended = Vec::new();
        for run in self.runs.iter_mut().filter(|run| run.unread == 0) {
            run.tokens_left = run.tokens_left.saturating_sub(1);
            run.tokens_in_event += 1;
            if run.tokens_in_event < EVENT_TOKENS && run.tokens_left > 0 {
                continue;
            }
            run.tokens_in_event = 0;
            let outcome = &mut outcomes[run.request];
            match run.last_event_at.replace(at) {
                Some(last) => outcome.longest_pause = outcome.longest_pause.max(at - last),
                None => {
                    outcome.first_event = Some(at - needs[run.request].1);
                    answered(run.request);
                }
            }
            if run.tokens_left == 0 {
                ended.push(run.request);
            }
        }
        self.runs.retain(|run| run.tokens_left > 0);
        ended
    }
}

/// Shares of requests that were in time, and that were served at all.
pub fn shares(outcomes: &[Outcome]) -> (f64, f64) {
    let in_time = |outcome: &&Outcome| {
        outcome.first_event.is_some_and(|time| time <= ms(OBJECTIVE_MS))
            && outcome.longest_pause <= ms(PAUSE_LIMIT_MS)
    };
    let served = outcomes.iter().filter(|outcome| outcome.first_event.is_some()).count();
    let count = outcomes.len() as f64;
    (outcomes.iter().filter(in_time).count() as f64 / count, served as f64 / count)
}
