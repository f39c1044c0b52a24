//! Decides when a candidate reads, renews and takes over a lease.

use {
    crate::{
        earlier_process::EarlierProcess,
        lease_row::LeaseRow,
        state::{Held, Watching},
    },
    glade_platform::{Era, Revision, StoreError, StoredRow, TxnAnswer},
    glade_types::{Incarnation, VmId},
    std::time::{Duration, Instant},
};

/// Watching candidates wait for the lease's duration plus the duration divided by this, because
/// clocks run at different rates.
const DRIFT_MARGIN_DIVISOR: u32 = 20;

/// Identity of the candidate and times of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// VM of the candidate.
    pub holder: VmId,
    /// Incarnation of the candidate's daemon.
    pub incarnation: Incarnation,
    /// Duration of the lease from each renewal.
    pub duration: Duration,
    /// Period of renewals.
    pub renew_every: Duration,
    /// Period of reads while another candidate holds the lease.
    pub watch_every: Duration,
    /// Extra wait before a takeover, longer for less preferred candidates.
    pub takeover_delay: Duration,
    /// Time within which a VM must not act, another one act after it, and then the first one again.
    pub alternation_limit: Duration,
}

/// Operation on the lease's row that the caller has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the row and call [`LeaseCandidate::on_read`].
    Read,
    /// Write the row if its revision is `expected`, and call [`LeaseCandidate::on_write`].
    Write {
        /// Expected revision.
        expected: Revision,
        /// Content to write.
        row: LeaseRow,
    },
}

#[derive(Clone, Debug)]
enum State {
    Watching(Watching),
    Held(Held),
}

/// A write that was sent on top of the present revision.
#[derive(Clone, Debug)]
struct Attempt {
    row: LeaseRow,
    sent_at: Instant,
}

/// One candidate for one lease. At most one operation is pending at a time.
#[derive(Clone, Debug)]
pub struct LeaseCandidate {
    config: LeaseConfig,
    state: State,
    /// Writes on top of the present revision of which it is unknown whether they were made.
    attempts: Vec<Attempt>,
    operation_pending: bool,
    read_required: bool,
    next_operation_at: Instant,
    /// Revision of a renewal that the holder itself has reported, and when the report arrived.
    reported_renewal: Option<(Revision, Instant)>,
    /// Latest epoch whose holder has reported that it no longer acts.
    resigned_epoch: u64,
    /// Latest epoch that a row or a holder has named. A row that another writer has overwritten
    /// doesn't show it.
    latest_epoch: u64,
    /// Latest known era of the store; `None` until the store has answered.
    era: Option<Era>,
    /// When the lease term that a new era of the store has cut short would have ended. Until then
    /// nobody else can have taken over the lease.
    lost_term_until: Option<Instant>,
    /// When this candidate learnt that the store was restored; `None` if that has not happened in
    /// its lifetime.
    restored_at: Option<Instant>,
    /// Set when this candidate has given up the lease for good.
    is_releasing: bool,
    /// Latest epoch that this candidate has resigned. Others may have taken over since, even if a
    /// renewal of that epoch turns out to have been written.
    own_resigned_epoch: u64,
    started_at: Instant,
    /// Number of acquisitions before which another VM may have held the lease.
    takeovers: u32,
    /// This candidate has held the lease.
    has_held: bool,
    earlier_process: EarlierProcess,
}

impl LeaseCandidate {
    /// Returns a candidate that has not read the row yet.
    pub fn new(config: LeaseConfig, now: Instant) -> Self {
        let watching = Watching { revision: Revision::ABSENT, row: None, seen_at: now };
        Self {
            config,
            state: State::Watching(watching),
            attempts: Vec::new(),
            operation_pending: false,
            read_required: true,
            next_operation_at: now,
            reported_renewal: None,
            resigned_epoch: 0,
            latest_epoch: 0,
            era: None,
            lost_term_until: None,
            restored_at: None,
            is_releasing: false,
            own_resigned_epoch: 0,
            started_at: now,
            takeovers: 0,
            has_held: false,
            earlier_process: EarlierProcess::NoTerm,
        }
    }

