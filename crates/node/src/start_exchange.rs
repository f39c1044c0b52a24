//! Questions for starts and their answers, on their way between nodes.
//!
//! The first core of each data centre coordinates the starts at its engines. Any core that is asked does:
//! for a moment two may think that they are first.

use {
    crate::{peer_message::PeerMessage, peer_network::PeerNetwork},
    glade_dispatch::{
        ClusterView, Coordinator, CoordinatorAction, StartEvent, StartReply, StartRequest,
    },
    glade_types::ModelName,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Shortest time between two looks at what waits.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// Time without a question after which a node coordinates no more.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// What is to be done on this node.
#[derive(Debug, Default)]
pub(crate) struct StartUpdate {
    /// Answers to this node's own questions.
    pub(crate) answers: Vec<StartReply>,
    /// Models and adapters that are waited for and nowhere.
    pub(crate) missing: Vec<ModelName>,
}

/// The coordinator, while this node is asked.
#[derive(Debug, Default)]
pub(crate) struct StartExchange {
    coordinator: Option<Coordinator>,
    asked_at: Option<Instant>,
    look_at: Option<Instant>,
}

impl StartExchange {
    /// The node that hears answers at `asker` asks.
    pub(crate) fn on_requests(
        &mut self,
        now: Instant,
        asker: SocketAddr,
        asks: Vec<StartRequest>,
        view: &ClusterView,
        network: &mut PeerNetwork,
        rng: &mut fastrand::Rng,
    ) -> StartUpdate {
        self.asked_at = Some(now);
        let coordinator = self.coordinator.get_or_insert_with(|| {
            log::info!("coordination_begun");
            let mut coordinator = Coordinator::new();
            coordinator.update_view(view);
            coordinator
        });
        let notices: Vec<CoordinatorAction> = asks
            .into_iter()
            .flat_map(|ask| coordinator.request_start(now, asker, ask, rng.u32(..)))
            .collect();
        carry_out(now, notices, network)
    }

    /// The node that hears answers at `asker` tells what became of requests.
    pub(crate) fn on_events(&mut self, now: Instant, asker: SocketAddr, events: Vec<StartEvent>) {
        let Some(coordinator) = &mut self.coordinator else { return };
        events.into_iter().for_each(|event| coordinator.on_event(now, asker, event));
        if coordinator.has_waiting() {
            self.look_at.get_or_insert(now + LOOK_EVERY);
        }
    }

    /// Takes over what is believed of servers.
    pub(crate) fn sync(&mut self, view: &ClusterView) {
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.update_view(view);
        }
    }

    /// When there is something to look at, at the latest.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.look_at
    }

    /// Lets waiting requests go.
    pub(crate) fn tick(&mut self, now: Instant, network: &mut PeerNetwork) -> StartUpdate {
        self.look_at = None;
        let is_idle = self.asked_at.is_some_and(|at| now.saturating_duration_since(at) > IDLE_TIME);
        if is_idle && self.coordinator.take().is_some() {
            log::info!("coordination_ended");
        }
        let Some(coordinator) = &mut self.coordinator else { return StartUpdate::default() };
        let notices = coordinator.poll(now);
        carry_out(now, notices, network)
    }
}

/// Sends what goes to other nodes.
fn carry_out(
    now: Instant,
    notices: Vec<CoordinatorAction>,
    network: &mut PeerNetwork,
) -> StartUpdate {
    let mut news = StartUpdate::default();
    let mut answers: BTreeMap<SocketAddr, Vec<StartReply>> = BTreeMap::new();
    for notice in notices {
        match notice {
            CoordinatorAction::Reply { to, reply: answer } if to == network.me.peers => {
                news.answers.push(answer)
            }
            CoordinatorAction::Reply { to, reply: answer } => {
                answers.entry(to).or_default().push(answer)
            }
            CoordinatorAction::Forward { data_centre, request: ask } => {
                network.send_to_primary_of(
                    now,
                    &data_centre,
                    &PeerMessage::StartRequests(vec![ask]),
                );
            }
            CoordinatorAction::ModelMissing(model) => news.missing.push(model),
        }
    }
    for (to, answers) in answers {
        network.send(now, to, &PeerMessage::StartReplies(answers));
    }
    news
}
