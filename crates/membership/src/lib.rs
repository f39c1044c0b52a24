//! Peer liveness, distribution of the operators' table, and edits of that table.
//!
//! * [`Membership`] tracks which peers are alive and which version of the table is active. It does
//!   no I/O: it takes events and returns actions.
//! * [`TableEdit`] commits one edit to the object store and the table service, and resolves commits
//!   whose answer was lost. It does no I/O either; [`run_edit`] runs it on real or fake services.
//!
//! A process never replaces its active table by a lower version. Peers send the table to each
//! other, so a VM that starts during a store outage still gets it.

mod membership;
mod peer;
#[cfg(feature = "sabotage")]
pub mod sabotage;
mod table_edit;
mod table_head;

pub use crate::{
    membership::{Action, Event, Membership, MembershipConfig},
    peer::PeerStatus,
    table_edit::{EditOutcome, EditRequest, EditStep, TableEdit, run_edit},
    table_head::{
        HEAD_KEY, HISTORY_PREFIX, HistoryRow, TableHead, history_key, load_table, read_head,
    },
};
