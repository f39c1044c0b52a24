//! A place at another server, kept before the request leaves the one that has it.

use {
    crate::{
        admitted::Admitted,
        dialect::{Dialect, Reservation, ReservationTerms},
        leg::{LegFailure, Reached},
    },
    glade_catalog::Repeat,
    http_body_util::{BodyExt, Limited},
    hyper::StatusCode,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Time allowed for the answer of a server that is asked to keep a place.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a place is kept until the request comes.
const RESERVED_TIME: Duration = Duration::from_millis(500);
/// Largest answer of a server that is asked to keep a place.
const RESERVATION_BYTES_MAX: usize = 4 << 10;

impl<D: Dialect> Reached<D> {
    /// True if the server can keep a place for the request.
    pub(crate) fn can_reserve(&self, admitted: &Admitted) -> bool {
        reservation_max(admitted) > Duration::ZERO
    }

    /// Has the server keep a place for the request, which isn't sent yet.
    ///
    /// # Errors
    ///
    /// It keeps none, or doesn't say so in time.
    pub(crate) async fn reserve(mut self, admitted: &Admitted) -> Result<Self, LegFailure> {
        let place = timeout(RESERVE_TIMEOUT, self.ask_for_place(admitted)).await;
        self.reservation = Some(place.unwrap_or(Err(LegFailure::NotReserved))?);
        let relay = Rc::clone(self.flight.relay());
        if self.connection.ready().await.is_err() {
            self.connection = relay.connect(self.flight.server, Repeat::AtMostOnce).await?;
        }
        relay.log_reserved(admitted, self.flight.server);
        Ok(self)
    }

    async fn ask_for_place(&mut self, admitted: &Admitted) -> Result<Reservation, LegFailure> {
        let (relay, server) = (Rc::clone(self.flight.relay()), self.flight.server);
        let record = Arc::clone(relay.dispatcher.borrow().record(server));
        let need = &admitted.visit.need;
        let req = relay.dialect.reserve(&ReservationTerms {
            server: &record.key.id,
            addr: record.addr,
            tokens: u64::from(need.prompt_tokens) + u64::from(need.output_tokens),
            time: RESERVED_TIME.min(reservation_max(admitted)),
        });
        let answer = self.connection.send(req, RESERVE_TIMEOUT).await;
        let (head, body) = answer.map_err(|_| LegFailure::NotReserved)?.into_parts();
        let marks = relay.dialect.read_answer(&head.headers);
        relay.heed(server, head.status, &marks);
        let is_expected = marks.server.as_ref() == Some(&record.key.id);
        match head.status {
            // One that leaves may end before it has served the request.
            StatusCode::OK if !marks.leaving => {}
            StatusCode::MISDIRECTED_REQUEST if !is_expected => return Err(LegFailure::OtherServer),
            _ => return Err(LegFailure::NotReserved),
        }
        let body = Limited::new(body, RESERVATION_BYTES_MAX).collect().await;
        let body = body.map_err(|_| LegFailure::NotReserved)?.to_bytes();
        relay.dialect.read_reservation(&body).ok_or(LegFailure::NotReserved)
    }
}

/// Longest time for which the servers of the request's service keep a place.
fn reservation_max(admitted: &Admitted) -> Duration {
    admitted.engine_class().map_or(Duration::ZERO, |class| class.reservation_max)
}
