//! A caller's connection as bytes: reports progress to the budget, and closes so that the caller can read an
//! answer that came before the end of its request.

use {
    crate::account::Account,
    std::{
        fmt, io,
        pin::Pin,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Sleep, sleep},
    },
};

/// Time for which the rest of a request is discarded after its answer. Closing at once would reset the
/// connection, and the caller's machine would discard the answer unread.
const LINGER_TIME: Duration = Duration::from_secs(3);
/// Bytes of the rest of a request that are discarded after its answer, twice the largest usual body.
const LINGER_BYTES_MAX: usize = 8 << 20;
/// Bytes that are discarded at once.
const DISCARD_BYTES: usize = 4 << 10;

/// A caller's connection.
pub struct CallerStream {
    stream: TcpStream,
    account: Account,
    discarded_bytes: usize,
    linger: Option<Pin<Box<Sleep>>>,
}

impl fmt::Debug for CallerStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallerStream").field("stream", &self.stream).finish_non_exhaustive()
    }
}

impl CallerStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, account: Account) -> Self {
        Self { stream, account, discarded_bytes: 0, linger: None }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        self.account.set_write_blocked(written.is_pending());
        if let Poll::Ready(Ok(bytes)) = written {
            self.account.record_progress(*bytes);
        }
    }

    /// Discards the rest of a request, up to the limits.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            self.account.enter_idle();
        }
        let linger = self.linger.get_or_insert_with(|| Box::pin(sleep(LINGER_TIME)));
        if linger.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let mut space = [0; DISCARD_BYTES];
        while self.discarded_bytes < LINGER_BYTES_MAX {
            let mut buf = ReadBuf::new(&mut space);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                break;
            }
            self.discarded_bytes += buf.filled().len();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.account.record_progress(buf.filled().len() - before);
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.account.has_unread_rest() { self.poll_discard(cx) } else { Poll::Ready(Ok(())) }
    }
}