    /// The store is in `era`. Writes of earlier eras no longer count: a lease term ends at once,
    /// and the row is read again.
    pub fn on_era(&mut self, now: Instant, era: Era) {
        let Some(known) = self.era.replace(era.max(self.era())) else { return };
        if era <= known {
            return;
        }
        self.restored_at = Some(now);
        self.attempts.clear();
        self.read_required = true;
        self.next_operation_at = now;
        self.lost_term_until = self.valid_until().filter(|until| now < *until);
        let watching = Watching { revision: Revision::ABSENT, row: None, seen_at: now };
        self.state = State::Watching(watching);
    }

    /// Latest known era of the store.
    fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// The holder reports that its latest renewal has `revision`. Its lease counts from before the
    /// report, so it ends no later than a lease that begins now.
    pub fn on_renewal_reported(&mut self, now: Instant, revision: Revision) {
        self.on_era(now, revision.era);
        if self.reported_renewal.is_none_or(|(known, _)| revision > known) {
            self.reported_renewal = Some((revision, now));
        }
    }

    /// A holder reports that it holds the lease with `epoch`.
    pub fn on_epoch_reported(&mut self, epoch: u64) {
        self.latest_epoch = self.latest_epoch.max(epoch);
    }

    /// The holder of `epoch` reports that it no longer acts, although the row still names it.
    pub fn on_resigned(&mut self, now: Instant, epoch: u64) {
        if epoch > self.resigned_epoch {
            self.resigned_epoch = epoch;
            self.read_required = true;
            self.next_operation_at = now;
        }
    }

    /// Stops acting on the lease without a write to the store. Returns the epoch that has to be
    /// reported to the other candidates.
    pub fn resign(&mut self, now: Instant) -> Option<u64> {
        let State::Held(held) = &self.state else { return None };
        let epoch = held.row.epoch;
        self.own_resigned_epoch = self.own_resigned_epoch.max(epoch);
        let lost = held.clone().lost(held.revision, Some(held.row.clone()), now);
        self.state = State::Watching(lost);
        self.read_required = true;
        Some(epoch)
    }

    /// Makes the next tick read the row.
    pub fn read_now(&mut self, now: Instant) {
        self.read_required = true;
        self.next_operation_at = now;
    }

    /// Makes the next operation due now.
    pub fn retry_now(&mut self, now: Instant) {
        self.next_operation_at = self.next_operation_at.min(now);
    }

    /// Keeps the lease until `until` without a write to the store. The caller must ensure that
    /// nobody else can take it over, or that a new holder is protected from this one in another
    /// way.
    pub fn extend(&mut self, until: Instant) {
        if let State::Held(held) = &mut self.state {
            held.valid_until = held.valid_until.max(until);
        }
    }

    /// Revision of the latest renewal, if this candidate holds the lease.
    pub fn revision(&self) -> Option<Revision> {
        match &self.state {
            State::Held(held) => Some(held.revision),
            State::Watching(_) => None,
        }
    }

    /// Changes the extra wait before a takeover when the preference order of the candidates
    /// changes.
    pub fn set_takeover_delay(&mut self, delay: Duration) {
        self.config.takeover_delay = delay;
    }

    /// Epoch of the lease if this candidate may act on it at `now`.
    pub fn epoch(&self, now: Instant) -> Option<u64> {
        match &self.state {
            State::Held(held) if now < held.valid_until => Some(held.row.epoch),
            State::Held(_) | State::Watching(_) => None,
        }
    }

    /// Time after which this candidate must not act on the lease; `None` if it does not hold it.
    pub fn valid_until(&self) -> Option<Instant> {
        match &self.state {
            State::Held(held) => Some(held.valid_until),
            State::Watching(_) => None,
        }
    }

