//! Hedging: when a server is silent for too long, another server is asked to take over the request.
//!
//! A server that sends nothing for long is probably in trouble, but may only be busy with the
//! prefill of other prompts. Its connection is therefore kept open until another server is known to
//! have the request. At a model engine that means that the engine has reserved capacity for the
//! request and hasn't rejected the request immediately after it was sent; at servers that make no
//! reservations, that the answer has begun. Without a reservation, the absence of a rejection
//! proves nothing.
//!
//! Where the settings allow hedges, a request whose first server is only late is hedged the same way,
//! once and much earlier. Being late is no fault, so it counts only against the attempts of the
//! request.

use {
    crate::{
        admitted_request::AdmittedRequest, attempt_failure::AttemptFailure,
        connected_attempt::ConnectedAttempt, dialect::Dialect, relay::Relay, wait_queue::Refused,
    },
    glade_dispatch::{HedgeRefusal, ServerIdx},
    std::{
        cell::Cell,
        pin::{Pin, pin},
        rc::Rc,
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Longest time for which two engines work on the same request. The platform allows 400 ms.
const OVERLAP_MAX: Duration = Duration::from_millis(250);
/// Number of servers that may decline a reservation before the request stays with the silent server
/// for now.
const FAILED_RESERVATIONS_MAX: u32 = 4;

/// An attempt in progress that yields a `T`.
pub(crate) type PendingAnswer<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, AttemptFailure>> + 'a>>;

/// Why other servers are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HedgeCause {
    /// The server has been silent for so long that it is probably in trouble.
    Silent,
    /// The first attempt takes longer than nearly all answers of its kind. The request is sent to one
    /// other server at most.
    Late,
}

/// Result of an attempt, or of those that took over from it.
pub(crate) struct HedgedAnswer<T> {
    /// The server of the last attempt.
    pub(crate) server: ServerIdx,
    pub(crate) outcome: Result<T, AttemptFailure>,
    /// Whether the attempt was already counted as failed because its server was silent for long.
    pub(crate) is_counted: bool,
}

/// Result of asking other servers, which would answer with a `T`, while the server that owes an `S`
/// was silent.
pub(crate) enum HedgeOutcome<'a, S, T> {
    /// The silent server has sent something, or failed.
    SilenceEnded(Result<S, AttemptFailure>),
    /// Another server has reserved capacity for the request, was sent the request, and hasn't
    /// rejected it.
    OtherReserved(ServerIdx, PendingAnswer<'a, T>),
    /// Another server has answered.
    OtherAnswered(ServerIdx, T),
    /// The silent server has failed, while another server may be working on the request.
    SilentFailed(AttemptFailure, ServerIdx, PendingAnswer<'a, T>),
    /// No other server takes the request, for the given reason.
    NoOtherServer(&'static str),
}

impl<D: Dialect> Relay<D> {
    /// Waits for the `answer` of `server`. Whenever the server is silent for too long, asks other
    /// servers, which are sent the request with `send`.
    pub(crate) async fn answer_with_hedging<'a, T>(
        self: &Rc<Self>,
        admitted: &'a AdmittedRequest,
        mut server: ServerIdx,
        mut answer: PendingAnswer<'a, T>,
        send: impl Fn(ConnectedAttempt<D>) -> PendingAnswer<'a, T>,
    ) -> HedgedAnswer<T> {
        let mut is_counted = false;
        // True if the silence was recorded as a failure of the server.
        let mut is_recorded = false;
        let mut hedge_delay = self.hedge_delay(admitted);
        let mut began_at = self.clock.now();
        loop {
            let silence_left = admitted
                .silence_limit()
                .saturating_sub(self.clock.now().saturating_duration_since(began_at));
            let delay = hedge_delay.take().filter(|delay| *delay < silence_left);
            let answered = async {
                tokio::select! {
                    biased;
                    outcome = &mut answer => outcome,
                    _ = self.until_blocked(admitted) => Err(AttemptFailure::Quarantined),
                }
            };
            if let Ok(outcome) = timeout(delay.unwrap_or(silence_left), answered).await {
                return HedgedAnswer { server, outcome, is_counted };
            }
            let outcome = if let Some(delay) = delay {
                if !self.may_hedge(admitted, server, delay) {
                    continue;
                }
                // The server is working on the request, which counts against the route's attempts.
                admitted.add_failed_attempt(server, AttemptFailure::Silent);
                is_counted = true;
                let silence_left = silence_left.saturating_sub(delay);
                let hedge = self.hedge_late(admitted, server, delay, &mut answer, &send);
                let mut hedge = pin!(hedge);
                let outcome = tokio::select! {
                    biased;
                    outcome = &mut hedge => outcome,
                    () = sleep(silence_left) => {
                        self.record_failure(admitted, server, AttemptFailure::Silent);
                        is_recorded = true;
                        hedge.await
                    }
                };
                let is_kept = matches!(
                    outcome,
                    HedgeOutcome::SilenceEnded(_) | HedgeOutcome::NoOtherServer(_)
                );
                if is_kept && !is_recorded {
                    // The first attempt goes on, and counts when it fails.
                    admitted.remove_silent(server);
                    is_counted = false;
                }
                outcome
            } else {
                if !is_counted {
                    self.add_failed_attempt(admitted, server, AttemptFailure::Silent);
                } else if !is_recorded {
                    self.record_failure(admitted, server, AttemptFailure::Silent);
                }
                (is_counted, is_recorded) = (true, true);
                let outcome = self.hedge(admitted, &mut answer, &send, HedgeCause::Silent).await;
                began_at = self.clock.now();
                outcome
            };
            match outcome {
                HedgeOutcome::SilenceEnded(outcome) => {
                    self.log_server_kept(admitted, server, "awake");
                    return HedgedAnswer { server, outcome, is_counted };
                }
                HedgeOutcome::OtherReserved(other, other_answer) => {
                    self.log_server_left(admitted, server, other, "reserved");
                    // Replacing `answer` closes the connection to the silent server.
                    (server, answer, is_counted) = (other, other_answer, false);
                    (is_recorded, began_at) = (false, self.clock.now());
                }
                HedgeOutcome::OtherAnswered(other, answered) => {
                    self.log_server_left(admitted, server, other, "answered");
                    return HedgedAnswer {
                        server: other,
                        outcome: Ok(answered),
                        is_counted: false,
                    };
                }
                HedgeOutcome::SilentFailed(failure, other, other_answer) => {
                    self.record_silent_failure(admitted, server, failure);
                    (server, answer, is_counted) = (other, other_answer, false);
                    (is_recorded, began_at) = (false, self.clock.now());
                }
                HedgeOutcome::NoOtherServer(cause) => self.log_server_kept(admitted, server, cause),
            }
        }
    }

    /// Time after which `admitted`, which has just been sent, is late; `None` if it isn't hedged. Only
    /// the first attempt at a request is, before its answer has begun.
    fn hedge_delay(&self, admitted: &AdmittedRequest) -> Option<Duration> {
        let is_first = admitted.failed_attempts().tried.is_empty();
        if !is_first || !admitted.routed.route.may_retry() || !admitted.may_try_again() {
            return None;
        }
        let spec = &admitted.open_request.spec;
        self.dispatcher.borrow_mut().hedge_delay(self.clock.now(), spec)
    }

    /// True if `admitted`, which is late at `server`, may be hedged now. Takes the permission for it.
    fn may_hedge(&self, admitted: &AdmittedRequest, server: ServerIdx, delay: Duration) -> bool {
        let now = self.clock.now();
        if admitted.answering_for(now, server).is_some() {
            return false;
        }
        let spec = &admitted.open_request.spec;
        let refusal = if self.has_suspected_part(admitted) {
            Some("suspected")
        } else {
            let taken = self.dispatcher.borrow_mut().take_hedge(now, spec, &[server]);
            taken.err().map(HedgeRefusal::name)
        };
        if let Some(cause) = refusal {
            self.metrics.on_hedge_refused(cause);
            log::debug!(
                id = admitted.routed.id.as_str(),
                delay_ms = delay.as_millis() as u64,
                cause = cause;
                "not_hedged"
            );
        }
        refusal.is_none()
    }

    /// Hedges a request that is late at `server`, which owes the answer `late`.
    async fn hedge_late<'a, T>(
        self: &Rc<Self>,
        admitted: &'a AdmittedRequest,
        server: ServerIdx,
        delay: Duration,
        late: &mut PendingAnswer<'a, T>,
        send: impl Fn(ConnectedAttempt<D>) -> PendingAnswer<'a, T>,
    ) -> HedgeOutcome<'a, T, T> {
        let is_sent = Cell::new(false);
        let send_hedge = |connected| {
            is_sent.set(true);
            send(connected)
        };
        let began_at = self.clock.now();
        let outcome = self.hedge(admitted, late, send_hedge, HedgeCause::Late).await;
        let now = self.clock.now();
        let spec = &admitted.open_request.spec;
        let (has_won, name) = match &outcome {
            HedgeOutcome::SilenceEnded(_) => (false, "first_answered"),
            HedgeOutcome::OtherReserved(..) => (true, "reserved"),
            HedgeOutcome::OtherAnswered(..) => (true, "answered"),
            HedgeOutcome::SilentFailed(..) => (true, "first_failed"),
            HedgeOutcome::NoOtherServer(cause) => (false, *cause),
        };
        if matches!(outcome, HedgeOutcome::OtherReserved(..) | HedgeOutcome::OtherAnswered(..)) {
            let time = delay + now.saturating_duration_since(began_at);
            self.dispatcher.borrow_mut().record_overtaken(now, spec, server, time);
        }
        if is_sent.get() {
            self.metrics.on_hedge(has_won);
        } else {
            self.dispatcher.borrow_mut().return_hedge(now, &spec.service);
            self.metrics.on_hedge_refused("not_sent");
        }
        self.log_hedge(admitted, server, delay, name);
        outcome
    }

    /// Asks other servers while a `silent` one may still answer. Each is first asked for a
    /// reservation, if it makes reservations, and then sent the request with `send`.
    pub(crate) async fn hedge<'a, S, T>(
        self: &Rc<Self>,
        admitted: &'a AdmittedRequest,
        mut silent: impl Future<Output = Result<S, AttemptFailure>> + Unpin,
        send: impl Fn(ConnectedAttempt<D>) -> PendingAnswer<'a, T>,
        cause: HedgeCause,
    ) -> HedgeOutcome<'a, S, T> {
        admitted.readmit_unreserved();
        let mut unreserved = 0;
        while unreserved < FAILED_RESERVATIONS_MAX {
            let found = tokio::select! {
                biased;
                result = &mut silent => return HedgeOutcome::SilenceEnded(result),
                found = self.connect_to_next(admitted) => found,
            };
            let (server, connected) = match found {
                Ok(found) => found,
                Err(refused) => return HedgeOutcome::NoOtherServer(refusal_cause(refused)),
            };
            let outcome = match connected {
                Ok(connected) if connected.can_reserve(admitted) => {
                    let reserved = tokio::select! {
                        biased;
                        result = &mut silent => return HedgeOutcome::SilenceEnded(result),
                        reserved = connected.reserve(admitted) => reserved,
                    };
                    match reserved {
                        Ok(connected) => {
                            // A reservation doesn't guarantee that the request is accepted: an
                            // engine that has dropped the model in the meantime, for example,
                            // rejects it immediately.
                            let answer = send(connected);
                            race_attempts(admitted, &mut silent, server, answer, true).await
                        }
                        Err(failure) => Err(failure),
                    }
                }
                Ok(connected) => {
                    race_attempts(admitted, &mut silent, server, send(connected), false).await
                }
                Err(failure) => Err(failure),
            };
            let failure = match outcome {
                Ok(outcome) => return outcome,
                Err(failure) => failure,
            };
            if failure.is_unsent() {
                let service = &admitted.open_request.spec.service;
                self.dispatcher.borrow_mut().return_retry(service);
            }
            unreserved += u32::from(failure == AttemptFailure::NotReserved);
            if cause == HedgeCause::Late && failure == AttemptFailure::Silent {
                // It had only the time of the overlap, in which many prompts aren't prefilled.
                admitted.add_failed_attempt(server, failure);
            } else {
                self.add_failed_attempt(admitted, server, failure);
            }
            if cause == HedgeCause::Late && !failure.is_unsent() {
                return HedgeOutcome::NoOtherServer(failure.name());
            }
        }
        HedgeOutcome::NoOtherServer(AttemptFailure::NotReserved.name())
    }

    /// Chooses another server and connects to it.
    ///
    /// # Errors
    ///
    /// No server was found in time. `None` means that the request may not be tried again.
    pub(crate) async fn connect_to_next(
        self: &Rc<Self>,
        admitted: &AdmittedRequest,
    ) -> Result<(ServerIdx, Result<ConnectedAttempt<D>, AttemptFailure>), Option<Refused>> {
        let attempt = self.next_attempt(admitted).await?;
        let server = attempt.server;
        Ok((server, ConnectedAttempt::open_to_reserve(attempt, admitted).await))
    }
}

