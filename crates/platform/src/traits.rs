//! The outside interfaces.

use {
    crate::{
        feed::{Changes, FeedError, Snapshot},
        kv::{Key, Revision, StoreError, StoredRow, Txn, TxnAnswer},
        listing::Listing,
    },
    std::{future::Future, time::Duration},
};

/// The platform's transactional table service.
pub trait TableService: Send + Sync {
    /// Applies `txn` if all its conditions hold.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotSent`] proves that nothing was written; after [`StoreError::Unknown`] the
    /// writes may have taken effect, or may do so later.
    fn transact(&self, txn: &Txn) -> impl Future<Output = Result<TxnAnswer, StoreError>> + Send;

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// The service didn't answer.
    fn read(&self, key: &Key)
    -> impl Future<Output = Result<Option<StoredRow>, StoreError>> + Send;

    /// Reads all rows whose key starts with `prefix`, in the order of their keys.
    ///
    /// # Errors
    ///
    /// The service didn't answer.
    fn scan(&self, prefix: &str)
    -> impl Future<Output = Result<Vec<StoredRow>, StoreError>> + Send;
}

/// The platform's object store. Objects of this system are written once and never changed.
pub trait ObjectStore: Send + Sync {
    /// Stores `body` under `key`.
    ///
    /// # Errors
    ///
    /// The store didn't confirm; the object may exist all the same.
    fn put(&self, key: &str, body: &[u8]) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads the object under `key`, or `None` if there is none.
    ///
    /// # Errors
    ///
    /// The store didn't answer.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Vec<u8>>, StoreError>> + Send;
}

/// The platform's list of VMs and backend servers. It lags.
pub trait VmList: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// The list didn't answer.
    fn list(&self) -> impl Future<Output = Result<Listing, StoreError>> + Send;
}

/// A table service that tells its changes as they happen.
pub trait ChangeFeed: Send + Sync {
    /// Reads all rows of `table` as of one moment.
    ///
    /// # Errors
    ///
    /// The service didn't answer.
    fn snapshot(&self, table: &str) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Waits for the first changes of `table` after `after`, for at most `wait`. Nothing may have
    /// changed when it returns.
    ///
    /// # Errors
    ///
    /// [`FeedError::HistoryLost`] if the changes are no longer known; a new snapshot is needed.
    fn changes(
        &self,
        table: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, FeedError>> + Send;
}
