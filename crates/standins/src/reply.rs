//! Answers in JSON.

use {poem::Response, serde::Serialize};

/// An answer with `value` as its body.
pub(crate) fn json(value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("stand-ins only answer plain structures");
    Response::builder().content_type("application/json").body(body)
}
