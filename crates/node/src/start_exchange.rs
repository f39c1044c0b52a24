//! Runs the coordinator of request starts on a node that receives start requests, and sends its
//! replies.
//!
//! The primary core of each data centre coordinates the starts at the engines there. Any core that
//! receives start requests coordinates them, since for a moment two cores may both act as the
//! primary core.

use {
    crate::{peer_message::PeerMessage, peer_network::PeerNetwork},
    glade_catalog::WantedModel,
    glade_dispatch::{
        ClusterView, Coordinator, CoordinatorAction, StartEvent, StartReply, StartRequest,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Shortest time between two passes over waiting requests: the delay from an outcome to the next
/// pass.
const RECHECK_DELAY: Duration = Duration::from_millis(10);
/// Time without a start request after which a node ceases to coordinate.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Results of the coordinator that concern this node.
#[derive(Debug, Default)]
pub(crate) struct StartUpdate {
    /// Replies to this node's own start requests.
    pub(crate) replies: Vec<StartReply>,
    /// Models and adapters that requests wait for and no engine holds.
    pub(crate) missing: Vec<WantedModel>,
}

/// The coordinator, while this node receives start requests.
#[derive(Debug, Default)]
pub(crate) struct StartExchange {
    coordinator: Option<Coordinator>,
    requested_at: Option<Instant>,
    recheck_at: Option<Instant>,
}

impl StartExchange {
    /// Handles start requests of the node whose address for replies is `requester`.
    pub(crate) fn on_requests(
        &mut self,
        now: Instant,
        requester: SocketAddr,
        requests: Vec<StartRequest>,
        view: &ClusterView,
        network: &mut PeerNetwork,
        rng: &mut fastrand::Rng,
    ) -> StartUpdate {
        self.requested_at = Some(now);
        let coordinator = self.coordinator.get_or_insert_with(|| {
            log::info!("coordination_begun");
            let mut coordinator = Coordinator::new();
            coordinator.update_view(now, view);
            coordinator
        });
        let actions: Vec<CoordinatorAction> = requests
            .into_iter()
            .flat_map(|request| coordinator.request_start(now, requester, request, rng.u32(..)))
            .collect();
        execute(now, actions, network)
    }

    /// Handles outcomes of requests, from the node whose address for replies is `requester`.
    pub(crate) fn on_events(
        &mut self,
        now: Instant,
        requester: SocketAddr,
        events: Vec<StartEvent>,
    ) {
        let Some(coordinator) = &mut self.coordinator else { return };
        events.into_iter().for_each(|event| coordinator.on_event(now, requester, event));
        if coordinator.has_waiting() {
            self.recheck_at.get_or_insert(now + RECHECK_DELAY);
        }
    }

    /// Passes the present view of servers to the coordinator.
    pub(crate) fn update_view(&mut self, now: Instant, view: &ClusterView) {
        if let Some(coordinator) = &mut self.coordinator {
            coordinator.update_view(now, view);
        }
    }

    /// When waiting requests are to be reconsidered at the latest.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.recheck_at
    }

    /// Reconsiders waiting requests, and ends the coordinator after [`IDLE_TIMEOUT`].
    pub(crate) fn tick(&mut self, now: Instant, network: &mut PeerNetwork) -> StartUpdate {
        self.recheck_at = None;
        let is_idle =
            self.requested_at.is_some_and(|at| now.saturating_duration_since(at) > IDLE_TIMEOUT);
        if is_idle && self.coordinator.take().is_some() {
            log::info!("coordination_ended");
        }
        let Some(coordinator) = &mut self.coordinator else { return StartUpdate::default() };
        let actions = coordinator.poll(now);
        execute(now, actions, network)
    }
}

/// Sends the replies and forwarded requests that go to other nodes. Returns the results for this
/// node.
fn execute(
    now: Instant,
    actions: Vec<CoordinatorAction>,
    network: &mut PeerNetwork,
) -> StartUpdate {
    let mut update = StartUpdate::default();
    let mut replies: BTreeMap<SocketAddr, Vec<StartReply>> = BTreeMap::new();
    for action in actions {
        match action {
            CoordinatorAction::Reply { to, reply } if to == network.me.peer_addr => {
                update.replies.push(reply)
            }
            CoordinatorAction::Reply { to, reply } => replies.entry(to).or_default().push(reply),
            CoordinatorAction::Forward { data_centre, request } => {
                network.send_to_primary_of(now, &data_centre, &PeerMessage::start_request(request));
            }
            CoordinatorAction::ModelMissing(wanted) => update.missing.push(wanted),
        }
    }
    for (to, replies) in replies {
        network.send(now, to, &PeerMessage::StartReplies(replies));
    }
    update
}
