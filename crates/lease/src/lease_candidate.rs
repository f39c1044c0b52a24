//! Decides when to read, renew and take over a lease.

use {
    crate::{
        lease_row::LeaseRow,
        state::{Held, Watching},
    },
    glade_platform::{Era, Revision, StoreError, StoredRow, TxnAnswer},
    glade_types::{Incarnation, VmId},
    std::time::{Duration, Instant},
};

/// Share of the duration that watchers wait on top, for clocks that run at different rates.
const DRIFT_MARGIN_DIVISOR: u32 = 20;

/// Who the candidate is, and the lease's times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// VM of the candidate.
    pub holder: VmId,
    /// Incarnation of the candidate's daemon.
    pub incarnation: Incarnation,
    /// How long one renewal lasts.
    pub duration: Duration,
    /// Period of renewals.
    pub renew_every: Duration,
    /// Period of reads while somebody else holds the lease.
    pub watch_every: Duration,
    /// Extra wait before taking over, larger for less preferred candidates.
    pub takeover_delay: Duration,
}

/// What the keeper wants done with the lease's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the row and call [`LeaseCandidate::on_read`].
    Read,
    /// Write the row if it stands at `expected` and call [`LeaseCandidate::on_write`].
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

/// One candidate's view of one lease. One operation is under way at a time.
#[derive(Clone, Debug)]
pub struct LeaseCandidate {
    config: LeaseConfig,
    state: State,
    /// Writes on top of the present revision whose effect isn't known.
    attempts: Vec<Attempt>,
    busy: bool,
    must_read: bool,
    next_at: Instant,
    /// Revision that the holder itself told of, and when.
    heard: Option<(Revision, Instant)>,
    /// Latest epoch whose holder has told that it acts no more.
    resigned_epoch: u64,
    /// Latest era of the store that is known; `None` before the store has told anything.
    era: Option<Era>,
    /// Until when the tenure that a later era has cut short would have lasted. Until then nobody else
    /// can have taken the lease over.
    cut_short: Option<Instant>,
    /// When this candidate learnt that the store was restored; `None` if it never saw that happen.
    restored_at: Option<Instant>,
    /// This candidate has given the lease up for good.
    is_leaving: bool,
}

impl LeaseCandidate {
    /// Returns a keeper that knows nothing of the row yet.
    pub fn new(config: LeaseConfig, now: Instant) -> Self {
        let watching = Watching { revision: Revision::ABSENT, row: None, seen_at: now };
        Self {
            config,
            state: State::Watching(watching),
            attempts: Vec::new(),
            busy: false,
            must_read: true,
            next_at: now,
            heard: None,
            resigned_epoch: 0,
            era: None,
            cut_short: None,
            restored_at: None,
            is_leaving: false,
        }
    }

    /// The store is in `era`. Nothing that was written in an earlier one counts any more: a tenure is
    /// over at once, and the row is read anew.
    pub fn on_era(&mut self, now: Instant, era: Era) {
        let Some(known) = self.era.replace(era.max(self.era())) else { return };
        if era <= known {
            return;
        }
        self.restored_at = Some(now);
        self.attempts.clear();
        self.must_read = true;
        self.next_at = now;
        self.cut_short = self.valid_until().filter(|until| now < *until);
        let watching = Watching { revision: Revision::ABSENT, row: None, seen_at: now };
        self.state = State::Watching(watching);
    }

    /// Latest era of the store that is known.
    fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Takes the holder's own word that its latest renewal made `revision`. Its lease counts from
    /// before that, so it is over no later than one that begins now.
    pub fn on_renewal_reported(&mut self, now: Instant, revision: Revision) {
        self.on_era(now, revision.era);
        if self.heard.is_none_or(|(known, _)| revision > known) {
            self.heard = Some((revision, now));
        }
    }

    /// Takes the word of the holder of `epoch` that it acts no more, although the row still names it.
    pub fn on_resigned(&mut self, now: Instant, epoch: u64) {
        if epoch > self.resigned_epoch {
            self.resigned_epoch = epoch;
            self.must_read = true;
            self.next_at = now;
        }
    }

    /// Stops acting on the lease without the store's help. Returns the epoch to be told to others.
    pub fn resign(&mut self, now: Instant) -> Option<u64> {
        let State::Held(held) = &self.state else { return None };
        let epoch = held.row.epoch;
        let lost = held.clone().lost(held.revision, Some(held.row.clone()), now);
        self.state = State::Watching(lost);
        self.must_read = true;
        Some(epoch)
    }

    /// Has the row read at the next tick.
    pub fn read_now(&mut self, now: Instant) {
        self.must_read = true;
        self.next_at = now;
    }

    /// Brings the next operation forward.
    pub fn retry_now(&mut self, now: Instant) {
        self.next_at = self.next_at.min(now);
    }

    /// Keeps the lease until `until` without the store's help. The caller must know that nobody else
    /// can take it over, or that whoever does is protected from this holder otherwise.
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

