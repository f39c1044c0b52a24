//! Sends messages to peers that keep closing their connections.

use {
    glade_wire::Outbox,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// Handshake that a pull socket of the Scalability Protocols sends first.
const PULL_HANDSHAKE: [u8; 8] = [0, b'S', b'P', 0, 0, 81, 0, 0];
/// Number of peers. The outbox connects to each of them several times a second.
const PEERS: usize = 200;
/// Pause between messages to the same peer.
const SEND_INTERVAL: Duration = Duration::from_millis(1);
/// Time for which one outbox sends messages. A new outbox is needed for each round, because nng soon
/// reconnects to such peers only once a second.
const ROUND_TIME: Duration = Duration::from_millis(500);
const ROUNDS: usize = 20;

/// Starts a peer that closes each connection after a few reads or none.
fn spawn_closing_peer() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    thread::spawn(move || {
        for (idx, stream) in listener.incoming().enumerate() {
            stream.and_then(|stream| read_and_close(stream, idx % 5)).unwrap_or_default();
        }
    });
    addr
}

fn read_and_close(mut stream: TcpStream, reads: usize) -> std::io::Result<()> {
    stream.write_all(&PULL_HANDSHAKE)?;
    let mut bytes = [0; 64];
    for _ in 0..reads {
        let _len = stream.read(&mut bytes)?;
    }
    Ok(())
}

/// Guards against a use after free in nng, which wrote to a connection after freeing it and thereby
/// crashed the sending process.
#[test]
fn a_sender_outlives_peers_that_end() {
    let peers: Vec<SocketAddr> = (0..PEERS).map(|_| spawn_closing_peer()).collect();
    for _ in 0..ROUNDS {
        let mut outbox = Outbox::new();
        let started_at = Instant::now();
        while started_at.elapsed() < ROUND_TIME {
            for peer in &peers {
                // Most messages are dropped because the peer isn't connected.
                let _ = outbox.send_frame(*peer, &[7; 200]);
            }
            thread::sleep(SEND_INTERVAL);
        }
    }
}
