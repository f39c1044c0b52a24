//! Starts of many nodes at once, in virtual time.

use {
    super::*,
    crate::fixtures::multi_data_centre_deployment,
    glade_platform::{Changes, FeedError, MemoryTable, Revision, Snapshot, StoredRow, TxnAnswer},
    glade_types::Incarnation,
    std::sync::Mutex,
    tokio::{
        sync::mpsc::channel,
        task::LocalSet,
        time::{Instant, advance},
    },
};

/// Rows that the users' store writes in a second, and refuses to keep waiting beyond that.
const WRITES_PER_S: usize = 150;

/// A store that refuses writes beyond its rate.
#[derive(Debug, Default)]
struct SlowStore {
    table: Mutex<MemoryTable>,
    writes: Mutex<Vec<Instant>>,
    calls: Mutex<usize>,
    /// It refuses this many calls more.
    refusals: Mutex<usize>,
}

impl SlowStore {
    fn count(&self) {
        *self.calls.lock().expect("one thread") += 1;
    }
}

impl TableService for SlowStore {
    async fn transact(&self, txn: &Txn) -> Result<TxnAnswer, StoreError> {
        self.count();
        let mut writes = self.writes.lock().expect("one thread");
        let now = Instant::now();
        writes.retain(|at| now - *at < Duration::from_secs(1));
        if writes.len() >= 2 * WRITES_PER_S {
            return Err(StoreError::NotSent { reason: "status 429".to_owned() });
        }
        writes.push(now);
        Ok(self.table.lock().expect("one thread").transact(txn))
    }

    async fn read(&self, key: &Key) -> Result<Option<StoredRow>, StoreError> {
        self.count();
        Ok(self.table.lock().expect("one thread").read(key))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, StoreError> {
        self.count();
        let mut refusals = self.refusals.lock().expect("one thread");
        if *refusals > 0 {
            *refusals -= 1;
            return Err(StoreError::NotSent { reason: "status 503".to_owned() });
        }
        Ok(self.table.lock().expect("one thread").scan(prefix))
    }
}

impl ChangeFeed for SlowStore {
    async fn snapshot(&self, table: &str) -> Result<Snapshot, StoreError> {
        let rows = self.scan(&format!("{table}/")).await?;
        Ok(Snapshot { revision: Revision::new(1), rows })
    }

    async fn changes(&self, _: &str, _: Revision, _: Duration) -> Result<Changes, FeedError> {
        Err(FeedError::HistoryLost)
    }
}

/// Starts `nodes` at once. Returns how many nodes each has found, in the order of their answers.
async fn start(store: &Rc<SlowStore>, nodes: &[PeerInfo], is_first_start: bool) -> Vec<usize> {
    let (events, mut answers) = channel(nodes.len());
    for (seed, me) in (0..).zip(nodes) {
        let roll_call = NodeDiscovery {
            store: Rc::clone(store),
            me: me.clone(),
            is_first_start,
            events: events.clone(),
            rng: fastrand::Rng::with_seed(seed),
        };
        tokio::task::spawn_local(roll_call.answer());
    }
    drop(events);
    let mut found = Vec::new();
    loop {
        match answers.try_recv() {
            Ok(Event::NodesRead(rows)) => found.push(rows.len()),
            Ok(other) => panic!("{other:?}"),
            Err(tokio::sync::mpsc::error::TryRecvError::Disconnected) => return found,
            Err(tokio::sync::mpsc::error::TryRecvError::Empty) => {
                advance(Duration::from_millis(5)).await;
                tokio::task::yield_now().await;
            }
        }
    }
}

fn play(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// 295 VMs that start together wrote within 0.3 s; the store refused every second call.
#[test]
fn a_first_start_of_many_stays_within_the_stores_rate() {
    play(async {
        let (store, nodes) = (Rc::new(SlowStore::default()), multi_data_centre_deployment(5, 59));
        let found = start(&store, &nodes, true).await;
        assert_eq!(found.len(), nodes.len());
        assert_eq!(found.last(), Some(&nodes.len()), "the last one finds all");
        assert_eq!(*store.calls.lock().expect("one thread"), 2 * nodes.len());
    });
}

#[test]
fn a_vm_that_starts_again_reads_once_and_writes_nothing() {
    play(async {
        let (store, mut nodes) =
            (Rc::new(SlowStore::default()), multi_data_centre_deployment(5, 59));
        start(&store, &nodes, true).await;
        *store.calls.lock().expect("one thread") = 0;
        nodes.iter_mut().for_each(|info| info.incarnation = Incarnation(2));
        let found = start(&store, &nodes, false).await;
        assert!(found.iter().all(|found| *found == nodes.len()));
        assert_eq!(*store.calls.lock().expect("one thread"), nodes.len());
    });
}

#[test]
fn a_vm_at_another_address_writes_its_row_anew() {
    play(async {
        let (store, mut nodes) =
            (Rc::new(SlowStore::default()), multi_data_centre_deployment(1, 3));
        start(&store, &nodes, true).await;
        nodes[1].peers.set_port(99);
        assert_eq!(start(&store, &nodes[1..2], false).await, [3]);
        let row = store.read(&Key::new(&format!("{TABLE}/{}", nodes[1].vm))).await;
        let row = row.expect("an answer").expect("a row");
        let info: PeerInfo = serde_json::from_slice(&row.value).expect("a node");
        assert_eq!(info.peers.port(), 99);
    });
}

/// trouble-3 at Kalahari: all nodes were killed while the store refused two calls in three, and none read
/// the configuration before it had read who the others are.
#[test]
fn a_store_in_trouble_is_told_of_at_once() {
    play(async {
        let (store, nodes) = (Rc::new(SlowStore::default()), multi_data_centre_deployment(1, 3));
        start(&store, &nodes, true).await;
        *store.refusals.lock().expect("one thread") = 2;
        let (events, mut answers) = channel(8);
        let (me, rng) = (nodes[0].clone(), fastrand::Rng::with_seed(1));
        let roll_call = NodeDiscovery { store, me, is_first_start: false, events, rng };
        tokio::task::spawn_local(roll_call.answer());
        assert!(matches!(answers.recv().await, Some(Event::NodeDiscoveryFailed)));
        assert!(matches!(answers.recv().await, Some(Event::NodeDiscoveryFailed)));
        assert!(matches!(answers.recv().await, Some(Event::NodesRead(rows)) if rows.len() == 3));
    });
}