    /// Changes the extra wait before a takeover, when the order of candidates changes.
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

    /// Reading after which this candidate must not act on the lease; `None` if it doesn't hold it.
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

    /// Returns the next operation if one is due. `write_id` must be unique.
    pub fn tick(&mut self, now: Instant, write_id: u64) -> Option<LeaseAction> {
        self.lapse(now);
        if self.busy || now < self.next_at || (self.is_leaving && !self.is_unreleased()) {
            return None;
        }
        self.busy = true;
        self.next_at = now + self.period();
        if self.must_read {
            return Some(LeaseAction::Read);
        }
        match &self.state {
            State::Held(held) => {
                let (expected, epoch) = (held.revision, held.row.epoch);
                Some(self.write(now, expected, epoch, write_id))
            }
            State::Watching(Watching { revision, row: Some(row), .. }) if self.is_leaving => {
                let (expected, row) = (*revision, row.clone());
                Some(self.attempt(now, expected, LeaseRow { released: true, write_id, ..row }))
            }
            State::Watching(watching) if self.may_take_over(watching, now) => {
                let expected = watching.revision;
                let epoch = LeaseRow::next_epoch(watching.row.as_ref(), self.era());
                Some(self.write(now, expected, epoch, write_id))
            }
            State::Watching(_) => Some(LeaseAction::Read),
        }
    }

    /// Gives the lease up for good, so that others need not wait it out. Returns the write that says
    /// so unless another operation is under way; [`LeaseCandidate::tick`] sees to the rest.
    pub fn release(&mut self, now: Instant, write_id: u64) -> Option<LeaseAction> {
        self.is_leaving = true;
        self.resign(now)?;
        // An attempt without an answer can't land any more once this write has.
        self.must_read = false;
        self.next_at = now;
        self.tick(now, write_id)
    }

    /// True if the row when last seen names this candidate and doesn't say that it gave the lease up.
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

    /// Takes the answer to a read.
    pub fn on_read(&mut self, now: Instant, answer: Result<Option<&StoredRow>, &StoreError>) {
        self.busy = false;
        let Ok(stored) = answer else { return };
        self.must_read = false;
        self.observe(now, stored);
        if let State::Watching(watching) = &self.state {
            // A takeover that is due before the next read needn't wait for it.
            self.next_at = self.next_at.min(self.takeover_at(watching).max(now));
        }
    }

    /// Takes the answer to a write.
    pub fn on_write(&mut self, now: Instant, answer: Result<&TxnAnswer, &StoreError>) {
        self.busy = false;
        match answer {
            Ok(TxnAnswer::Committed(revision)) => {
                self.on_era(now, revision.era);
                match self.attempts.pop() {
                    Some(attempt) => self.confirm(now, *revision, attempt),
                    // The store was restored since the write was decided on.
                    None => self.read_now(now),
                }
            }
            Ok(TxnAnswer::Conflict(rows)) => self.observe(now, rows.first()),
            Err(StoreError::NotSent { .. }) => {
                self.attempts.pop();
            }
            Err(StoreError::Unknown { .. }) => {
                self.must_read = true;
                self.next_at = now;
            }
        }
    }

    fn write(&mut self, now: Instant, expected: Revision, epoch: u64, id: u64) -> LeaseAction {
        let row = LeaseRow {
            holder: self.config.holder.clone(),
            incarnation: self.config.incarnation,
            epoch,
            write_id: id,
            released: false,
            era: self.era(),
        };
        self.attempt(now, expected, row)
    }

    fn attempt(&mut self, now: Instant, expected: Revision, row: LeaseRow) -> LeaseAction {
        self.attempts.push(Attempt { row: row.clone(), sent_at: now });
        LeaseAction::Write { expected, row }
    }

    fn may_take_over(&self, watching: &Watching, now: Instant) -> bool {
        now >= self.takeover_at(watching)
    }

