//! Heartbeats between two members over time.

use {
    glade_membership::{Action, Event, Membership, MembershipConfig},
    glade_platform::{Listing, VmRecord},
    glade_types::{DataCentre, Incarnation, VmId},
    glade_wire::{Envelope, PeerId, Role},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const STEP: Duration = Duration::from_millis(100);
const SILENT: Duration = Duration::from_secs(3);

fn id(member: u8, incarnation: u64) -> PeerId {
    let vm = VmId::new(&format!("vm-{member}"));
    PeerId { vm, role: Role::Entry, incarnation: Incarnation(incarnation) }
}

fn addr(member: u8) -> SocketAddr {
    ([10, 0, 0, member], 1).into()
}

fn listing(members: &[u8]) -> Event {
    let record = |member: &u8| VmRecord {
        name: VmId::new(&format!("vm-{member}")),
        data_centre: DataCentre::new("dc-1"),
        caller: ([10, 0, 0, *member], 2).into(),
        operator: ([10, 0, 0, *member], 3).into(),
        entry_peer: addr(*member),
        planner_peer: ([10, 0, 0, *member], 4).into(),
        leaving: false,
    };
    Event::Listing(Listing { vms: members.iter().map(record).collect(), backends: Vec::new() })
}

fn member(now: Instant, me: PeerId) -> Membership {
    let config = MembershipConfig {
        me,
        data_centre: DataCentre::new("dc-1"),
        peer_timeout: SILENT,
        isolation_timeout: Duration::from_secs(10),
        head_poll_interval: Duration::from_secs(1),
    };
    let mut member = Membership::new(config, now);
    member.step(now, listing(&[1, 2]), &mut Vec::new());
    member
}

/// Members 1 and 2 of a deployment.
struct Pair {
    now: Instant,
    ids: [PeerId; 2],
    members: [Membership; 2],
    /// Whose messages are lost.
    is_cut: [bool; 2],
    redials: usize,
}

impl Pair {
    fn new() -> Self {
        let (now, ids) = (Instant::now(), [id(1, 1), id(2, 1)]);
        let members = [member(now, ids[0].clone()), member(now, ids[1].clone())];
        Self { now, ids, members, is_cut: [false; 2], redials: 0 }
    }

    fn play(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for (from, to) in [(0, 1), (1, 0)] {
                let mut actions = Vec::new();
                self.members[from].step(self.now, Event::Tick, &mut actions);
                for action in actions {
                    self.carry(from, to, action);
                }
            }
        }
    }

    fn carry(&mut self, from: usize, to: usize, action: Action) {
        match action {
            Action::Send(at, message) if at == addr(to as u8 + 1) && !self.is_cut[from] => {
                let envelope = Envelope { from: self.ids[from].clone(), message };
                self.members[to].step(self.now, Event::Message(envelope), &mut Vec::new());
            }
            Action::Redial(_) => self.redials += 1,
            _ => {}
        }
    }

    fn hears(&self, from: usize, to: usize) -> bool {
        self.members[to].live(self.now, Role::Entry).contains(&self.ids[from].vm)
    }
}

#[test]
fn a_peer_that_was_not_listed_for_a_while_is_heard_again() {
    let mut pair = Pair::new();
    pair.play(Duration::from_secs(100));
    pair.is_cut = [true; 2];
    pair.play(SILENT * 2);
    pair.members[0].step(pair.now, listing(&[1]), &mut Vec::new());
    pair.is_cut = [false; 2];
    pair.members[0].step(pair.now, listing(&[1, 2]), &mut Vec::new());
    pair.play(SILENT);
    assert!(pair.hears(1, 0));
    assert!(pair.hears(0, 1));
}

#[test]
fn a_process_that_starts_again_is_not_dialled_anew_by_echoes_of_its_predecessor() {
    let mut pair = Pair::new();
    pair.play(Duration::from_secs(100));
    pair.ids[0] = id(1, 2);
    pair.members[0] = member(pair.now, pair.ids[0].clone());
    pair.is_cut[0] = true;
    pair.play(Duration::from_secs(2));
    pair.is_cut[0] = false;
    pair.play(Duration::from_secs(30));
    assert!(pair.hears(0, 1) && pair.hears(1, 0));
    assert_eq!(pair.redials, 0);
}
