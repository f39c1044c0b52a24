//! Bounds the interim answers (1xx) that a server may send before the final one.
//!
//! hyper reads over interim answers for as long as there are any, without a turn for other tasks of the thread.

use {
    hyper::{Request, ext::on_informational},
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Largest number of interim answers to a request. Those that are read at once may be more.
const INTERIM_ANSWERS_MAX: u32 = 100;

/// Counts the interim answers to the request that is in flight on a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterimCounter(Arc<AtomicU32>);

impl InterimCounter {
    /// Counts the interim answers to `req`, which is about to be sent, instead of those to the request before.
    pub(crate) fn attach<B>(&self, req: &mut Request<B>) {
        self.0.store(0, Ordering::Relaxed);
        let count = Arc::clone(&self.0);
        on_informational(req, move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        });
    }

    fn exceeds_limit(&self) -> bool {
        self.0.load(Ordering::Relaxed) > INTERIM_ANSWERS_MAX
    }
}

/// A connection that can't be read any further once there were too many interim answers.
#[derive(Debug)]
pub(crate) struct InterimLimitedStream {
    stream: TcpStream,
    counter: InterimCounter,
}

impl InterimLimitedStream {
    pub(crate) fn new(stream: TcpStream, counter: InterimCounter) -> Self {
        Self { stream, counter }
    }
}

impl AsyncRead for InterimLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.counter.exceeds_limit() {
            let reason = format!("more than {INTERIM_ANSWERS_MAX} interim answers");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for InterimLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
