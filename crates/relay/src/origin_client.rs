//! Finds out which software version began a stream whose rest a caller wants.

use {
    crate::{
        admitted_request::AdmittedRequest, dialect::Dialect, relay::Relay,
        traffic_update::TrafficUpdate, wait_queue::Refused,
    },
    glade_dispatch::Refusal,
    glade_streams::{OriginReply, StreamOrigin, StreamQuestion},
    glade_types::{RequestId, stable_hash},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
};

/// Time limit for the answer of the control thread, which asks other nodes and the store.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// `Retry-After` for a request whose stream has an origin that those who may know haven't told.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Questions that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct OriginClient {
    next_number: Cell<u32>,
    pending: RefCell<HashMap<u32, oneshot::Sender<OriginReply>>>,
}

impl OriginClient {
    /// Handles the answer to a question.
    pub(crate) fn on_origin(&self, reply: OriginReply) {
        let sender = self.pending.borrow_mut().remove(&reply.number);
        // The caller may have left.
        sender.into_iter().for_each(|sender| {
            let _ = sender.send(reply);
        });
    }

    fn register(&self) -> (u32, oneshot::Receiver<OriginReply>) {
        let number = self.next_number.get();
        self.next_number.set(number.wrapping_add(1));
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(number, sender);
        (number, receiver)
    }
}

/// Removes a question when its request ends.
struct PendingQuestion<'a> {
    client: &'a OriginClient,
    number: u32,
}

impl Drop for PendingQuestion<'_> {
    fn drop(&mut self) {
        self.client.pending.borrow_mut().remove(&self.number);
    }
}

/// Hash by which nodes name the stream that the request `id` began.
fn stream_hash(id: &RequestId) -> u64 {
    // 0 stands for a stream that its caller doesn't name.
    stable_hash(id.as_str().as_bytes()).max(1)
}

impl<D: Dialect> Relay<D> {
    /// If `admitted` takes up a stream, has it run only at the software version that began the stream.
    ///
    /// # Errors
    ///
    /// The version isn't known.
    pub(crate) async fn require_origin(
        &self,
        admitted: &mut AdmittedRequest,
    ) -> Result<(), Refused> {
        let terms = &admitted.routed.terms;
        if !admitted.routed.route.streams || terms.last_event_id.is_none() {
            return Ok(());
        }
        let service = admitted.open_request.spec.service.as_str();
        let question = StreamQuestion {
            stream: terms.resumes.as_ref().map_or(0, stream_hash),
            service: stable_hash(service.as_bytes()) as u32,
        };
        admitted.enter_stage("looking_up_version");
        let (number, receiver) = self.origin_client.register();
        let _pending = PendingQuestion { client: &self.origin_client, number };
        (self.on_update)(TrafficUpdate::OriginWanted(number, question));
        let answer = timeout(ANSWER_TIMEOUT, receiver).await;
        let (origin, version) = match answer {
            Ok(Ok(reply)) => (reply.origin, reply.version),
            Ok(Err(_)) | Err(_) => (StreamOrigin::Unanswered, None),
        };
        self.log_taken_up(admitted, origin);
        if let Some(version) = version {
            admitted.require_version(version);
            return Ok(());
        }
        let retry_after = match origin {
            StreamOrigin::Unanswered => UNANSWERED_RETRY_AFTER,
            _ => Duration::ZERO,
        };
        Err(Refused { reason: Refusal::VersionUnknown, retry_after })
    }

    /// Reports that the stream of `admitted` has an event of the software version with this hash.
    pub(crate) fn report_stream(&self, admitted: &AdmittedRequest, version: u32) {
        let routed = &admitted.routed;
        let stream = stream_hash(routed.terms.resumes.as_ref().unwrap_or(&routed.id));
        (self.on_update)(TrafficUpdate::StreamBegun { stream, version });
    }
}
