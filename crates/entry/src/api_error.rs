//! Errors in the JSON form that OpenAI clients expect.

use {
    poem::{Response, http::StatusCode},
    serde::Serialize,
    std::time::Duration,
};

/// Why a request has no proper answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ApiError {
    /// The request itself is wrong.
    BadRequest { message: String },
    /// No row of that name, or of another kind.
    UnknownModel { model: String },
    /// The body is larger than allowed.
    TooLarge { limit_bytes: usize },
    /// A limit of the row is reached; not run.
    RateLimited { retry_after: Duration },
    /// Not run: no capacity in time, no residence, or this VM takes no work.
    NotRun { message: String, retry_after: Duration },
    /// Not run: there is no memory for the body.
    NoRoom { retry_after: Duration },
    /// This attempt wasn't run; whether an earlier one under the same key was isn't known.
    AttemptNotRun { message: String, retry_after: Duration },
    /// The key was used for another request; not run.
    KeyReused,
    /// Another attempt under the same key is under way or died; this one wasn't run.
    UnderWay { message: String, retry_after: Duration },
    /// It may have run and no answer is known.
    Unknown { message: String },
    /// The backend server answered wrongly or not at all; the work can be asked for again.
    Failed { message: String },
}

#[derive(Serialize)]
struct Body<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    message: &'a str,
    r#type: &'a str,
    code: &'a str,
    /// Whether the request was run, as far as is known: `no`, `not_by_this_attempt`, `unknown` or
    /// `failed`.
    run: &'a str,
}

impl ApiError {
    pub(crate) fn bad_request(message: impl Into<String>) -> Self {
        Self::BadRequest { message: message.into() }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::BadRequest { .. } => StatusCode::BAD_REQUEST,
            Self::UnknownModel { .. } => StatusCode::NOT_FOUND,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::RateLimited { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::NotRun { .. } | Self::NoRoom { .. } | Self::AttemptNotRun { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::UnderWay { .. } => StatusCode::CONFLICT,
            Self::Unknown { .. } | Self::Failed { .. } => StatusCode::BAD_GATEWAY,
        }
    }

    /// Error type, code, and whether the request was run.
    fn labels(&self) -> (&'static str, &'static str, &'static str) {
        match self {
            Self::BadRequest { .. } => ("invalid_request_error", "bad_request", "no"),
            Self::UnknownModel { .. } => ("invalid_request_error", "model_not_found", "no"),
            Self::TooLarge { .. } => ("invalid_request_error", "body_too_large", "no"),
            Self::RateLimited { .. } => ("rate_limit_error", "rate_limited", "no"),
            Self::NotRun { .. } => ("overloaded_error", "not_run", "no"),
            Self::NoRoom { .. } => ("overloaded_error", "memory_short", "no"),
            Self::KeyReused => ("invalid_request_error", "key_reused", "no"),
            Self::AttemptNotRun { .. } => {
                ("overloaded_error", "attempt_not_run", "not_by_this_attempt")
            }
            Self::UnderWay { .. } => ("conflict_error", "under_way", "not_by_this_attempt"),
            Self::Unknown { .. } => ("api_error", "outcome_unknown", "unknown"),
            Self::Failed { .. } => ("api_error", "backend_failed", "failed"),
        }
    }

    fn message(&self) -> String {
        match self {
            Self::UnknownModel { model } => format!("the model {model:?} does not exist"),
            Self::TooLarge { limit_bytes } => format!("the body exceeds {limit_bytes} bytes"),
            Self::RateLimited { .. } => "a limit of this model is reached; not run".to_owned(),
            Self::NoRoom { .. } => "there is no memory for the body at present; not run".to_owned(),
            Self::KeyReused => "this key was used for a different request; not run".to_owned(),
            Self::BadRequest { message }
            | Self::NotRun { message, .. }
            | Self::AttemptNotRun { message, .. }
            | Self::UnderWay { message, .. }
            | Self::Unknown { message }
            | Self::Failed { message } => message.clone(),
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::RateLimited { retry_after }
            | Self::NoRoom { retry_after }
            | Self::NotRun { retry_after, .. }
            | Self::AttemptNotRun { retry_after, .. }
            | Self::UnderWay { retry_after, .. } => Some(*retry_after),
            _ => None,
        }
    }

    /// The JSON body.
    pub(crate) fn to_json(&self) -> String {
        let (r#type, code, run) = self.labels();
        let message = self.message();
        let body = Body { error: Detail { message: &message, r#type, code, run } };
        serde_json::to_string(&body).expect("plain structure")
    }

    /// The whole response.
    pub(crate) fn to_response(&self) -> Response {
        let response = Response::builder().status(self.status()).content_type("application/json");
        let response = match self.retry_after() {
            Some(pause) => {
                response.header("retry-after", pause.as_secs_f64().ceil().max(1.0) as u64)
            }
            None => response,
        };
        // The rest of a body that was refused is discarded with its connection.
        let closes = matches!(self, Self::TooLarge { .. } | Self::NoRoom { .. });
        let response = if closes { response.header("connection", "close") } else { response };
        response.body(self.to_json())
    }
}