    /// Holder named by the row when last seen.
    pub fn holder(&self) -> Option<&VmId> {
        match &self.state {
            State::Held(held) => Some(&held.row.holder),
            State::Watching(watching) => watching.row.as_ref().map(|row| &row.holder),
        }
    }

    /// Number of acquisitions before which another VM may have held the lease. Whatever this
    /// candidate did before the latest of them counts towards the alternation limit.
    pub fn takeovers(&self) -> u32 {
        self.takeovers
    }

    /// What earlier processes of this VM may have done with the lease before the terms of this one.
    pub fn earlier_process(&self) -> EarlierProcess {
        self.earlier_process
    }

    /// When this candidate began. Earlier processes of this VM had ended by then.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// VMs that the row names as recent holders. Others should precede them in the order of
    /// succession, because they need not wait before they act.
    pub fn recent_holders(&self) -> impl Iterator<Item = &VmId> {
        let row = match &self.state {
            State::Held(held) => Some(&held.row),
            State::Watching(watching) => watching.row.as_ref(),
        };
        row.into_iter().flat_map(|row| row.predecessors.iter().flatten().chain([&row.holder]))
    }

    /// Returns the next operation if one is due. `write_id` must be unique.
    pub fn tick(&mut self, now: Instant, write_id: u64) -> Option<LeaseAction> {
        self.expire_if_due(now);
        if self.operation_pending
            || now < self.next_operation_at
            || (self.is_releasing && !self.is_unreleased())
        {
            return None;
        }
        self.operation_pending = true;
        self.next_operation_at = now + self.period();
        if self.read_required {
            return Some(LeaseAction::Read);
        }
        match &self.state {
            State::Held(held) => {
                let (expected, epoch) = (held.revision, held.row.epoch);
                let predecessors = if now >= held.acquired_at + self.alternation_time() {
                    Some(Vec::new())
                } else {
                    held.row.predecessors.clone()
                };
                Some(self.write(now, expected, epoch, write_id, predecessors))
            }
            State::Watching(Watching { revision, row: Some(row), .. }) if self.is_releasing => {
                let (expected, row) = (*revision, row.clone());
                Some(self.attempt(now, expected, LeaseRow { released: true, write_id, ..row }))
            }
            State::Watching(watching) if self.can_take_over(watching, now) => {
                let expected = watching.revision;
                let epoch = LeaseRow::next_epoch(watching.row.as_ref(), self.era());
                let epoch = epoch.max(self.latest_epoch.saturating_add(1));
                let predecessors = self.predecessors(watching);
                Some(self.write(now, expected, epoch, write_id, predecessors))
            }
            State::Watching(_) => Some(LeaseAction::Read),
        }
    }

    /// Gives up the lease for good, so that the other candidates need not wait until it expires.
    /// Returns the write that records this, unless another operation is pending; in that case
    /// [`LeaseCandidate::tick`] returns the write later.
    pub fn release(&mut self, now: Instant, write_id: u64) -> Option<LeaseAction> {
        self.is_releasing = true;
        self.resign(now)?;
        // An earlier attempt without an answer can no longer take effect once this write has been
        // made.
        self.read_required = false;
        self.next_operation_at = now;
        self.tick(now, write_id)
    }

    /// True if the row when last seen names this candidate and is not marked as released.
    fn is_unreleased(&self) -> bool {
        let State::Watching(Watching { row: Some(row), .. }) = &self.state else { return false };
        let LeaseConfig { holder, incarnation, .. } = &self.config;
        row.holder == *holder && row.incarnation == *incarnation && !row.released
    }

    fn period(&self) -> Duration {
        match self.state {
            State::Held(_) => self.config.renew_every,
            State::Watching(_) => self.config.watch_every,
        }
    }

    /// Handles the answer to a read.
    pub fn on_read(&mut self, now: Instant, answer: Result<Option<&StoredRow>, &StoreError>) {
        self.operation_pending = false;
        let Ok(stored) = answer else { return };
        self.read_required = false;
        self.on_row_seen(now, stored);
        if let State::Watching(watching) = &self.state {
            // A takeover that is due before the next read need not wait for that read.
            self.next_operation_at =
                self.next_operation_at.min(self.takeover_at(watching).max(now));
        }
    }

