//! A connection to one of the entry's ports, which ends when the budget wants it back.

use {
    crate::accounts::Registration,
    glade_budget::{Account, CallerStream},
    std::{
        fmt, io,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A connection with its account.
pub(crate) struct EntryStream {
    inner: CallerStream,
    account: Account,
    evicted: Pin<Box<dyn Future<Output = ()> + Send>>,
    is_evicted: bool,
    _registration: Registration,
}

impl fmt::Debug for EntryStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryStream").field("inner", &self.inner).finish_non_exhaustive()
    }
}

impl EntryStream {
    pub(crate) fn new(stream: TcpStream, account: Account, registration: Registration) -> Self {
        let watched = account.clone();
        Self {
            inner: CallerStream::new(stream, account.clone()),
            account,
            evicted: Box::pin(async move { watched.evicted().await }),
            is_evicted: false,
            _registration: registration,
        }
    }

    /// True if the connection has to end at once. One in the middle of a body is answered by its reader.
    fn must_end(&mut self, cx: &mut Context<'_>) -> bool {
        if !self.is_evicted {
            self.is_evicted = self.evicted.as_mut().poll(cx).is_ready();
        }
        self.is_evicted && !self.account.is_reading()
    }
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "the connection gave way to others")
}

impl AsyncRead for EntryStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.must_end(cx) {
            return Poll::Ready(Err(ended()));
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for EntryStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        if written.is_pending() && self.must_end(cx) {
            return Poll::Ready(Err(ended()));
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        if written.is_pending() && self.must_end(cx) {
            return Poll::Ready(Err(ended()));
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
