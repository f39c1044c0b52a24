//! One request, with its answer checked.

use {
    eventsource_stream::Eventsource,
    futures_util::{StreamExt, TryStreamExt},
    glade_http::{BodyExt, Bytes, Full, HttpError, Incoming, Pool, Request, Response},
    std::{io, net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Time allowed for a whole answer.
const TIMEOUT: Duration = Duration::from_secs(60);

/// What one request came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer to this request.
    Whole {
        /// Time until the first token, or until the answer if it isn't streamed.
        first_token: Duration,
    },
    /// A refusal that says that the request wasn't run.
    NotRun {
        /// Its text.
        reason: String,
    },
    /// An error that the system reported.
    Failed {
        /// Its text.
        reason: String,
    },
    /// An answer that was cut, or that belongs to another request.
    Wrong {
        /// What is wrong with it.
        reason: String,
    },
}

fn wrong(reason: impl Into<String>) -> Outcome {
    Outcome::Wrong { reason: reason.into() }
}

/// The text that a stand-in engine gives for one token.
fn token_text(model: &str, position: u32) -> String {
    format!("{model}#{position} ")
}

/// Asks for a chat answer of `tokens` tokens.
pub async fn call_chat(
    pool: &Pool,
    addr: SocketAddr,
    model: &str,
    tokens: u32,
    stream: bool,
    priority: &str,
) -> Outcome {
    let body = serde_json::json!({
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "what is near its date?"}],
    });
    let req = Request::builder()
        .method("POST")
        .uri("/v1/chat/completions")
        .header("host", addr.to_string())
        .header("content-type", "application/json")
        .header("x-priority", priority)
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(req) = req else { return wrong("the request can't be built") };
    let begun = Instant::now();
    let mut connection = match pool.connect(addr).await {
        Ok(connection) => connection,
        Err(err) => return Outcome::NotRun { reason: err.to_string() },
    };
    let head = match connection.send(req, TIMEOUT).await {
        Ok(head) => head,
        Err(err) => {
            pool.remove_idle(addr);
            return failed(&err);
        }
    };
    let status = head.status();
    if !status.is_success() {
        let outcome = refused(head).await;
        pool.release(connection);
        return outcome;
    }
    if stream {
        return check_stream(head, model, tokens, begun).await;
    }
    let outcome = check_whole(head, model, tokens, begun).await;
    pool.release(connection);
    outcome
}

/// Calls a plain service. Returns the status and the body.
///
/// # Errors
///
/// No answer came.
pub async fn call_service(
    pool: &Pool,
    addr: SocketAddr,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Result<(u16, String), HttpError> {
    let mut req = Request::builder().method("POST").uri(path).header("host", addr.to_string());
    if let Some(key) = key {
        req = req.header("idempotency-key", key);
    }
    let req = req
        .body(Full::new(Bytes::from(body.to_owned())))
        .map_err(|err| HttpError::NotConnected { addr, reason: err.to_string() })?;
    let answer = pool.fetch(addr, req, TIMEOUT).await?;
    Ok((answer.status.as_u16(), String::from_utf8_lossy(&answer.body).into_owned()))
}

fn failed(err: &HttpError) -> Outcome {
    Outcome::Failed { reason: err.to_string() }
}

async fn refused(head: Response<Incoming>) -> Outcome {
    let status = head.status();
    let body = match head.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => return wrong(format!("refusal cut: {err}")),
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    let reason = format!("status {status}: {text}");
    let run = serde_json::from_slice::<serde_json::Value>(&body).ok();
    match run.as_ref().and_then(|value| value["error"]["run"].as_str()) {
        Some("no") => Outcome::NotRun { reason },
        _ => Outcome::Failed { reason },
    }
}

async fn check_whole(
    head: Response<Incoming>,
    model: &str,
    tokens: u32,
    begun: Instant,
) -> Outcome {
    let body = match head.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => return wrong(format!("answer cut: {err}")),
    };
    let expected: String = (0..tokens).map(|position| token_text(model, position)).collect();
    let answer = serde_json::from_slice::<serde_json::Value>(&body).unwrap_or_default();
    let content = answer["choices"][0]["message"]["content"].as_str().unwrap_or_default();
    if content != expected {
        return wrong(format!("expected {expected:?}, got {content:?}"));
    }
    Outcome::Whole { first_token: begun.elapsed() }
}

async fn check_stream(
    head: Response<Incoming>,
    model: &str,
    tokens: u32,
    begun: Instant,
) -> Outcome {
    let frames = head.into_body().into_data_stream().map_err(io::Error::other);
    let mut events = frames.boxed().eventsource();
    let mut first_token = None;
    let mut position = 0;
    while let Some(event) = events.next().await {
        let data = match event {
            Ok(event) => event.data,
            Err(err) => return wrong(format!("stream cut: {err}")),
        };
        first_token.get_or_insert_with(|| begun.elapsed());
        if data == "[DONE]" {
            if position != tokens {
                return wrong(format!("ended after {position} of {tokens} tokens"));
            }
            return Outcome::Whole { first_token: first_token.unwrap_or_default() };
        }
        let part = serde_json::from_str::<serde_json::Value>(&data).unwrap_or_default();
        if part["error"].is_object() {
            return Outcome::Failed { reason: data };
        }
        let content = part["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        if content != token_text(model, position) {
            return wrong(format!("token {position} is {content:?}"));
        }
        position += 1;
    }
    wrong("stream ended without its end mark")
}
