//! Hop-by-hop headers, which concern a single connection.

use hyper::{
    HeaderMap,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
        TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

/// Longest idle time that counts, in seconds.
const KEEP_ALIVE_MAX_S: u64 = 3600;
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that are never forwarded. `Content-Length` is set again for the body that is sent.
const HOP_BY_HOP: [HeaderName; 11] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes hop-by-hop headers, including those named by `Connection`.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Idle time that the peer announced for a connection, in whole seconds, at most
/// [`KEEP_ALIVE_MAX_S`].
pub(crate) fn keep_alive_timeout_s(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let parameter = |part: &str| part.trim().strip_prefix("timeout=")?.trim().parse().ok();
    value.split(',').find_map(parameter).map(|timeout_s: u64| timeout_s.min(KEEP_ALIVE_MAX_S))
}

/// True if the peer closes the connection after this message.
pub(crate) fn has_connection_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
}

#[cfg(test)]
mod tests;