    /// Handles the answer to a write.
    pub fn on_write(&mut self, now: Instant, answer: Result<&TxnAnswer, &StoreError>) {
        self.operation_pending = false;
        match answer {
            Ok(TxnAnswer::Committed(revision)) => {
                self.on_era(now, revision.era);
                match self.attempts.pop() {
                    Some(attempt) => self.confirm(now, *revision, attempt),
                    // The store was restored after this write was decided on.
                    None => self.read_now(now),
                }
            }
            Ok(TxnAnswer::Conflict(rows)) => self.on_row_seen(now, rows.first()),
            Err(StoreError::NotSent { .. }) => {
                self.attempts.pop();
            }
            Err(StoreError::Unknown { .. }) => {
                self.read_required = true;
                self.next_operation_at = now;
            }
        }
    }

    /// The alternation limit by this VM's clock.
    fn alternation_time(&self) -> Duration {
        let limit = self.config.alternation_limit;
        limit + limit / DRIFT_MARGIN_DIVISOR
    }

    /// True if no row has been seen, and no candidate has reported one.
    fn is_first_term(&self, watching: &Watching) -> bool {
        watching.revision == Revision::ABSENT
            && self.latest_epoch == 0
            && self.restored_at.is_none()
    }

    /// The row of the latest holder, unless another writer or a restore of the store has replaced
    /// it.
    fn latest_row(watching: &Watching) -> Option<&LeaseRow> {
        watching.row.as_ref().filter(|row| row.era == watching.revision.era)
    }

    /// The predecessors of this candidate if it takes over.
    fn predecessors(&self, watching: &Watching) -> Option<Vec<VmId>> {
        match Self::latest_row(watching) {
            Some(row) => row.predecessors_of(&self.config.holder),
            None => self.is_first_term(watching).then(Vec::new),
        }
    }

    /// Records whose terms precede the one that begins with `row` on top of `watching`.
    fn record_term_start(&mut self, watching: &Watching, row: &LeaseRow) {
        let holder = &self.config.holder;
        let (follows_other, earlier_process) = match Self::latest_row(watching) {
            Some(row) if row.may_follow_term_of(holder) => {
                (row.holder != *holder, EarlierProcess::HeldBeforeOther)
            }
            Some(row) if row.holder == *holder && !self.has_held => {
                (false, EarlierProcess::HeldLast)
            }
            Some(row) => (row.holder != *holder, EarlierProcess::NoTerm),
            // The first term of all.
            None if row.predecessors.is_some() => (false, EarlierProcess::NoTerm),
            None => (true, EarlierProcess::HeldBeforeOther),
        };
        self.has_held = true;
        self.takeovers += u32::from(follows_other);
        self.earlier_process = self.earlier_process.max(earlier_process);
    }

    fn write(
        &mut self,
        now: Instant,
        expected: Revision,
        epoch: u64,
        id: u64,
        predecessors: Option<Vec<VmId>>,
    ) -> LeaseAction {
        let row = LeaseRow {
            holder: self.config.holder.clone(),
            incarnation: self.config.incarnation,
            epoch,
            write_id: id,
            released: false,
            era: self.era(),
            predecessors,
        };
        self.attempt(now, expected, row)
    }

    fn attempt(&mut self, now: Instant, expected: Revision, row: LeaseRow) -> LeaseAction {
        self.attempts.push(Attempt { row: row.clone(), sent_at: now });
        LeaseAction::Write { expected, row }
    }

    fn can_take_over(&self, watching: &Watching, now: Instant) -> bool {
        now >= self.takeover_at(watching)
    }

