//! Bodies of answers to callers.

use {
    bytes::Bytes,
    glade_budget::{Account, Reservation},
    glade_process::catch_panic,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        convert::Infallible,
        fmt,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::{
        sync::mpsc::{Receiver, Sender, channel},
        task::spawn_local,
    },
};

/// Ends a body early because no server can supply the rest. The caller's connection is closed
/// before the end of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AnswerAborted;

impl fmt::Display for AnswerAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("answer aborted: no server can supply the rest")
    }
}

impl std::error::Error for AnswerAborted {}

impl From<Infallible> for AnswerAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// The full body.
    Complete(Option<Bytes>),
    /// A body that arrives in chunks. It is complete only if the channel ends without an error.
    Chunks(Receiver<Result<Bytes, AnswerAborted>>),
}

impl AnswerBody {
    pub(crate) fn complete(bytes: Bytes) -> Self {
        Self::Complete((!bytes.is_empty()).then_some(bytes))
    }

    /// A body that takes `room` until it has been written.
    pub(crate) fn held(bytes: Bytes, room: Option<Reservation>) -> Self {
        match room {
            Some(room) => Self::complete(Bytes::from_owner(HeldBytes { bytes, _room: room })),
            None => Self::complete(bytes),
        }
    }

    /// Runs `send` in a task that sends the body's chunks, of which `capacity` may wait. If it panics,
    /// the body ends early.
    pub(crate) fn spawn<F>(
        capacity: usize,
        send: impl FnOnce(Sender<Result<Bytes, AnswerAborted>>) -> F,
    ) -> Self
    where
        F: Future<Output = ()> + 'static,
    {
        let (sender, receiver) = channel(capacity);
        let sending = send(sender.clone());
        spawn_local(async move {
            if catch_panic(sending).await.is_err() {
                // Fails only if the caller has left.
                let _ = sender.send(Err(AnswerAborted)).await;
            }
        });
        Self::Chunks(receiver)
    }
}

/// An answer's complete body, which takes room until it has been written.
struct HeldBytes {
    bytes: Bytes,
    _room: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The body of an answer, whose connection counts as idle once it is dropped.
#[derive(Debug)]
pub(crate) struct ServedBody {
    body: AnswerBody,
    account: Account,
}

impl ServedBody {
    pub(crate) fn new(body: AnswerBody, account: Account) -> Self {
        Self { body, account }
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        self.account.enter_idle();
    }
}

impl Body for ServedBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Chunks(chunks) => {
                chunks.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

#[cfg(test)]
mod tests;
