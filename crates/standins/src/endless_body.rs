//! Bodies of answers that go on until their caller closes the connection.

use {
    bytes::Bytes,
    futures_util::stream,
    poem::{Body, Response},
    std::{io, time::Duration},
    tokio::time::sleep,
};

/// Length of a body that stands for one without end.
const ENDLESS_BYTES: usize = 128 << 20;
/// Bytes of it that are sent at a time.
const ENDLESS_PIECE: &str = "data: 0123456789\n";
/// Repetitions of the piece in one frame.
const ENDLESS_REPETITIONS: usize = 4096;
/// Pause between two frames.
const ENDLESS_PAUSE: Duration = Duration::from_millis(2);

/// `answer` with a body that goes on until its caller closes, and is no answer.
pub(crate) fn with_endless_body(answer: Response) -> Response {
    let frame = Bytes::from(ENDLESS_PIECE.repeat(ENDLESS_REPETITIONS));
    let frames = stream::unfold(0, move |sent| {
        let frame = frame.clone();
        async move {
            sleep(ENDLESS_PAUSE).await;
            let end = io::Error::other("sent enough");
            let frame = if sent < ENDLESS_BYTES { Ok(frame) } else { Err(end) };
            let length = frame.as_ref().map_or(0, Bytes::len);
            Some((frame, sent + length))
        }
    });
    let (mut parts, _) = answer.into_parts();
    parts.headers.remove("content-length");
    Response::from_parts(parts, Body::from_bytes_stream(frames))
}
