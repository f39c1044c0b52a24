//! Reads bodies within the budget. The room that a body takes is free again once nobody holds the body.

use {
    crate::api_error::ApiError,
    bytes::{Bytes, BytesMut},
    futures_util::TryStreamExt,
    glade_budget::{Account, Kind, Reservation, SMALL_BYTES},
    poem::{Body, http::HeaderMap},
    std::time::Duration,
    tokio::time::timeout,
};

/// Longest wait for room. The caller is told to return later rather than held until its deadline.
const ROOM_WAIT_MAX: Duration = Duration::from_secs(5);
/// Body up to which no room is reserved: the connection's own memory covers it.
const UNRESERVED_BYTES_MAX: usize = 4 << 10;
/// Advice to callers whose bodies find no room.
const ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A body with the room that it takes.
#[derive(Debug)]
struct HeldBody {
    bytes: Bytes,
    _room: Reservation,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of at most `limit_bytes`. The rest of one that is refused is neither read nor kept.
pub(crate) async fn read_within(
    account: &Account,
    headers: &HeaderMap,
    body: Body,
    limit_bytes: usize,
) -> Result<Bytes, ApiError> {
    account.set_unread_rest(true);
    account.enter_reading();
    let announced = announced_bytes(headers);
    if announced > limit_bytes as u64 {
        return Err(ApiError::TooLarge { limit_bytes });
    }
    let read = read_frames(account, announced as usize, body, limit_bytes);
    let bytes = tokio::select! {
        biased;
        () = account.evicted() => Err(no_room()),
        read = read => read,
    }?;
    account.set_unread_rest(false);
    account.enter_serving();
    Ok(bytes)
}

/// Length that the head announces; 0 for a body in chunks.
fn announced_bytes(headers: &HeaderMap) -> u64 {
    let value = headers.get("content-length").and_then(|value| value.to_str().ok());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn no_room() -> ApiError {
    ApiError::NoRoom { retry_after: ROOM_RETRY_AFTER }
}

async fn reserve(account: &Account, bytes: usize) -> Result<Reservation, ApiError> {
    timeout(ROOM_WAIT_MAX, account.reserve(Kind::Bodies, bytes)).await.map_err(|_| no_room())
}

/// Reads frame by frame, so that the caller is held back while there is no room. A body in several frames is
/// copied into one buffer at once: many small frames would each keep the read buffer that they arrived in.
async fn read_frames(
    account: &Account,
    announced: usize,
    body: Body,
    limit_bytes: usize,
) -> Result<Bytes, ApiError> {
    let mut room = None;
    if announced > UNRESERVED_BYTES_MAX {
        room = Some(reserve(account, announced).await?);
    }
    let mut frames = std::pin::pin!(body.into_bytes_stream());
    let mut buffer = BytesMut::new();
    let broken = |err| ApiError::bad_request(format!("can't read the body: {err}"));
    while let Some(data) = frames.try_next().await.map_err(broken)? {
        let length = buffer.len() + data.len();
        if length > limit_bytes {
            return Err(ApiError::TooLarge { limit_bytes });
        }
        if length > room.as_ref().map_or(UNRESERVED_BYTES_MAX, Reservation::bytes)
            && announced <= UNRESERVED_BYTES_MAX
        {
            // The length isn't known: room for a small body first, then for the largest.
            let wanted = if length <= SMALL_BYTES { SMALL_BYTES } else { limit_bytes };
            let held = room.as_ref().map_or(0, Reservation::bytes);
            let more = reserve(account, wanted.saturating_sub(held)).await?;
            match &mut room {
                Some(room) => room.merge(more),
                None => room = Some(more),
            }
        }
        if buffer.is_empty() {
            buffer.reserve(announced.max(length));
        }
        buffer.extend_from_slice(&data);
    }
    let bytes = buffer.freeze();
    Ok(match room {
        Some(mut room) => {
            room.shrink_to(bytes.len());
            Bytes::from_owner(HeldBody { bytes, _room: room })
        }
        None => bytes,
    })
}
