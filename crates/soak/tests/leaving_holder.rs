//! The node that gives orders is told to end.

use {
    glade_soak::{Link, Proxy},
    glade_standins::site::EngineFault,
    glade_system::site::{CLAIM, Site},
    std::time::Duration,
};

/// Delay of the store each way, for which a renewal of the lease is nearly always under way.
const STORE_DELAY: Duration = Duration::from_millis(150);

#[test]
fn a_holder_that_ends_gives_its_lease_up_although_a_renewal_is_under_way() {
    let mut site = Site::start(0, &[&["m0"]]);
    let link = site.runtime().block_on(Proxy::bind(site.store.addr()));
    let holder = site.add_node_by(link.addr());
    site.eventually("there is a holder", || site.holder() == Some(holder));
    let other = site.add_node();
    site.all_serve();
    (0..2).for_each(|server| site.plain_fault(server, EngineFault::Hangs));
    let hanging = site.begin(holder, CLAIM, None, &site.request_id());
    site.eventually("its node stays for a request", || !site.log.runs().is_empty());
    link.set(Link::Delayed(STORE_DELAY));
    site.pause(STORE_DELAY * 3);
    site.terminate_node(holder);
    site.eventually("the other node gives orders", || site.holder() == Some(other));
    assert_eq!(site.ended_node(holder), None, "that needn't wait for the holder's end");
    drop(hanging);
}
