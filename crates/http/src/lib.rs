//! HTTP/1.1 client connections whose failures say whether the request can have run.
//!
//! hyper speaks the protocol. This crate adds what the system depends on: a failure before any byte
//! left is told apart from one after it, and a connection that went silent takes its idle siblings
//! with it, because whatever lost track of one has often lost track of all. It does not retry.

mod connection;
mod error;
mod pool;

pub use {
    crate::{
        connection::Connection,
        error::HttpError,
        pool::{Answer, Pool},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode, Uri,
        body::Incoming,
        header,
        header::{HeaderName, HeaderValue},
    },
};
