//! How VMs share out the connections that a server accepts.

mod common;

use {
    crate::common::Fixture,
    glade_dispatch::{Dispatcher, RetryLimit, ServerIdx},
    std::time::Duration,
};

/// Connections that a server of the fixture accepts.
const CONNECTION_LIMIT: usize = 100;

fn idle_connections(vms: u32, live_vms: u32) -> usize {
    let of_vm = |vm: u32| {
        let mut fixture = Fixture::engines(&[&["m"]]);
        let limit = RetryLimit { share: 0.2, window: Duration::from_secs(10), reserve: 56.0 };
        fixture.dispatcher = Dispatcher::new(limit, vm.wrapping_mul(0x9E37_79B9));
        (fixture.view.live_vms, fixture.view.known_vms) = (live_vms, vms);
        fixture.update_view();
        let server: ServerIdx = fixture.chosen_server(&fixture.request("m", 100));
        fixture.dispatcher.idle_connections_max(server)
    };
    (0..vms).map(of_vm).sum()
}

#[test]
fn vms_together_keep_no_more_idle_connections_than_a_server_accepts() {
    for vms in [1, 8, 300] {
        let idle = idle_connections(vms, vms);
        assert!((1..=CONNECTION_LIMIT).contains(&idle), "{vms} VMs: {idle}");
    }
}

#[test]
fn vms_that_have_lost_each_other_keep_to_their_shares_of_idle_connections() {
    for vms in [8, 300] {
        let idle = idle_connections(vms, 1);
        assert!((1..=CONNECTION_LIMIT).contains(&idle), "{vms} VMs: {idle}");
    }
}
