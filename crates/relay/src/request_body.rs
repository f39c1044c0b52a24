//! Reads the bodies of callers' requests within the budget.

use {
    crate::{drain::RETRY_ELSEWHERE_AFTER, own_answer::OwnAnswer},
    bytes::{Bytes, BytesMut},
    glade_budget::{Account, Kind, Reservation, SMALL_BYTES},
    http_body_util::BodyExt,
    hyper::{
        StatusCode,
        body::{Body, Incoming},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// Longest wait for room. The caller is told to return later rather than held until its deadline.
const ROOM_WAIT_MAX: Duration = Duration::from_secs(5);
/// Body up to which no room is reserved: the connection's own memory covers it.
const UNRESERVED_BYTES_MAX: usize = 4 << 10;

/// A request's body, and the room that it takes.
#[derive(Debug, Default)]
pub(crate) struct RequestBody {
    pub(crate) bytes: Bytes,
    /// Held until the request has ended.
    _room: Option<Reservation>,
}

/// Limits on a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Largest body.
    pub(crate) bytes_max: usize,
    /// Time left for the whole body.
    pub(crate) within: Duration,
    /// Longest time without any byte.
    pub(crate) stall_timeout: Duration,
}

impl RequestBody {
    /// Reads a body. The rest of one that is refused is neither read nor kept.
    pub(crate) async fn read(
        body: Incoming,
        limits: BodyLimits,
        account: &Account,
    ) -> Result<Self, OwnAnswer> {
        let announced = body.size_hint().lower();
        if announced > limits.bytes_max as u64 {
            return Err(too_large());
        }
        let read = timeout(limits.within, read_frames(body, announced as usize, limits, account));
        tokio::select! {
            biased;
            () = account.evicted() => Err(no_room()),
            read = read => read.unwrap_or_else(|_| {
                Err(OwnAnswer::rejected(StatusCode::REQUEST_TIMEOUT, "body_late"))
            }),
        }
    }
}

fn too_large() -> OwnAnswer {
    OwnAnswer::rejected(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large")
}

fn no_room() -> OwnAnswer {
    OwnAnswer::not_run("memory_short", RETRY_ELSEWHERE_AFTER)
}

async fn reserve(account: &Account, bytes: usize) -> Result<Reservation, OwnAnswer> {
    timeout(ROOM_WAIT_MAX, account.reserve(Kind::Bodies, bytes)).await.map_err(|_| no_room())
}

/// Reads frame by frame, so that the caller is held back while there is no room. A body in several frames is
/// copied into one buffer at once: many small frames would each keep the read buffer that they arrived in.
async fn read_frames(
    mut body: Incoming,
    announced: usize,
    limits: BodyLimits,
    account: &Account,
) -> Result<RequestBody, OwnAnswer> {
    let mut room = None;
    if announced > UNRESERVED_BYTES_MAX {
        room = Some(reserve(account, announced).await?);
    }
    let mut first = Bytes::new();
    let mut buffer = BytesMut::new();
    loop {
        let frame = timeout(limits.stall_timeout, body.frame()).await;
        let frame =
            frame.map_err(|_| OwnAnswer::rejected(StatusCode::REQUEST_TIMEOUT, "body_stalled"))?;
        let Some(frame) = frame else { break };
        let frame =
            frame.map_err(|_| OwnAnswer::rejected(StatusCode::BAD_REQUEST, "body_broken"))?;
        // Trailers aren't passed on.
        let Ok(data) = frame.into_data() else { continue };
        let length = first.len() + buffer.len() + data.len();
        if length > limits.bytes_max {
            return Err(too_large());
        }
        if first.is_empty() && buffer.is_empty() {
            first = data;
            continue;
        }
        if length > room.as_ref().map_or(UNRESERVED_BYTES_MAX, Reservation::bytes)
            && announced <= UNRESERVED_BYTES_MAX
        {
            // The length isn't known: room for a small body first, then for the largest.
            let wanted = if length <= SMALL_BYTES { SMALL_BYTES } else { limits.bytes_max };
            let held = room.as_ref().map_or(0, Reservation::bytes);
            let more = reserve(account, wanted.saturating_sub(held)).await?;
            match &mut room {
                Some(room) => room.merge(more),
                None => room = Some(more),
            }
        }
        if buffer.is_empty() {
            buffer.reserve(announced.max(length));
            buffer.extend_from_slice(&std::mem::take(&mut first));
        }
        buffer.extend_from_slice(&data);
    }
    let bytes = if buffer.is_empty() { first } else { buffer.freeze() };
    if let Some(room) = &mut room {
        room.shrink_to(bytes.len());
    }
    Ok(RequestBody { bytes, _room: room })
}
