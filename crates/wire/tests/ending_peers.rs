//! Peers that end while they are sent messages.

use {
    glade_wire::Outbox,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// What a socket says first that takes messages.
const GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 81, 0, 0];
/// Peers, each of which is dialled several times a second.
const PEERS: usize = 200;
/// Pause between messages to the same peer.
const SEND_EVERY: Duration = Duration::from_millis(1);
/// Time for which an outbox sends messages; nng soon dials such peers only once a second.
const ROUND_TIME: Duration = Duration::from_millis(500);
const ROUNDS: usize = 20;

/// A peer that closes each connection after a message or a few.
fn spawn_peer() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    thread::spawn(move || {
        for (position, stream) in listener.incoming().enumerate() {
            stream.and_then(|stream| take_some(stream, position % 5)).unwrap_or_default();
        }
    });
    addr
}

fn take_some(mut stream: TcpStream, reads: usize) -> std::io::Result<()> {
    stream.write_all(&GREETING)?;
    let mut bytes = [0; 64];
    for _ in 0..reads {
        let _len = stream.read(&mut bytes)?;
    }
    Ok(())
}

/// nng once wrote to a connection after it had been freed, and ended the process.
#[test]
fn a_sender_outlives_peers_that_end() {
    let peers: Vec<SocketAddr> = (0..PEERS).map(|_| spawn_peer()).collect();
    for _ in 0..ROUNDS {
        let mut outbox = Outbox::new();
        let began = Instant::now();
        while began.elapsed() < ROUND_TIME {
            for peer in &peers {
                // Most are dropped: the peer isn't connected.
                let _ = outbox.send_frame(*peer, &[7; 200]);
            }
            thread::sleep(SEND_EVERY);
        }
    }
}
