//! Orders to engines around a change of holders, where engines don't check fencing tokens.

use {
    super::*,
    glade_lease::{LeaseAction, LeaseCandidate},
    glade_platform::{Key, MemoryTable, Txn},
    glade_residency::{LeaseTerm, OrderWaits},
    std::time::Instant,
};

/// The platform's limit on alternating holders, see [`LeadershipConfig::alternation_limit`].
const ALTERNATION_LIMIT: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);

/// A node that may send orders while it holds the lease.
struct Candidate {
    lease: LeaseCandidate,
    name: VmId,
    /// The node's calls to the store get no answer.
    is_cut_off: bool,
}

impl Candidate {
    fn new(name: &str, now: Instant) -> Self {
        let duration = ALTERNATION_LIMIT.mul_f64(LEASE_SHARE);
        let config = LeaseConfig {
            holder: VmId::new(name),
            incarnation: Incarnation(1),
            duration,
            renew_every: duration / RENEWALS_PER_LEASE,
            watch_every: duration / RENEWALS_PER_LEASE,
            takeover_delay: Duration::ZERO,
            alternation_limit: ALTERNATION_LIMIT,
        };
        let lease = LeaseCandidate::new(config, now);
        Self { lease, name: VmId::new(name), is_cut_off: false }
    }

    fn step(&mut self, now: Instant, id: u64, store: &mut MemoryTable) {
        let Some(action) = self.lease.tick(now, id) else { return };
        if self.is_cut_off {
            let no_answer = StoreError::Unknown { reason: "no answer".to_owned() };
            match action {
                LeaseAction::Read => self.lease.on_read(now, Err(&no_answer)),
                LeaseAction::Write { .. } => self.lease.on_write(now, Err(&no_answer)),
            }
            return;
        }
        let key = Key::new("lease/orders");
        match action {
            LeaseAction::Read => self.lease.on_read(now, Ok(store.read(&key).as_ref())),
            LeaseAction::Write { expected, row } => {
                let value = serde_json::to_vec(&row).expect("plain structure");
                let answer = store.transact(&Txn::compare_and_set(key, expected, value));
                self.lease.on_write(now, Ok(&answer));
            }
        }
    }

    fn may_send(&self, now: Instant) -> bool {
        let held = self.lease.epoch(now).zip(self.lease.valid_until());
        held.is_some_and(|(fence, valid_until)| {
            let waits = OrderWaits::default();
            LeaseTerm { holder: self.name.clone(), fence, valid_until, waits }.may_send(now)
        })
    }
}

/// Engines of some deployments don't check fencing tokens and accept orders from any node. Whenever
/// the holder is cut off from the store, and for however long, no two nodes send orders at once.
/// Once another node has sent orders, the first holder doesn't send again until
/// [`ALTERNATION_LIMIT`] has passed since its own last order.
#[test]
fn no_two_nodes_send_orders_at_once_whenever_the_holder_is_cut_off() {
    for cut_at_ms in (500..2500).step_by(70) {
        for cut_for_ms in [200, 900, 1900, 2500, 6000] {
            let start = Instant::now();
            let mut store = MemoryTable::default();
            let (mut first, mut second) = (Candidate::new("a", start), Candidate::new("b", start));
            let (mut first_sent_at, mut second_sent) = (None, false);
            for step in 0..1200_u32 {
                let since = STEP * step;
                let now = start + since;
                let cut = cut_at_ms..cut_at_ms + cut_for_ms;
                first.is_cut_off = cut.contains(&(since.as_millis() as u64));
                first.step(now, u64::from(step) * 2, &mut store);
                second.step(now, u64::from(step) * 2 + 1, &mut store);
                let sends = (first.may_send(now), second.may_send(now));
                assert_ne!(sends, (true, true), "cut at {cut_at_ms} for {cut_for_ms}, {since:?}");
                second_sent |= sends.1;
                if sends.0 {
                    let sends_again =
                        second_sent && first_sent_at.is_some_and(|at| now - at < ALTERNATION_LIMIT);
                    assert!(
                        !sends_again,
                        "sends again: cut at {cut_at_ms} for {cut_for_ms}, {since:?}"
                    );
                    first_sent_at = Some(now);
                }
            }
            assert!(first_sent_at.is_some());
        }
    }
}
