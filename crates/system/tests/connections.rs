//! Connections that nodes keep to a server.

use {
    glade_catalog::{CallerLimits, Catalog},
    glade_system::site::{BROWSE, Site, catalog},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream},
    },
};

const NODES: usize = 2;
/// Connections that one server accepts.
const CONNECTION_LIMIT: u32 = 8;
const REQUESTS_AT_ONCE: usize = 32;

/// Passes connections on to `server` and counts those that are open.
async fn counting_proxy(server: SocketAddr, open: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            let open = Arc::clone(&open);
            tokio::spawn(async move {
                open.fetch_add(1, Ordering::Relaxed);
                if let Ok(mut upstream) = TcpStream::connect(server).await {
                    // A connection that breaks is closed as well.
                    let _ = copy_bidirectional(&mut caller, &mut upstream).await;
                }
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    addr
}

fn catalog_with_limit() -> Catalog {
    let catalog = catalog(1);
    let routes = catalog.routes().map(|route| route.as_ref().clone()).collect();
    let mut services: Vec<_> = catalog.services().cloned().collect();
    services.iter_mut().for_each(|service| service.connection_limit = CONNECTION_LIMIT);
    Catalog::new(1, CallerLimits::default(), routes, services)
}

#[test]
fn nodes_together_keep_no_more_idle_connections_than_a_server_accepts() {
    let site = Site::start_unconfigured(NODES, &[&["m0"]]);
    let open: Vec<Arc<AtomicUsize>> = site.plain.iter().map(|_| Arc::default()).collect();
    for (server, open) in site.plain.iter().zip(&open) {
        let proxy = counting_proxy(server.addr(), Arc::clone(open));
        server.advertise(site.runtime().block_on(proxy));
    }
    site.put_catalog(&catalog_with_limit());
    site.all_serve();
    let sent: Vec<_> = (0..REQUESTS_AT_ONCE)
        .flat_map(|_| (0..NODES).map(|node| site.begin(node, BROWSE, None, &site.request_id())))
        .collect();
    for sent in sent {
        assert_eq!(site.finish(sent).expect("an answer").status, 200);
    }
    site.pause(Duration::from_millis(200));
    for open in open {
        let open = open.load(Ordering::Relaxed);
        assert!((1..=CONNECTION_LIMIT as usize).contains(&open), "{open} connections");
    }
}
