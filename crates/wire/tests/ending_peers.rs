//! Sends messages to peers that keep closing their connections, and receives from such peers.

use {
    glade_wire::{Inbox, Outbox},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::runtime::Runtime,
};

/// Handshake that a pull socket of the Scalability Protocols sends first.
const PULL_HANDSHAKE: [u8; 8] = [0, b'S', b'P', 0, 0, 81, 0, 0];
/// Handshake that a push socket sends first.
const PUSH_HANDSHAKE: [u8; 8] = [0, b'S', b'P', 0, 0, 80, 0, 0];
/// Number of peers. The outbox connects to each of them several times a second.
const PEERS: usize = 200;
/// Pause between messages to the same peer.
const SEND_INTERVAL: Duration = Duration::from_millis(1);
/// Time for which one outbox sends messages. Each round has an outbox of its own, because an outbox
/// waits longer and longer before it connects again.
const ROUND_TIME: Duration = Duration::from_millis(500);
const ROUNDS: usize = 20;
/// Connections of peers that end in the middle of something.
const BROKEN_CONNECTIONS: usize = 4000;
/// Longest wait for a message of a sound peer.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(60);

/// Starts a peer that closes each connection after a few reads or none.
fn spawn_closing_peer() -> SocketAddr {
    spawn_peer(|stream, idx| read_and_close(stream, idx % 5))
}

/// Starts a peer that handles its connections, which are numbered, one after the other.
fn spawn_peer(handle: fn(TcpStream, usize) -> std::io::Result<()>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    thread::spawn(move || {
        for (idx, stream) in listener.incoming().enumerate() {
            stream.and_then(|stream| handle(stream, idx)).unwrap_or_default();
        }
    });
    addr
}

/// Sends the beginning of a handshake, up to all of it, or another protocol's bytes, and closes the
/// connection.
fn break_handshake(mut stream: TcpStream, idx: usize) -> std::io::Result<()> {
    match idx % 11 {
        len @ 0..9 => stream.write_all(&PULL_HANDSHAKE[..len]),
        9 => stream.write_all(&PUSH_HANDSHAKE),
        _ => stream.write_all(b"HTTP/1.1 400 Bad Request\r\n\r\n"),
    }
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
    send_to((0..PEERS).map(|_| spawn_closing_peer()).collect());
}

#[test]
fn a_sender_outlives_peers_that_end_at_any_byte_of_the_handshake() {
    send_to((0..PEERS).map(|_| spawn_peer(break_handshake)).collect());
}

/// Sends to `peers` and, at the end of each round, to a sound peer.
fn send_to(peers: Vec<SocketAddr>) {
    let runtime = Runtime::new().expect("a runtime");
    let (_inbox, sound, count) = counting_inbox(&runtime, b'!');
    for round in 0..ROUNDS {
        let mut outbox = Outbox::new(runtime.handle().clone());
        let started_at = Instant::now();
        while started_at.elapsed() < ROUND_TIME {
            for peer in &peers {
                // Most messages are dropped because the peer isn't connected.
                let _ = outbox.send_frame(*peer, &[7; 200]);
            }
            thread::sleep(SEND_INTERVAL);
        }
        outbox.send_frame(sound, b"!").expect("an empty queue has room");
        eventually("the message of a sound peer arrives", || {
            count.load(Ordering::Relaxed) == round + 1
        });
    }
}

/// An inbox that counts the frames that begin with `mark`.
fn counting_inbox(runtime: &Runtime, mark: u8) -> (Inbox, SocketAddr, Arc<AtomicUsize>) {
    let addr = {
        let free = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        free.local_addr().expect("a bound socket has an address")
    };
    let count = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&count);
    let inbox = Inbox::bind_frames(runtime.handle(), addr, move |frame| {
        counter.fetch_add(usize::from(frame.first() == Some(&mark)), Ordering::Relaxed);
        Ok(())
    });
    (inbox.expect("the address is free"), addr, count)
}

fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < DELIVERY_TIMEOUT, "never: {what}");
        thread::sleep(SEND_INTERVAL);
    }
}

/// What a peer sends before it ends: every prefix of a handshake and two frames, and bytes that no
/// peer should send.
fn broken_openings() -> Vec<Vec<u8>> {
    let mut whole = PUSH_HANDSHAKE.to_vec();
    for _ in 0..2 {
        whole.extend_from_slice(&5_u64.to_be_bytes());
        whole.extend_from_slice(b"hello");
    }
    let mut openings: Vec<Vec<u8>> = (0..=whole.len()).map(|len| whole[..len].to_vec()).collect();
    let too_long = |len: u64| [&PUSH_HANDSHAKE[..], &len.to_be_bytes(), &[0; 40]].concat();
    openings.extend([too_long(u64::MAX), too_long(1 << 40), too_long((4 << 20) + 1)]);
    openings.extend([PULL_HANDSHAKE.to_vec(), b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![0xff; 300]]);
    openings
}

