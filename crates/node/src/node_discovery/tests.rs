//! Node discovery when many nodes start at once, when a VM restarts, and while the store refuses
//! calls. The tests run in virtual time.

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

/// Rows that the store writes per second. It queues as many again and refuses further writes.
const WRITES_PER_S: usize = 150;

/// A store that refuses writes beyond its rate limit.
#[derive(Debug, Default)]
struct RateLimitedStore {
    table: Mutex<MemoryTable>,
    writes: Mutex<Vec<Instant>>,
    calls: Mutex<usize>,
    /// How many of the next scans are refused.
    refusals: Mutex<usize>,
}

impl RateLimitedStore {
    fn count_call(&self) {
        *self.calls.lock().expect("one thread") += 1;
    }
}

impl TableService for RateLimitedStore {
    async fn transact(&self, txn: &Txn) -> Result<TxnAnswer, StoreError> {
        self.count_call();
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
        self.count_call();
        Ok(self.table.lock().expect("one thread").read(key))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, StoreError> {
        self.count_call();
        let mut refusals = self.refusals.lock().expect("one thread");
        if *refusals > 0 {
            *refusals -= 1;
            return Err(StoreError::NotSent { reason: "status 503".to_owned() });
        }
        Ok(self.table.lock().expect("one thread").scan(prefix))
    }
}

impl ChangeFeed for RateLimitedStore {
    async fn snapshot(&self, table: &str) -> Result<Snapshot, StoreError> {
        let rows = self.scan(&format!("{table}/")).await?;
        Ok(Snapshot { revision: Revision::new(1), rows })
    }

    async fn changes(&self, _: &str, _: Revision, _: Duration) -> Result<Changes, FeedError> {
        Err(FeedError::HistoryLost)
    }
}

/// Starts `nodes` at once. Returns how many nodes each has discovered, in the order in which they
/// finish.
async fn discover_all(
    store: &Rc<RateLimitedStore>,
    nodes: &[PeerInfo],
    is_first_start: bool,
) -> Vec<usize> {
    let (events, mut received) = channel(nodes.len());
    for (seed, me) in (0..).zip(nodes) {
        let discovery = NodeDiscovery {
            store: Rc::clone(store),
            me: me.clone(),
            is_first_start,
            events: events.clone(),
            rng: fastrand::Rng::with_seed(seed),
        };
        tokio::task::spawn_local(discovery.run());
    }
    drop(events);
    let mut found = Vec::new();
    loop {
        match received.try_recv() {
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

fn run_in_virtual_time(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Guards against a first start at which all nodes write their rows at once: 295 VMs did so within
/// 0.3 s, and the store refused every second call.
#[test]
fn a_first_start_of_many_nodes_stays_within_the_rate_limit_of_the_store() {
    run_in_virtual_time(async {
        let (store, nodes) =
            (Rc::new(RateLimitedStore::default()), multi_data_centre_deployment(5, 59));
        let found = discover_all(&store, &nodes, true).await;
        assert_eq!(found.len(), nodes.len());
        assert_eq!(found.last(), Some(&nodes.len()), "the last node finds all nodes");
        assert_eq!(*store.calls.lock().expect("one thread"), 2 * nodes.len());
    });
}

#[test]
fn a_vm_that_starts_again_reads_once_and_writes_nothing() {
    run_in_virtual_time(async {
        let (store, mut nodes) =
            (Rc::new(RateLimitedStore::default()), multi_data_centre_deployment(5, 59));
        discover_all(&store, &nodes, true).await;
        *store.calls.lock().expect("one thread") = 0;
        nodes.iter_mut().for_each(|info| info.incarnation = Incarnation(2));
        let found = discover_all(&store, &nodes, false).await;
        assert!(found.iter().all(|found| *found == nodes.len()));
        assert_eq!(*store.calls.lock().expect("one thread"), nodes.len());
    });
}

#[test]
fn a_vm_whose_address_has_changed_writes_its_row_again() {
    run_in_virtual_time(async {
        let (store, mut nodes) =
            (Rc::new(RateLimitedStore::default()), multi_data_centre_deployment(1, 3));
        discover_all(&store, &nodes, true).await;
        nodes[1].peer_addr.set_port(99);
        assert_eq!(discover_all(&store, &nodes[1..2], false).await, [3]);
        let row = store.read(&Key::new(&format!("{TABLE}/{}", nodes[1].vm))).await;
        let row = row.expect("an answer").expect("a row");
        let info: PeerInfo = serde_json::from_slice(&row.value).expect("a node");
        assert_eq!(info.peer_addr.port(), 99);
    });
}

/// Nodes that start while the store refuses calls must report so, because a core without completed
/// discovery doesn't read the configuration. This happened when all nodes of a deployment were
/// killed while the store refused two calls in three.
#[test]
fn a_node_reports_each_refused_call_of_discovery_at_once() {
    run_in_virtual_time(async {
        let (store, nodes) =
            (Rc::new(RateLimitedStore::default()), multi_data_centre_deployment(1, 3));
        discover_all(&store, &nodes, true).await;
        *store.refusals.lock().expect("one thread") = 2;
        let (events, mut received) = channel(8);
        let (me, rng) = (nodes[0].clone(), fastrand::Rng::with_seed(1));
        let discovery = NodeDiscovery { store, me, is_first_start: false, events, rng };
        tokio::task::spawn_local(discovery.run());
        assert!(matches!(received.recv().await, Some(Event::NodeDiscoveryFailed)));
        assert!(matches!(received.recv().await, Some(Event::NodeDiscoveryFailed)));
        assert!(matches!(received.recv().await, Some(Event::NodesRead(rows)) if rows.len() == 3));
    });
}