    /// When this candidate may take over the lease, if its row does not change.
    fn takeover_at(&self, watching: &Watching) -> Instant {
        let Some(row) = &watching.row else {
            return match self.restored_at {
                Some(at) => self.restored_takeover_at(at),
                None if self.is_first_term(watching) => {
                    watching.seen_at + self.config.takeover_delay
                }
                // Another writer has replaced the row of a holder who may still act.
                None => self.restored_takeover_at(watching.seen_at),
            };
        };
        if row.era != watching.revision.era {
            return self.restored_takeover_at(watching.seen_at);
        }
        // The row names either an earlier process on this VM, which must have ended for this
        // process to run, or this process itself, whose expired lease nobody else has taken over.
        if row.holder == self.config.holder {
            return watching.seen_at;
        }
        if row.released || row.epoch <= self.resigned_epoch {
            return watching.seen_at + self.config.takeover_delay;
        }
        let duration = self.config.duration;
        let margin = duration / DRIFT_MARGIN_DIVISOR;
        watching.seen_at + duration + margin + self.config.takeover_delay
    }

    /// When this candidate may take over a lease whose row, seen at `since`, comes from a copy of
    /// the store or from another writer. The row does not show who acts now, so any present holder is given the full
    /// duration.
    fn restored_takeover_at(&self, since: Instant) -> Instant {
        match self.lost_term_until {
            Some(until) if since < until => since,
            _ => {
                let duration = self.config.duration;
                let margin = duration / DRIFT_MARGIN_DIVISOR;
                since + duration + margin + self.config.takeover_delay
            }
        }
    }

    /// Gives up the lease once it has expired.
    fn expire_if_due(&mut self, now: Instant) {
        let State::Held(held) = &self.state else { return };
        if now < held.valid_until {
            return;
        }
        let lost = held.clone().lost(held.revision, Some(held.row.clone()), now);
        self.state = State::Watching(lost);
        self.read_required = true;
        self.next_operation_at = self.next_operation_at.min(now);
    }

    /// Handles the row as stored.
    fn on_row_seen(&mut self, now: Instant, stored: Option<&StoredRow>) {
        let revision = stored.map_or(Revision::ABSENT, |stored| stored.revision);
        if stored.is_some() {
            self.on_era(now, revision.era);
        }
        if stored.is_some() && revision.era < self.era() {
            // The row was read before the store was restored.
            self.read_now(now);
            return;
        }
        let row = stored.and_then(LeaseRow::decode);
        self.latest_epoch = self.latest_epoch.max(row.as_ref().map_or(0, |row| row.epoch));
        let written = row.as_ref().and_then(|row| {
            self.attempts.iter().find(|attempt| attempt.row.write_id == row.write_id)
        });
        if let Some(attempt) = written.cloned() {
            self.confirm(now, revision, attempt);
            return;
        }
        let known = match &self.state {
            State::Held(held) => held.revision,
            State::Watching(watching) => watching.revision,
        };
        if revision == known {
            return;
        }
        self.attempts.clear();
        let reported = self.reported_renewal.filter(|(known, _)| *known == revision);
        let seen_at = reported.map_or(now, |(_, at)| at);
        self.state = State::Watching(Watching { revision, row, seen_at });
    }

    fn confirm(&mut self, now: Instant, revision: Revision, attempt: Attempt) {
        self.attempts.clear();
        self.latest_epoch = self.latest_epoch.max(attempt.row.epoch);
        if self.is_releasing || attempt.row.epoch <= self.own_resigned_epoch {
            let row = Some(attempt.row);
            self.state = State::Watching(Watching { revision, row, seen_at: now });
            return;
        }
        let valid_until = attempt.sent_at + self.config.duration;
        let state = match self.state.clone() {
            State::Held(held) => held.renewed(revision, attempt.row, valid_until),
            State::Watching(watching) => {
                self.record_term_start(&watching, &attempt.row);
                watching.acquired(now, revision, attempt.row, valid_until)
            }
        };
        self.state = State::Held(state);
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        glade_platform::{Key, MemoryTable, Txn},
    };