#[test]
fn an_inbox_outlives_peers_that_end_in_the_middle_of_handshakes_and_frames() {
    let runtime = Runtime::new().expect("a runtime");
    let (_inbox, addr, count) = counting_inbox(&runtime, b'!');
    let openings = broken_openings();
    for idx in 0..BROKEN_CONNECTIONS {
        let mut stream = TcpStream::connect(addr).expect("the inbox accepts connections");
        // The inbox may have closed the connection already.
        let _ = stream.write_all(&openings[idx % openings.len()]);
        if idx % 2 == 0 {
            let _ = stream.read(&mut [0; 8]);
        }
    }
    let mut outbox = Outbox::new(runtime.handle().clone());
    outbox.send_frame(addr, b"!").expect("an empty queue has room");
    eventually("the message of a sound peer arrives", || count.load(Ordering::Relaxed) == 1);
}

/// A peer's bytes without end must not be kept.
#[test]
fn an_inbox_closes_connections_on_which_a_frame_or_a_handshake_has_no_end() {
    const SENT_BYTES_MAX: usize = 32 << 20;
    let runtime = Runtime::new().expect("a runtime");
    let (_inbox, addr, _count) = counting_inbox(&runtime, b'!');
    let frame = [&PUSH_HANDSHAKE[..], &u64::MAX.to_be_bytes()].concat();
    for opening in [&frame[..], b"GET / HTTP/1.1\r\nname: ", &[]] {
        let mut stream = TcpStream::connect(addr).expect("the inbox accepts connections");
        let piece = [b'x'; 64 << 10];
        let mut sent = 0;
        let mut is_open = stream.write_all(opening).is_ok();
        while is_open && sent <= SENT_BYTES_MAX {
            is_open = stream.write_all(&piece).is_ok();
            sent += piece.len();
        }
        assert!(!is_open, "{sent} bytes after {opening:?}");
    }
}

/// Connections that have announced a frame of `frame_bytes` and sent a part of it.
fn stall_in_frames(addr: SocketAddr, connections: usize, frame_bytes: u64) -> Vec<TcpStream> {
    let open = |_| {
        let mut stream = TcpStream::connect(addr).expect("the inbox accepts connections");
        let opening = [&PUSH_HANDSHAKE[..], &frame_bytes.to_be_bytes(), &[0; 1000]].concat();
        stream.write_all(&opening).expect("the inbox reads");
        stream
    };
    (0..connections).map(open).collect()
}

#[test]
fn an_inbox_receives_small_and_large_frames_while_other_peers_stop_in_large_ones() {
    let runtime = Runtime::new().expect("a runtime");
    let (_inbox, addr, count) = counting_inbox(&runtime, b'!');
    let stalled = stall_in_frames(addr, 20, 1 << 20);
    let mut outbox = Outbox::new(runtime.handle().clone());
    outbox.send_frame(addr, b"!").expect("an empty queue has room");
    outbox.send_frame(addr, &[b'!'; 100_000]).expect("an empty queue has room");
    eventually("the messages of a sound peer arrive", || count.load(Ordering::Relaxed) == 2);
    drop(stalled);
}

#[test]
fn an_inbox_receives_from_a_sound_peer_although_stale_connections_fill_it() {
    let runtime = Runtime::new().expect("a runtime");
    let (_inbox, addr, count) = counting_inbox(&runtime, b'!');
    let stale: Vec<TcpStream> =
        (0..600).map(|_| TcpStream::connect(addr).expect("the backlog has room")).collect();
    let mut outbox = Outbox::new(runtime.handle().clone());
    outbox.send_frame(addr, b"!").expect("an empty queue has room");
    eventually("the message of a sound peer arrives", || count.load(Ordering::Relaxed) == 1);
    drop(stale);
}

#[test]
fn peers_that_do_not_read_take_no_room_from_others_and_a_bounded_part_of_memory() {
    const FRAME_BYTES: usize = 30_000;
    const PEERS: usize = 300;
    let runtime = Runtime::new().expect("a runtime");
    let (_inbox, sound, count) = counting_inbox(&runtime, b'!');
    let deaf: Vec<TcpListener> =
        (0..PEERS).map(|_| TcpListener::bind(("127.0.0.1", 0)).expect("a free port")).collect();
    let addrs: Vec<SocketAddr> =
        deaf.iter().map(|peer| peer.local_addr().expect("a bound address")).collect();
    let mut outbox = Outbox::new(runtime.handle().clone());
    let mut queued_bytes = 0;
    for _ in 0..200 {
        for addr in &addrs {
            if outbox.send_frame(*addr, &[7; FRAME_BYTES]).is_ok() {
                queued_bytes += FRAME_BYTES;
            }
        }
    }
    let bytes_max = (16 << 20) + PEERS * (64 << 10);
    assert!((1 << 20..=bytes_max).contains(&queued_bytes), "{queued_bytes} bytes are queued");
    outbox.send_frame(sound, &[b'!'; FRAME_BYTES]).expect("a peer has room of its own");
    eventually("the message of a sound peer arrives", || count.load(Ordering::Relaxed) == 1);
}
