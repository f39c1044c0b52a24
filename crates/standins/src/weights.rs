//! The weight store: rate-limited, and slower the more is in transit.

use {
    crate::layout::Deployment,
    std::{
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep, sleep_until},
};

/// Time of one base model's load at full speed.
const BASE_LOAD: Duration = Duration::from_millis(400);

/// Shared by all stand-in engines.
#[derive(Debug)]
pub(crate) struct WeightStore {
    deployment: Deployment,
    next_start: Mutex<Instant>,
    bases: AtomicUsize,
    adapters: AtomicUsize,
}

impl WeightStore {
    pub(crate) fn new(deployment: Deployment) -> Self {
        Self {
            deployment,
            next_start: Mutex::new(Instant::now()),
            bases: AtomicUsize::new(0),
            adapters: AtomicUsize::new(0),
        }
    }

    /// Waits as long as a load takes.
    pub(crate) async fn load(&self, is_adapter: bool) {
        if is_adapter {
            let limit = self.deployment.adapters_in_transit();
            let time = Duration::from_millis(self.deployment.adapter_ms());
            transit(&self.adapters, limit, time).await;
            return;
        }
        let (per_s, at_once) = self.deployment.weight_store();
        let start = {
            let mut next = self.next_start.lock().unwrap_or_else(PoisonError::into_inner);
            let start = (*next).max(Instant::now());
            *next = start + Duration::from_secs_f64(1.0 / per_s);
            start
        };
        sleep_until(start).await;
        transit(&self.bases, at_once as usize, BASE_LOAD).await;
    }
}

/// Takes `time` while at most `limit` are in transit, longer in proportion beyond.
async fn transit(count: &AtomicUsize, limit: usize, time: Duration) {
    let in_transit = count.fetch_add(1, Ordering::Relaxed) + 1;
    let crowding = (in_transit as f64 / limit as f64).max(1.0);
    sleep(time.mul_f64(crowding)).await;
    count.fetch_sub(1, Ordering::Relaxed);
}
