//! What is wrong with a backend server.

use {crate::site::earlier_answer::EarlierAnswer, std::time::Duration};

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineFault {
    /// Nothing.
    #[default]
    None,
    /// It closes the connection after this many events, or in place of a whole answer.
    BreaksAfter(u64),
    /// It breaks off new streams after so many events. A request to resume one gets `text` in place of events, with a
    /// proper end.
    SpoilsResumed {
        /// Events of a new stream.
        events: u64,
        /// Text in place of the events of a resumed stream.
        text: &'static str,
    },
    /// It sends this text in place of the events of a stream, with a proper end.
    SendsInstead(&'static str),
    /// It sends nothing for a while after this many events of a stream, or before a whole answer, and then
    /// goes on.
    PausesAfter(u64),
    /// After this many events of a stream it sends a byte now and then, and never a whole event.
    TricklesAfter(u64),
    /// It runs requests and answers nothing.
    Hangs,
    /// It rejects requests without running them.
    Rejects,
    /// It rejects requests without running them or naming them.
    RejectsUnnamed,
    /// It keeps requests in its queue for this long, and then rejects them.
    RejectsAfter(Duration),
    /// It keeps places, and rejects the requests that come for them.
    RejectsReserved,
    /// It keeps places, and rejects the requests that come for them after this long.
    RejectsReservedAfter(Duration),
    /// It lets those who ask for a place wait this long.
    ReservesAfter(Duration),
    /// It says that it leaves from the moment at which it is asked for a place, which it keeps.
    LeavesWhenAsked,
    /// It rejects requests, and says that it wants none for this time.
    Closed(Duration),
    /// It fails every request.
    Fails,
    /// It runs every request and answers with this status.
    FailsAs(u16),
    /// It fails every request, after this long.
    FailsAfter(Duration),
    /// It signs answers with another request's name.
    Crosses,
    /// It ends while it runs the request.
    Crashes,
    /// It writes an earlier answer once more on each connection that it has used before, and runs
    /// requests.
    RepeatsAnswer(EarlierAnswer),
    /// The same on connections on which it gets orders, and not on those of requests.
    RepeatsOrderAnswer(EarlierAnswer),
    /// The same on connections on which it is asked for places.
    RepeatsPlaceAnswer(EarlierAnswer),
}

impl EngineFault {
    /// True if what the server runs may get no whole answer.
    pub fn spoils_runs(self) -> bool {
        match self {
            Self::BreaksAfter(_)
            | Self::SpoilsResumed { .. }
            | Self::SendsInstead(_)
            | Self::TricklesAfter(_)
            | Self::Hangs
            | Self::Fails
            | Self::FailsAs(_)
            | Self::FailsAfter(_)
            | Self::Crosses
            | Self::Crashes
            | Self::RepeatsAnswer(_) => true,
            Self::None
            | Self::PausesAfter(_)
            | Self::Rejects
            | Self::RejectsUnnamed
            | Self::RejectsAfter(_)
            | Self::RejectsReserved
            | Self::RejectsReservedAfter(_)
            | Self::ReservesAfter(_)
            | Self::LeavesWhenAsked
            | Self::Closed(_)
            | Self::RepeatsOrderAnswer(_)
            | Self::RepeatsPlaceAnswer(_) => false,
        }
    }

    /// Time in the queue of a request that is rejected; `None` if it is run.
    pub(crate) fn rejects_after(self, reserved: bool) -> Option<Duration> {
        match self {
            Self::Rejects | Self::RejectsUnnamed | Self::Closed(_) => Some(Duration::ZERO),
            Self::RejectsAfter(time) => Some(time),
            Self::RejectsReserved => reserved.then_some(Duration::ZERO),
            Self::RejectsReservedAfter(time) => reserved.then_some(time),
            Self::None
            | Self::BreaksAfter(_)
            | Self::SpoilsResumed { .. }
            | Self::SendsInstead(_)
            | Self::PausesAfter(_)
            | Self::TricklesAfter(_)
            | Self::Hangs
            | Self::ReservesAfter(_)
            | Self::LeavesWhenAsked
            | Self::Fails
            | Self::FailsAs(_)
            | Self::FailsAfter(_)
            | Self::Crosses
            | Self::Crashes
            | Self::RepeatsAnswer(_)
            | Self::RepeatsOrderAnswer(_)
            | Self::RepeatsPlaceAnswer(_) => None,
        }
    }
}
