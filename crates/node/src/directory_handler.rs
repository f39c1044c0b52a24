//! Answers the platform's readiness checks, and service discovery requests of callers.

use {
    crate::{
        lifecycle::{Lifecycle, LifecycleStage},
        published_state::PublishedState,
        status_page::{PageResponse, empty_response},
    },
    bytes::Bytes,
    glade_adapter::directory,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        header::{CONNECTION, CONTENT_TYPE, HeaderValue},
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc},
};

/// Number of addresses in this data centre from which on an answer leaves out those in other data
/// centres.
const LOCAL_ADDRESSES_MIN: usize = 2;
/// Largest number of addresses in an answer.
const ADDRESSES_MAX: usize = 64;

/// HTTP handler for readiness and service discovery.
#[derive(Debug)]
pub(crate) struct DirectoryHandler {
    pub(crate) lifecycle: Rc<Lifecycle>,
    pub(crate) published: PublishedState,
    /// Time to live of a service discovery answer, in seconds.
    pub(crate) ttl_s: Cell<u64>,
}

impl DirectoryHandler {
    /// The answer to a request.
    pub(crate) fn respond(&self, req: &Request<Incoming>) -> PageResponse {
        match req.uri().path() {
            directory::READY_PATH => self.readiness(),
            directory::RESOLVE_PATH => self.resolve(),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Addresses for callers: only those in this data centre if several nodes serve there, so that
    /// the loss of one node doesn't leave its callers without an address.
    fn endpoints(&self) -> Vec<SocketAddr> {
        let endpoints = self.published.endpoints.load();
        let mut addrs = endpoints.same_data_centre.clone();
        if addrs.len() < LOCAL_ADDRESSES_MIN {
            addrs.extend(&endpoints.other_data_centres);
        }
        addrs.truncate(ADDRESSES_MAX);
        addrs
    }

    fn readiness(&self) -> PageResponse {
        match self.lifecycle.stage() {
            LifecycleStage::Serving => empty_response(StatusCode::OK),
            LifecycleStage::Starting | LifecycleStage::Draining => {
                empty_response(StatusCode::SERVICE_UNAVAILABLE)
            }
        }
    }

    fn resolve(&self) -> PageResponse {
        if self.lifecycle.stage() != LifecycleStage::Serving {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            return response;
        }
        let body = directory::encode_resolve_answer(&self.endpoints(), self.ttl_s.get());
        let mut response = Response::new(Full::new(Bytes::from(body)));
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}
