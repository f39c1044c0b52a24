//! Two members exchange heartbeats over simulated time, with message loss and restarts.

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
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

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
        peer_timeout: PEER_TIMEOUT,
        isolation_timeout: Duration::from_secs(10),
        head_poll_interval: Duration::from_secs(1),
    };
    let mut member = Membership::new(config, now);
    member.step(now, listing(&[1, 2]), &mut Vec::new());
    member
}

/// Two members of one data centre, `vm-1` and `vm-2`, and the simulated network between them.
struct Pair {
    now: Instant,
    ids: [PeerId; 2],
    members: [Membership; 2],
    /// Whether all messages that the member sends are lost.
    loses_sent: [bool; 2],
    redials: usize,
}

impl Pair {
    fn new() -> Self {
        let (now, ids) = (Instant::now(), [id(1, 1), id(2, 1)]);
        let members = [member(now, ids[0].clone()), member(now, ids[1].clone())];
        Self { now, ids, members, loses_sent: [false; 2], redials: 0 }
    }

    fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for (from, to) in [(0, 1), (1, 0)] {
                let mut actions = Vec::new();
                self.members[from].step(self.now, Event::Tick, &mut actions);
                for action in actions {
                    self.perform(from, to, action);
                }
            }
        }
    }

    fn perform(&mut self, from: usize, to: usize, action: Action) {
        match action {
            Action::Send(at, message) if at == addr(to as u8 + 1) && !self.loses_sent[from] => {
                let envelope = Envelope { from: self.ids[from].clone(), message };
                self.members[to].step(self.now, Event::Message(envelope), &mut Vec::new());
            }
            Action::Redial(_) => self.redials += 1,
            _ => {}
        }
    }

    /// Returns whether member `peer` is live as seen by member `observer`.
    fn is_live(&self, peer: usize, observer: usize) -> bool {
        self.members[observer].live(self.now, Role::Entry).contains(&self.ids[peer].vm)
    }
}

/// A peer drops out of the VM list and returns. Its record is created anew, but the other side
/// still holds the heartbeat numbers from before; numbering that restarted with the record would
/// make it ignore the new heartbeats.
#[test]
fn a_peer_that_returns_to_the_vm_list_becomes_live_again() {
    let mut pair = Pair::new();
    pair.run_for(Duration::from_secs(100));
    pair.loses_sent = [true; 2];
    pair.run_for(PEER_TIMEOUT * 2);
    pair.members[0].step(pair.now, listing(&[1]), &mut Vec::new());
    pair.loses_sent = [false; 2];
    pair.members[0].step(pair.now, listing(&[1, 2]), &mut Vec::new());
    pair.run_for(PEER_TIMEOUT);
    assert!(pair.is_live(1, 0));
    assert!(pair.is_live(0, 1));
}

/// A process restarts while the peer still acknowledges heartbeat numbers of the predecessor. Taken
/// for acknowledgements of its own, these high numbers would hide the later real ones, and the
/// process would redial a working connection.
#[test]
fn a_restarted_process_does_not_redial_because_of_acknowledgements_to_its_predecessor() {
    let mut pair = Pair::new();
    pair.run_for(Duration::from_secs(100));
    pair.ids[0] = id(1, 2);
    pair.members[0] = member(pair.now, pair.ids[0].clone());
    pair.loses_sent[0] = true;
    pair.run_for(Duration::from_secs(2));
    pair.loses_sent[0] = false;
    pair.run_for(Duration::from_secs(30));
    assert!(pair.is_live(0, 1) && pair.is_live(1, 0));
    assert_eq!(pair.redials, 0);
}
