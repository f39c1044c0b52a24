//! The platform's services as interfaces, with one client for each and one memory table.
//!
//! * The table service is spoken to by the JSON form of the etcd v3 key-value API: transactions
//!   that compare modification revisions.
//! * The object store is spoken to by the plain `GET` and `PUT` of the S3 REST API.
//! * The VM list is read as Kubernetes `EndpointSlice` objects, which carry zone, readiness and
//!   termination.
//!
//! The interfaces return futures; the decision cores don't use them but describe the operations
//! they want as [`Txn`] values. [`MemoryTable`] applies such values at once, for stand-ins and
//! tests.

mod client;
mod feed;
mod kv;
mod listing;
mod memory;
mod traits;

pub use crate::{
    client::{EtcdTable, S3Objects, SliceVmList, etcd_json},
    feed::{Change, Changes, FeedError, Snapshot},
    kv::{Condition, Era, Key, Revision, StoreError, StoredRow, Txn, TxnAnswer, Write},
    listing::{BackendKind, BackendRecord, Listing, VmRecord, slices},
    memory::MemoryTable,
    traits::{ChangeFeed, ObjectStore, TableService, VmList},
};
