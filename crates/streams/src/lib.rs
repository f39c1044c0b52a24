//! Which software version began a stream, so that it goes on at no other.
//!
//! Nodes report each stream that begins, by the hash of the request that brought its first event, and
//! keep [`StreamRecords`]. A node that gets a request for the rest of a stream looks up its
//! [`StreamOrigin`]: in its own records, then those of other nodes, then in the [`StreamLog`], which the
//! store keeps while a service has several versions. [`OriginLookups`] decides whom to ask and what to
//! conclude. Nothing here does I/O or reads a clock.

mod known_versions;
mod origin_lookups;
mod stream_log;
mod stream_origin;
mod stream_records;
mod version_streams;

pub use crate::{
    known_versions::KnownVersions,
    origin_lookups::{Asker, LookupAction, NodeState, OriginLookups, Place},
    stream_log::{LogWrite, StreamLog},
    stream_origin::{OriginReply, StreamAnswer, StreamOrigin, StreamQuestion},
    stream_records::StreamRecords,
    version_streams::VersionStreams,
};
