//! Orders around a hand-over, where engines don't check fencing tokens.

use {
    super::*,
    glade_lease::LeaseAction,
    glade_platform::{Key, MemoryTable, Txn},
    std::time::Instant,
};

/// The platform's bound on turns of holders.
const TURN: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);

/// A node that may give orders while its lease says so.
struct Candidate {
    keeper: LeaseCandidate,
    name: VmId,
    /// Its calls to the store get no answer.
    is_cut_off: bool,
}

impl Candidate {
    fn new(name: &str, now: Instant) -> Self {
        let duration = TURN.mul_f64(LEASE_SHARE);
        let config = LeaseConfig {
            holder: VmId::new(name),
            incarnation: Incarnation(1),
            duration,
            renew_every: duration / RENEWALS_PER_LEASE,
            watch_every: duration / RENEWALS_PER_LEASE,
            takeover_delay: Duration::ZERO,
        };
        let keeper = LeaseCandidate::new(config, now);
        Self { keeper, name: VmId::new(name), is_cut_off: false }
    }

    fn step(&mut self, now: Instant, id: u64, store: &mut MemoryTable) {
        let Some(action) = self.keeper.tick(now, id) else { return };
        if self.is_cut_off {
            let lost = StoreError::Unknown { reason: "no answer".to_owned() };
            match action {
                LeaseAction::Read => self.keeper.on_read(now, Err(&lost)),
                LeaseAction::Write { .. } => self.keeper.on_write(now, Err(&lost)),
            }
            return;
        }
        let key = Key::new("lease/orders");
        match action {
            LeaseAction::Read => self.keeper.on_read(now, Ok(store.read(&key).as_ref())),
            LeaseAction::Write { expected, row } => {
                let value = serde_json::to_vec(&row).expect("plain structure");
                let answer = store.transact(&Txn::compare_and_set(key, expected, value));
                self.keeper.on_write(now, Ok(&answer));
            }
        }
    }

    fn may_send(&self, now: Instant) -> bool {
        let held = self.keeper.epoch(now).zip(self.keeper.valid_until());
        held.is_some_and(|(fence, valid_until)| {
            LeaseTerm { holder: self.name.clone(), fence, valid_until }.may_send(now)
        })
    }
}

/// further/ has engines that take orders from anybody: whenever the holder is cut off from the store, and
/// for however long, no two nodes send orders at once, and the first doesn't send again within the bound.
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
                    let returns = second_sent && first_sent_at.is_some_and(|at| now - at < TURN);
                    assert!(!returns, "turns: cut at {cut_at_ms} for {cut_for_ms}, {since:?}");
                    first_sent_at = Some(now);
                }
            }
            assert!(first_sent_at.is_some());
        }
    }
}
