//! Who else is alive, which table is in force, and how it is edited.
//!
//! * [`Membership`] follows peers and the table: a core without I/O that takes events and returns
//!   actions.
//! * [`TableEdit`] carries one edit through the object store and the table service and settles
//!   commits whose answer was lost; [`run_edit`] drives it over real or fake services.
//!
//! A version of the table is never followed by a lower one. The table travels between peers, so a
//! store outage doesn't keep a VM that starts meanwhile from getting it.

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
