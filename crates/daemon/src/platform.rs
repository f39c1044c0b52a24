//! Clients of the platform's services for one daemon: table service, object store and VM list.

use {
    glade_membership::Event,
    glade_platform::{EtcdTable, S3Objects, SliceVmList, VmList},
    glade_settings::PlatformAddrs,
    glade_types::Incarnation,
    std::{
        sync::{Arc, mpsc::SyncSender},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{runtime::Handle, time::sleep},
};

/// Bucket of the object store that holds the versions of the operators' table.
const TABLE_BUCKET: &str = "persimmonglade";
/// Pause between two reads of the VM list.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Clients of the platform's services.
#[derive(Debug)]
pub struct Platform {
    /// The table service.
    pub store: EtcdTable,
    /// The object store.
    pub objects: S3Objects,
    /// The VM list.
    pub vm_list: SliceVmList,
}

impl Platform {
    /// Returns clients for the given addresses. Each connects when first used.
    pub fn open(addrs: &PlatformAddrs) -> Arc<Self> {
        Arc::new(Self {
            store: EtcdTable::new(addrs.table_service),
            objects: S3Objects::new(addrs.object_store, TABLE_BUCKET),
            vm_list: SliceVmList::new(addrs.vm_list),
        })
    }
}

/// Returns the incarnation of a process that starts now: the wall clock in milliseconds. This is
/// unique because a VM's daemon is restarted far less often than once a millisecond.
pub fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// Reads the VM list periodically and queues each result for the control thread. A result is
/// dropped when the queue is full; the next read replaces it.
pub fn spawn_vm_list_poll<E>(runtime: &Handle, platform: &Arc<Platform>, events: &SyncSender<E>)
where
    E: From<Event> + Send + 'static,
{
    let (platform, events) = (Arc::clone(platform), events.clone());
    runtime.spawn(async move {
        loop {
            match platform.vm_list.list().await {
                Ok(listing) => {
                    if events.try_send(Event::Listing(listing).into()).is_err() {
                        log::warn!("control thread queue is full or closed; dropping VM list");
                    }
                }
                Err(err) => log::debug!("cannot read the VM list: {err}"),
            }
            sleep(VM_LIST_POLL_INTERVAL).await;
        }
    });
}
