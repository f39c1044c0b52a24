//! Faults that can be switched on for one stand-in.

use {
    poem::{Response, http::StatusCode},
    serde::{Deserialize, Serialize},
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// What a stand-in does wrong. The default is nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers every request with status 503.
    pub down: bool,
    /// Waits this long before every answer, in milliseconds.
    pub slow_ms: u64,
    /// Takes requests and never answers.
    pub silent: bool,
    /// Carries out this many further requests without answering them.
    pub lost_answers: u32,
    /// Engines: drops this many further orders without carrying them out or answering.
    pub lost_orders: u32,
    /// Engines: carries out orders this much later, in milliseconds.
    pub late_orders_ms: u64,
    /// Engines: carries out every order twice.
    pub doubled_orders: bool,
    /// Engines: answers this many further requests under another request's identifier.
    pub crossed_answers: u32,
    /// Engines: cuts this many further streams after their third part.
    pub cut_streams: u32,
    /// Engines: lets this many further streams go silent after their third part.
    pub silent_streams: u32,
    /// Engines: lets this many further streams pause for three seconds after their third part.
    pub paused_streams: u32,
    /// Engines: refuses this many further requests that go on after an event.
    pub refused_resumes: u32,
    /// Engines: answers nothing to this many further requests that go on after an event.
    pub unanswered_resumes: u32,
    /// Engines and plain services: bodies of all answers have no end.
    pub endless_bodies: bool,
    /// Plain services: least length of an answer.
    pub answer_bytes: usize,
    /// Engines and plain services: status of all answers, in place of their own.
    pub status: Option<u16>,
    /// Engines and plain services: listed as leaving.
    pub leaving: bool,
}

/// The present faults of one stand-in.
#[derive(Debug, Default)]
pub(crate) struct FaultSwitch {
    faults: Mutex<Faults>,
}

impl FaultSwitch {
    pub(crate) fn get(&self) -> Faults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    /// Uses up one of a counted fault; true if there was one left.
    pub(crate) fn take(&self, counter: fn(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let left = counter(&mut faults);
        let taken = *left > 0;
        *left = left.saturating_sub(1);
        taken
    }

    /// `answer` with the status that the faults give it.
    pub(crate) fn with_status(&self, mut answer: Response) -> Response {
        if let Some(status) = self.get().status.and_then(|status| StatusCode::from_u16(status).ok())
        {
            answer.set_status(status);
        }
        answer
    }

    /// Waits as the faults say; false if the stand-in is down.
    pub(crate) async fn pass(&self) -> bool {
        let faults = self.get();
        if faults.silent {
            std::future::pending::<()>().await;
        }
        sleep(Duration::from_millis(faults.slow_ms)).await;
        !faults.down
    }
}
