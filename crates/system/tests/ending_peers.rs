//! Nodes whose peers keep ending, as in a rolling restart.

use {
    glade_standins::site::Reply,
    glade_system::site::{BATCH, BROWSE, CHAT, CLAIM, EVENTS, Site},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// Peers that end. A node opens a connection to each of them several times a second.
const PEERS: usize = 200;
/// Requests that are sent to the node before it is told to end.
const REQUESTS: usize = 200;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Requests that are sent after the node was told to end. It admits them all.
const REQUESTS_IN_DRAIN: usize = 60;
/// Handshake that a pull socket of the Scalability Protocols sends first.
const PULL_HANDSHAKE: [u8; 8] = [0, b'S', b'P', 0, 0, 81, 0, 0];

/// Reads from a connection of a node, up to `reads` times once peers end, and closes it.
async fn read_and_close(
    mut stream: TcpStream,
    reads: usize,
    mut are_ending: watch::Receiver<bool>,
) -> std::io::Result<()> {
    if reads > 0 {
        stream.write_all(&PULL_HANDSHAKE).await?;
    }
    let mut bytes = [0; 64];
    while !*are_ending.borrow_and_update() {
        tokio::select! {
            read = stream.read(&mut bytes) => if read? == 0 { return Ok(()) },
            _ = are_ending.changed() => {}
        }
    }
    for _ in 0..reads {
        let _len = stream.read(&mut bytes).await?;
    }
    Ok(())
}

/// Closes each connection at another stage once peers end.
async fn run_peer(listener: TcpListener, are_ending: watch::Receiver<bool>) {
    for count in 1_usize.. {
        let Ok((stream, _)) = listener.accept().await else { return };
        // The node may have closed the connection.
        let _ = read_and_close(stream, count % 5, are_ending.clone()).await;
    }
}

/// Registers peers with the store, as cores of data centres of their own, to which every core sends
/// heartbeats. They end again and again from the time at which `are_ending` is true.
fn register_peers(site: &Site, are_ending: &watch::Receiver<bool>) {
    for peer in 0..PEERS {
        let listener = site.runtime().block_on(TcpListener::bind(("127.0.0.1", 0)));
        let listener = listener.expect("a free port");
        let addr: SocketAddr = listener.local_addr().expect("a bound socket has an address");
        let row = format!(
            "{{\"vm\":\"peer-{peer}\",\"incarnation\":{peer},\"peers\":\"{addr}\",\"callers\":\"{addr}\",\
             \"data_centre\":\"dc-of-{peer}\",\"cpu_millis\":1}}"
        );
        site.store.put(&format!("nodes/peer-{peer}"), row.into_bytes());
        site.runtime().spawn(run_peer(listener, are_ending.clone()));
    }
}

fn is_whole(path: &str, reply: &Reply) -> bool {
    let is_stream = [CHAT, BATCH].contains(&path);
    reply.status == 200 && reply.whole && (!is_stream || reply.event_ids().len() as u64 == EVENTS)
}

/// Sends requests to a node and tells it to end while some are under way. Its peers end at that time
/// or, if `from_start`, all the time.
fn assert_drains_with_whole_answers(from_start: bool) {
    let mut site = Site::start_unconfigured(0, &[&["m0"], &["m0"]]);
    let (are_ending, receiver) = watch::channel(from_start);
    register_peers(&site, &receiver);
    site.configure(1);
    site.add_node();
    site.eventually("the node serves", || {
        let reply = site.send(0, BROWSE, None, &site.request_id());
        reply.is_some_and(|reply| reply.status == 200)
    });
    let begin = |idx: usize| {
        let (path, model) =
            [(CHAT, Some("m0")), (CLAIM, None), (BATCH, Some("m0")), (BROWSE, None)][idx % 4];
        (path, site.begin(0, path, model, &site.request_id()))
    };
    let mut sent = Vec::new();
    for idx in 0..REQUESTS {
        sent.push(begin(idx));
        site.pause(REQUEST_INTERVAL);
    }
    site.terminate_node(0);
    are_ending.send_replace(true);
    for idx in 0..REQUESTS_IN_DRAIN {
        sent.push(begin(idx));
        site.pause(REQUEST_INTERVAL);
    }
    let replies: Vec<_> =
        sent.into_iter().map(|(path, reply)| (path, site.finish(reply))).collect();
    let code = site.wait_node(0);
    let log = site.node_log(0);
    let last_lines: Vec<&str> = log.lines().rev().take(20).collect();
    assert_eq!(code, Some(0), "the node's last lines, the last first: {last_lines:#?}");
    for (path, reply) in replies {
        assert!(reply.as_ref().is_some_and(|reply| is_whole(path, reply)), "{path}: {reply:?}");
    }
}

#[test]
fn a_node_whose_peers_end_doesnt_end_itself() {
    assert_drains_with_whole_answers(true);
}

#[test]
fn a_node_whose_peers_end_as_it_drains_writes_whole_answers() {
    assert_drains_with_whole_answers(false);
}
