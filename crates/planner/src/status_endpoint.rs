//! HTTP endpoint with the health, metrics and status of the planner, for operators' tools.

use {
    arc_swap::ArcSwap,
    glade_control::PlannerStatus,
    glade_observe::Metrics,
    poem::{
        Endpoint, IntoResponse, Request, Response,
        http::{StatusCode, header},
    },
    std::sync::Arc,
};

/// Handles the requests to the planner's HTTP address.
#[derive(Debug)]
pub(crate) struct StatusEndpoint {
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) status: Arc<ArcSwap<PlannerStatus>>,
}

impl Endpoint for StatusEndpoint {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        Ok(match req.uri().path() {
            "/healthz" | "/readyz" => "ok\n".into_response(),
            "/metrics" => self
                .metrics
                .render()
                .with_header(header::CONTENT_TYPE, "text/plain; version=0.0.4")
                .into_response(),
            "/status" => serde_json::to_string(&**self.status.load())
                .expect("the status can be serialized")
                .with_header(header::CONTENT_TYPE, "application/json")
                .into_response(),
            _ => StatusCode::NOT_FOUND.into_response(),
        })
    }
}