/// Waits for the `answer` of `server`, or for the `silent` server if that sends something first.
/// Limits the time for which two engines work on the request.
///
/// # Errors
///
/// `server` has failed, or made no reservation and hasn't answered within [`OVERLAP_MAX`].
async fn race_attempts<'a, S, T>(
    admitted: &AdmittedRequest,
    silent: impl Future<Output = Result<S, AttemptFailure>>,
    server: ServerIdx,
    mut answer: PendingAnswer<'a, T>,
    is_reserved: bool,
) -> Result<HedgeOutcome<'a, S, T>, AttemptFailure> {
    let overlap_max = if admitted.engine_class().is_some() { OVERLAP_MAX } else { Duration::MAX };
    tokio::select! {
        biased;
        result = silent => Ok(match result {
            Ok(silent_answer) => {
                // The other server may have begun to run the request by now.
                admitted.add_failed_attempt(server, AttemptFailure::Silent);
                HedgeOutcome::SilenceEnded(Ok(silent_answer))
            }
            Err(failure) => HedgeOutcome::SilentFailed(failure, server, answer),
        }),
        outcome = &mut answer => outcome.map(|answered| HedgeOutcome::OtherAnswered(server, answered)),
        () = sleep(overlap_max) => if is_reserved {
            Ok(HedgeOutcome::OtherReserved(server, answer))
        } else {
            Err(AttemptFailure::Silent)
        },
    }
}

/// Short name of the reason why no other server takes a request, for logs.
pub(crate) fn refusal_cause(refused: Option<Refused>) -> &'static str {
    refused.map_or("no_attempt_left", |refused| refused.reason.name())
}
