//! HTTP/1.1 client connections whose errors distinguish requests that can't have run from requests that
//! may have run.
//!
//! The protocol is implemented by hyper. This crate adds two properties. Errors before any byte of the
//! request was sent are distinguished from errors after it. When a connection stops responding, the
//! idle connections to the same server are dropped too, because whatever lost the state of one
//! connection has often lost the state of all. This crate does not retry requests.

mod connection;
mod error;
mod interim_limit;
mod pool;

pub use {
    crate::{
        connection::Connection,
        error::HttpError,
        pool::{Answer, Pool, read_body},
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
