//! What a caller's request says about itself.

use {
    crate::{
        api_error::ApiError,
        body::read_within,
        shared::{Counts, Shared},
    },
    glade_budget::Account,
    glade_table::Row,
    glade_types::{ModelName, Priority, RequestId, stable_hash},
    poem::{Request, http::HeaderMap},
    serde::Deserialize,
    std::{borrow::Cow, time::Duration},
};

/// Header that states the priority.
const PRIORITY_HEADER: &str = "x-priority";
/// Header that states the time until the first token is due, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the key of a call that may run at most once.
const KEY_HEADER: &str = "idempotency-key";
/// Longest accepted key, in bytes.
const MAX_KEY_LEN: usize = 256;
/// Longest accepted deadline, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Bytes at the start of a prompt that identify its prefix.
const PREFIX_BYTES: usize = 1024;

/// The parts of a body that routing needs. The rest is passed on unread.
#[derive(Debug, Deserialize)]
struct Peek<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: bool,
}

/// A checked request for a model or adapter.
#[derive(Clone, Debug)]
pub(crate) struct ModelRequest {
    pub(crate) id: RequestId,
    pub(crate) model: ModelName,
    pub(crate) row: Row,
    pub(crate) priority: Priority,
    pub(crate) first_token_within: Duration,
    pub(crate) stream: bool,
    pub(crate) prefix: u64,
    pub(crate) path: String,
    pub(crate) body: bytes::Bytes,
}

impl ModelRequest {
    /// Checks a request.
    pub(crate) fn parse(
        shared: &Shared,
        path: &str,
        headers: &HeaderMap,
        body: bytes::Bytes,
    ) -> Result<Self, ApiError> {
        let peek: Peek<'_> = serde_json::from_slice(&body)
            .map_err(|err| ApiError::bad_request(format!("malformed JSON: {err}")))?;
        let routes = shared.routes.load();
        let row = routes.table.row(&peek.model).filter(|row| row.is_loadable());
        let row = row.ok_or_else(|| ApiError::UnknownModel { model: peek.model.to_string() })?;
        let priority = priority(headers)?.unwrap_or(row.priority);
        let within = deadline(headers)?.unwrap_or(row.targets.first_token);
        let start = &body[..body.len().min(PREFIX_BYTES)];
        Ok(Self {
            id: request_id(shared),
            model: row.name.clone(),
            row: row.clone(),
            priority,
            first_token_within: within,
            stream: peek.stream,
            prefix: stable_hash(start),
            path: path.to_owned(),
            body: body.clone(),
        })
    }
}

/// A fresh identifier, unique over all VMs and their incarnations.
pub(crate) fn request_id(shared: &Shared) -> RequestId {
    let number = shared.next_number();
    RequestId::new(&format!("{}-{:x}-{number:x}", shared.vm(), shared.incarnation.0))
}

/// Reads a body up to the limit of the settings.
pub(crate) async fn read_body(
    shared: &Shared,
    req: &mut Request,
) -> Result<bytes::Bytes, ApiError> {
    let read = read_body_of(req, shared.settings.pacing.body_limit_bytes).await;
    if let Err(ApiError::NoRoom { .. }) = &read {
        Counts::add(&shared.counts.refused);
    }
    read
}

/// Reads a body of at most `limit_bytes`, within the budget.
pub(crate) async fn read_body_of(
    req: &mut Request,
    limit_bytes: usize,
) -> Result<bytes::Bytes, ApiError> {
    let body = req.take_body();
    let account = req.extensions().get::<Account>().expect("each port sets the account");
    read_within(account, req.headers(), body, limit_bytes).await
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ApiError> {
    let value = headers.get(name).map(|value| value.to_str());
    value.transpose().map_err(|_| ApiError::bad_request(format!("header {name} is not text")))
}

/// The priority that the request states.
pub(crate) fn priority(headers: &HeaderMap) -> Result<Option<Priority>, ApiError> {
    let value = text(headers, PRIORITY_HEADER)?;
    value
        .map(|value| {
            value.parse().map_err(|err| {
                ApiError::bad_request(format!("header {PRIORITY_HEADER}: {err}, not {value:?}"))
            })
        })
        .transpose()
}

/// The time that the request allows until its first token.
pub(crate) fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, ApiError> {
    let Some(value) = text(headers, DEADLINE_HEADER)? else { return Ok(None) };
    let ms = value.parse::<u64>().ok().filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    let ms = ms.ok_or_else(|| {
        ApiError::bad_request(format!(
            "header {DEADLINE_HEADER}: {value:?} is not a whole number from 1 to {MAX_DEADLINE_MS}"
        ))
    })?;
    Ok(Some(Duration::from_millis(ms)))
}

/// The key that the request presents.
pub(crate) fn call_key(headers: &HeaderMap) -> Result<Option<&str>, ApiError> {
    let Some(value) = text(headers, KEY_HEADER)? else { return Ok(None) };
    let printable = value.bytes().all(|byte| byte.is_ascii_graphic());
    if value.is_empty() || value.len() > MAX_KEY_LEN || !printable {
        let message =
            format!("header {KEY_HEADER}: must be 1 to {MAX_KEY_LEN} printable characters");
        return Err(ApiError::bad_request(message));
    }
    Ok(Some(value))
}
