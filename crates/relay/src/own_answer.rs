//! Answers that the relay gives itself, without a backend server.

use {
    crate::answer_body::AnswerBody,
    bytes::Bytes,
    hyper::{
        Response, StatusCode,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE},
    },
    std::time::Duration,
};

/// An answer that no backend server gave.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct OwnAnswer {
    pub(crate) status: StatusCode,
    /// Short name of the cause, for the log and the body.
    pub(crate) cause: &'static str,
    /// When the caller may retry. Only set with a status which states that the request hasn't run.
    pub(crate) retry_after: Option<Duration>,
}

impl OwnAnswer {
    /// Rejects a request that the caller must not repeat unchanged.
    pub(crate) fn rejected(status: StatusCode, cause: &'static str) -> Self {
        Self { status, cause, retry_after: None }
    }

    /// The request has not run and won't run.
    pub(crate) fn not_run(cause: &'static str, retry_after: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, cause, retry_after: Some(retry_after) }
    }

    /// The request has not run, and the same request can't be served later either.
    pub(crate) fn never_run(cause: &'static str) -> Self {
        Self { status: StatusCode::SERVICE_UNAVAILABLE, cause, retry_after: None }
    }

    /// The request has not run and won't run, because its team has used up its quota.
    pub(crate) fn over_quota(retry_after: Duration) -> Self {
        let status = StatusCode::TOO_MANY_REQUESTS;
        Self { status, cause: "over_quota", retry_after: Some(retry_after) }
    }

    /// The request may have run, but there is no answer.
    pub(crate) fn unknown(cause: &'static str) -> Self {
        Self { status: StatusCode::BAD_GATEWAY, cause, retry_after: None }
    }

    /// The request may have run, but its time is over.
    pub(crate) fn timed_out() -> Self {
        Self { status: StatusCode::GATEWAY_TIMEOUT, cause: "timed_out", retry_after: None }
    }

    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let body = AnswerBody::complete(Bytes::from_static(self.cause.as_bytes()));
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(wait) = self.retry_after {
            let text = format!("{:.3}", wait.as_secs_f64());
            headers.insert(RETRY_AFTER, HeaderValue::from_str(&text).expect("digits and a point"));
        }
        response
    }
}
