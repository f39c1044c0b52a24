//! When a core counts as in touch.

use {
    super::*,
    crate::fixtures::{heartbeat, network_of, node},
    crate::peer_network::PeerNetwork,
};

const SILENT: Duration = Duration::from_secs(60);
const TICK: Duration = Duration::from_millis(50);

/// A core of a full mesh of three nodes.
struct Core {
    now: Instant,
    network: PeerNetwork,
    contact: Contact,
    seq: u64,
}

impl Core {
    fn new() -> Self {
        let now = Instant::now();
        let nodes: Vec<_> = (1..=3).map(|number| node(1, number, 250)).collect();
        Self { now, network: network_of(now, &nodes, 0), contact: Contact::new(now), seq: 1 }
    }

    /// Lets `time` pass, in which `heard` of the others send heartbeats. `silence` is that of the store.
    fn run(&mut self, time: Duration, heard: u8, silence: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.seq += 1;
            for number in 2..2 + heard {
                let (from, heartbeat) = (node(1, number, 250), heartbeat(self.seq, true));
                self.network.peers.on_heartbeat(self.now, &from, heartbeat);
            }
            self.check(silence);
        }
    }

    fn check(&mut self, silence: Duration) {
        let cores: Vec<VmId> = self.network.peers.infos().map(|info| info.vm.clone()).collect();
        self.contact.check(self.now, silence, cores.iter(), &self.network.peers);
    }
}

#[test]
fn a_core_is_in_touch_as_long_as_the_store_answers_somebody() {
    let mut core = Core::new();
    core.run(Duration::from_secs(20), 0, TICK);
    assert!(core.contact.since().is_some_and(|since| core.now - since >= Duration::from_secs(19)));
    core.run(Duration::from_secs(3), 0, SILENT);
    assert_eq!(core.contact.since(), None);
}

#[test]
fn a_core_that_hears_all_others_is_in_touch_while_the_store_answers_nobody() {
    let mut core = Core::new();
    core.run(Duration::from_secs(5), 2, TICK);
    core.run(Duration::from_secs(60), 2, SILENT);
    assert!(core.contact.since().is_some_and(|since| core.now - since >= Duration::from_secs(60)));
    core.run(Duration::from_secs(3), 1, SILENT);
    assert_eq!(core.contact.since(), None);
    core.run(Duration::from_secs(1), 2, SILENT);
    assert!(core.contact.since().is_some_and(|since| core.now - since <= Duration::from_secs(1)));
}

#[test]
fn a_core_that_is_cut_off_for_long_doesnt_forget_whom_it_heard() {
    let mut core = Core::new();
    core.run(Duration::from_secs(5), 2, TICK);
    core.run(Duration::from_secs(100), 0, SILENT);
    core.network.peers.sweep(core.now);
    assert_eq!(core.network.peers.count(), 0);
    core.run(Duration::from_secs(100), 0, SILENT);
    assert_eq!(core.contact.since(), None);
    assert!(!core.contact.all_cores_are_live(core.now, &core.network.peers));
}

#[test]
fn a_core_that_stood_still_is_in_touch_from_then_on_only() {
    let mut core = Core::new();
    core.run(Duration::from_secs(20), 2, TICK);
    core.now += Duration::from_secs(3);
    core.check(TICK);
    assert_eq!(core.contact.since(), None);
    core.run(Duration::from_secs(2), 2, TICK);
    assert!(core.contact.since().is_some_and(|since| core.now - since <= Duration::from_secs(2)));
}