    /// When this candidate may take the lease over, if its row stays as it is.
    fn takeover_at(&self, watching: &Watching) -> Instant {
        let Some(row) = &watching.row else {
            return match self.restored_at {
                Some(at) => self.restored_takeover_at(at),
                None => watching.seen_at + self.config.takeover_delay,
            };
        };
        if row.era != watching.revision.era {
            return self.restored_takeover_at(watching.seen_at);
        }
        // An earlier process on this VM is gone, or this one wouldn't run; and nobody else has taken
        // over what this process let lapse.
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

    /// When this candidate may take over a lease that stands at `since` as a copy of the store has it.
    /// That says nothing of who acts now, so whoever does is given the full time.
    fn restored_takeover_at(&self, since: Instant) -> Instant {
        match self.cut_short {
            Some(until) if since < until => since,
            _ => {
                let duration = self.config.duration;
                let margin = duration / DRIFT_MARGIN_DIVISOR;
                since + duration + margin + self.config.takeover_delay
            }
        }
    }

    /// Gives the lease up once its time is over.
    fn lapse(&mut self, now: Instant) {
        let State::Held(held) = &self.state else { return };
        if now < held.valid_until {
            return;
        }
        let lost = held.clone().lost(held.revision, Some(held.row.clone()), now);
        self.state = State::Watching(lost);
        self.must_read = true;
        self.next_at = self.next_at.min(now);
    }

    /// Takes note of the row as stored.
    fn observe(&mut self, now: Instant, stored: Option<&StoredRow>) {
        let revision = stored.map_or(Revision::ABSENT, |stored| stored.revision);
        if stored.is_some() {
            self.on_era(now, revision.era);
        }
        if stored.is_some() && revision.era < self.era() {
            // Read before the store was restored.
            self.read_now(now);
            return;
        }
        let row: Option<LeaseRow> =
            stored.and_then(|stored| serde_json::from_slice(&stored.value).ok());
        let landed = row.as_ref().and_then(|row| {
            self.attempts.iter().find(|attempt| attempt.row.write_id == row.write_id)
        });
        if let Some(attempt) = landed.cloned() {
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
        let heard = self.heard.filter(|(known, _)| *known == revision);
        let seen_at = heard.map_or(now, |(_, at)| at);
        self.state = State::Watching(Watching { revision, row, seen_at });
    }

    fn confirm(&mut self, now: Instant, revision: Revision, attempt: Attempt) {
        self.attempts.clear();
        if self.is_leaving {
            let row = Some(attempt.row);
            self.state = State::Watching(Watching { revision, row, seen_at: now });
            return;
        }
        let valid_until = attempt.sent_at + self.config.duration;
        let state = match self.state.clone() {
            State::Held(held) => held.renewed(revision, attempt.row, valid_until),
            State::Watching(watching) => watching.acquired(revision, attempt.row, valid_until),
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

    fn keeper(name: &str, now: Instant) -> LeaseCandidate {
        let config = LeaseConfig {
            holder: VmId::new(name),
            incarnation: Incarnation(1),
            duration: LEASE,
            renew_every: Duration::from_secs(1),
            watch_every: Duration::from_secs(1),
            takeover_delay: Duration::ZERO,
        };
        LeaseCandidate::new(config, now)
    }

    fn key() -> Key {
        Key::new("lease/g")
    }

    /// Performs the keeper's operation, if any; `lose` drops the answer of a write.
    fn run(
        keeper: &mut LeaseCandidate,
        now: Instant,
        id: u64,
        store: &mut MemoryTable,
        lose: bool,
    ) {
        match keeper.tick(now, id) {
            Some(LeaseAction::Read) => keeper.on_read(now, Ok(store.read(&key()).as_ref())),
            Some(LeaseAction::Write { expected, row }) => {
                let value = serde_json::to_vec(&row).expect("plain structure");
                let answer = store.transact(&Txn::compare_and_set(key(), expected, value));
                let lost = StoreError::Unknown { reason: "lost".to_owned() };
                keeper.on_write(now, if lose { Err(&lost) } else { Ok(&answer) });
            }
            None => {}
        }
    }

    #[test]
    fn a_silent_holder_is_replaced_only_after_its_own_lease_is_over() {
        let (start, mut store) = (Instant::now(), MemoryTable::default());
        let (mut a, mut b) = (keeper("a", start), keeper("b", start));
        let mut taken_over_at = None;
        for step in 0..200_u64 {
            let now = start + Duration::from_millis(step * 100);
            if step < 30 {
                run(&mut a, now, step * 2, &mut store, false);
            }
            run(&mut b, now, step * 2 + 1, &mut store, false);
            let both = a.epoch(now).is_some() && b.epoch(now).is_some();
            assert!(!both, "two holders at step {step}");
            if b.epoch(now).is_some() && taken_over_at.is_none() {
                taken_over_at = Some(now - start);
            }
        }
        let died_at = Duration::from_millis(2900);
        let waited = taken_over_at.expect("b takes over") - died_at;
        assert!(waited <= LEASE + Duration::from_secs(2), "{waited:?}");
        assert_eq!(b.epoch(start + Duration::from_millis(19_900)), Some(2));
    }

    #[test]
    fn a_renewal_with_a_lost_answer_counts_from_before_it_was_sent() {
        let (start, mut store) = (Instant::now(), MemoryTable::default());
        let mut a = keeper("a", start);
        run(&mut a, start, 1, &mut store, false);
        let sent_at = start + Duration::from_secs(1);
        run(&mut a, sent_at, 2, &mut store, true);
        assert_eq!(a.epoch(sent_at), None, "nothing is known yet");
        run(&mut a, sent_at + Duration::from_secs(2), 3, &mut store, false);
        assert_eq!(a.epoch(sent_at + LEASE - Duration::from_millis(1)), Some(1));
        assert_eq!(a.epoch(sent_at + LEASE), None);
    }

    #[test]
    fn a_lapsed_holder_needs_a_new_epoch() {
        let (start, mut store) = (Instant::now(), MemoryTable::default());
        let mut a = keeper("a", start);
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
