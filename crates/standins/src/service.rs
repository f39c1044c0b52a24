//! A stand-in server of a plain service: records every execution, so that doubles show.

use {
    crate::{endless_body::with_endless_body, faults::FaultSwitch},
    poem::{Endpoint, IntoResponse, Request, Response, http::StatusCode},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// Largest accepted request.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Executions by call, shared by all servers of the service.
#[derive(Debug, Default)]
pub(crate) struct Executions {
    counts: Mutex<BTreeMap<String, u32>>,
}

impl Executions {
    pub(crate) fn snapshot(&self) -> BTreeMap<String, u32> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records one execution and returns how many there have been in all.
    fn record(&self, call: &str) -> usize {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(call.to_owned()).or_default() += 1;
        counts.len()
    }
}

/// One server.
#[derive(Clone, Debug)]
pub(crate) struct ServiceStandIn {
    pub(crate) name: String,
    pub(crate) faults: Arc<FaultSwitch>,
    pub(crate) executions: Arc<Executions>,
}

impl Endpoint for ServiceStandIn {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        if !self.faults.pass().await {
            return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
        }
        let id = req.headers().get("x-request-id").cloned();
        let body = req.take_body().into_bytes_limit(MAX_BODY_BYTES).await?;
        let call = String::from_utf8_lossy(&body).into_owned();
        let number = if req.method() == "POST" { self.executions.record(&call) } else { 0 };
        if self.faults.take(|faults| &mut faults.lost_answers) {
            std::future::pending::<()>().await;
        }
        let answer = serde_json::json!({"server": self.name, "number": number}).to_string();
        let padding = " ".repeat(self.faults.get().answer_bytes.saturating_sub(answer.len()));
        let response = Response::builder().content_type("application/json");
        let response = match id {
            Some(id) => response.header("x-request-id", id),
            None => response,
        };
        let response = response.body(padding + &answer).into_response();
        let response = self.faults.with_status(response);
        if self.faults.get().endless_bodies {
            return Ok(with_endless_body(response));
        }
        Ok(response)
    }
}
