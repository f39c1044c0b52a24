//! Bounded writes to standard error: somebody may hold the other end of its pipe without reading.

use {
    rustix::{
        event::{PollFd, PollFlags, Timespec, poll},
        io::write,
        stdio::stderr,
    },
    std::time::Duration,
};

/// Longest wait for room.
const WAIT_MAX: Duration = Duration::from_millis(100);
/// Bytes that a pipe takes at once when it has room (`PIPE_BUF`).
const PIECE_BYTES: usize = 4096;

/// Writes `text` and a line break to standard error. What standard error doesn't take soon is left out.
pub fn print_error(text: &str) {
    for piece in format!("{text}\n").as_bytes().chunks(PIECE_BYTES) {
        let (fd, timeout) = (stderr(), Timespec::try_from(WAIT_MAX).ok());
        let mut fds = [PollFd::new(&fd, PollFlags::OUT)];
        let has_room = poll(&mut fds, timeout.as_ref()).is_ok_and(|ready| ready > 0);
        if !has_room || write(fd, piece).is_err() {
            return;
        }
    }
}