    const LEASE: Duration = Duration::from_secs(4);

    fn candidate(name: &str, now: Instant) -> LeaseCandidate {
        let config = LeaseConfig {
            holder: VmId::new(name),
            incarnation: Incarnation(1),
            duration: LEASE,
            renew_every: Duration::from_secs(1),
            watch_every: Duration::from_secs(1),
            takeover_delay: Duration::ZERO,
            alternation_limit: LEASE,
        };
        LeaseCandidate::new(config, now)
    }

    fn key() -> Key {
        Key::new("lease/g")
    }

    /// Performs the candidate's operation, if there is one. `lose_answer` drops the answer to a
    /// write.
    fn run(
        candidate: &mut LeaseCandidate,
        now: Instant,
        id: u64,
        store: &mut MemoryTable,
        lose_answer: bool,
    ) {
        match candidate.tick(now, id) {
            Some(LeaseAction::Read) => candidate.on_read(now, Ok(store.read(&key()).as_ref())),
            Some(LeaseAction::Write { expected, row }) => {
                let value = serde_json::to_vec(&row).expect("plain structure");
                let answer = store.transact(&Txn::compare_and_set(key(), expected, value));
                let lost = StoreError::Unknown { reason: "lost".to_owned() };
                candidate.on_write(now, if lose_answer { Err(&lost) } else { Ok(&answer) });
            }
            None => {}
        }
    }

    #[test]
    fn a_silent_holder_is_replaced_only_after_its_lease_has_expired() {
        let (start, mut store) = (Instant::now(), MemoryTable::default());
        let (mut a, mut b) = (candidate("a", start), candidate("b", start));
        let mut taken_over_at = None;
        for step in 0..200_u64 {
            let now = start + Duration::from_millis(step * 100);
            if step < 30 {
                run(&mut a, now, step * 2, &mut store, false);
            }
            run(&mut b, now, step * 2 + 1, &mut store, false);
            let both_hold = a.epoch(now).is_some() && b.epoch(now).is_some();
            assert!(!both_hold, "two holders at step {step}");
            if b.epoch(now).is_some() && taken_over_at.is_none() {
                taken_over_at = Some(now - start);
            }
        }
        let last_acted_at = Duration::from_millis(2900);
        let waited = taken_over_at.expect("b takes over") - last_acted_at;
        assert!(waited <= LEASE + Duration::from_secs(2), "{waited:?}");
        assert_eq!(b.epoch(start + Duration::from_millis(19_900)), Some(2));
    }

    #[test]
    fn a_renewal_with_a_lost_answer_counts_from_before_it_was_sent() {
        let (start, mut store) = (Instant::now(), MemoryTable::default());
        let mut a = candidate("a", start);
        run(&mut a, start, 1, &mut store, false);
        let sent_at = start + Duration::from_secs(1);
        run(&mut a, sent_at, 2, &mut store, true);
        assert_eq!(a.epoch(sent_at), None, "the renewal is not confirmed yet");
        run(&mut a, sent_at + Duration::from_secs(2), 3, &mut store, false);
        assert_eq!(a.epoch(sent_at + LEASE - Duration::from_millis(1)), Some(1));
        assert_eq!(a.epoch(sent_at + LEASE), None);
    }

    #[test]
    fn an_expired_holder_gets_a_new_epoch() {
        let (start, mut store) = (Instant::now(), MemoryTable::default());
        let mut a = candidate("a", start);
        run(&mut a, start, 1, &mut store, false);
        run(&mut a, start + Duration::from_secs(1), 2, &mut store, false);
        assert_eq!(a.epoch(start + Duration::from_secs(2)), Some(1));
        let late = start + Duration::from_secs(60);
        assert_eq!(a.epoch(late), None);
        for step in 0..20 {
            run(&mut a, late + Duration::from_secs(step), 3 + step, &mut store, false);
        }
        assert_eq!(a.epoch(late + Duration::from_secs(19)), Some(2));
    }
}
