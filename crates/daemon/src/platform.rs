//! Clients of the platform for one process.

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

/// Bucket that holds the table's versions.
const BUCKET: &str = "persimmonglade";
/// Period of reads of the VM list.
const LISTING_EVERY: Duration = Duration::from_secs(1);

/// The platform's services.
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
    /// Returns clients; they connect when first used.
    pub fn open(addrs: &PlatformAddrs) -> Arc<Self> {
        Arc::new(Self {
            store: EtcdTable::new(addrs.table_service),
            objects: S3Objects::new(addrs.object_store, BUCKET),
            vm_list: SliceVmList::new(addrs.vm_list),
        })
    }
}

/// The incarnation of a process that starts now: milliseconds of the wall clock. A VM's daemon is
/// restarted far less often than once a millisecond.
pub fn new_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

/// Reads the VM list over and over and hands it to the control thread.
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
                        log::warn!("control thread is behind; VM list dropped");
                    }
                }
                Err(err) => log::debug!("VM list: {err}"),
            }
            sleep(LISTING_EVERY).await;
        }
    });
}
