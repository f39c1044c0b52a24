//! Exchanges messages with nng sockets, which nodes of earlier versions have.

use {
    glade_wire::{Inbox, Outbox},
    nng::{
        Protocol, Socket,
        options::{Options, RecvTimeout},
    },
    std::{
        net::{SocketAddr, TcpListener},
        sync::mpsc::{Receiver, channel},
        thread,
        time::{Duration, Instant},
    },
    tokio::runtime::Runtime,
};

/// Lengths of messages, in bytes: empty, small, around the sizes of buffers, and a long one.
const LENGTHS: [usize; 8] = [0, 1, 7, 200, 2_047, 2_049, 65_537, 700_000];
/// Longest wait for a message.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause before another attempt.
const RETRY_DELAY: Duration = Duration::from_millis(20);

fn free_addr() -> SocketAddr {
    let free = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    free.local_addr().expect("a bound socket has an address")
}

fn message(len: usize) -> Vec<u8> {
    (0..len).map(|idx| (idx % 251) as u8).collect()
}

/// A pull socket of nng that listens on `addr`.
fn nng_inbox(addr: SocketAddr) -> Socket {
    let socket = Socket::new(Protocol::Pull0).expect("a socket");
    socket.set_opt::<RecvTimeout>(Some(DELIVERY_TIMEOUT)).expect("an option of all sockets");
    socket.listen(&format!("tcp://{addr}")).expect("the address is free");
    socket
}

/// A push socket of nng that connects to `addr`.
fn nng_outbox(addr: SocketAddr) -> Socket {
    let socket = Socket::new(Protocol::Push0).expect("a socket");
    socket.dial_async(&format!("tcp://{addr}")).expect("a valid address");
    socket
}

fn inbox(runtime: &Runtime, addr: SocketAddr) -> (Inbox, Receiver<Vec<u8>>) {
    let (sender, receiver) = channel();
    let inbox = Inbox::bind_frames(runtime.handle(), addr, move |frame| {
        // The test may have ended.
        let _ = sender.send(frame.to_vec());
        Ok(())
    });
    (inbox.expect("the address is free"), receiver)
}

#[test]
fn a_node_of_an_earlier_version_receives_what_this_one_sends() {
    let runtime = Runtime::new().expect("a runtime");
    let addr = free_addr();
    let earlier = nng_inbox(addr);
    let mut outbox = Outbox::new(runtime.handle().clone());
    for len in LENGTHS {
        outbox.send_frame(addr, &message(len)).expect("the queue has room");
        assert_eq!(earlier.recv().expect("the message arrives").as_slice(), message(len));
    }
}

#[test]
fn this_version_receives_what_a_node_of_an_earlier_one_sends() {
    let runtime = Runtime::new().expect("a runtime");
    let addr = free_addr();
    let (_inbox, received) = inbox(&runtime, addr);
    let earlier = nng_outbox(addr);
    for len in LENGTHS {
        earlier.send(message(len).as_slice()).expect("the socket sends");
        let arrived = received.recv_timeout(DELIVERY_TIMEOUT).expect("the message arrives");
        assert_eq!(arrived, message(len));
    }
}

#[test]
fn messages_arrive_after_this_version_was_replaced_by_an_earlier_one() {
    let runtime = Runtime::new().expect("a runtime");
    let addr = free_addr();
    let (this_inbox, received) = inbox(&runtime, addr);
    let mut outbox = Outbox::new(runtime.handle().clone());
    outbox.send_frame(addr, b"first").expect("the queue has room");
    assert_eq!(received.recv_timeout(DELIVERY_TIMEOUT).as_deref(), Ok(&b"first"[..]));
    drop((this_inbox, received));

    let earlier = Socket::new(Protocol::Pull0).expect("a socket");
    eventually("the address is free", || earlier.listen(&format!("tcp://{addr}")).is_ok());
    eventually("a message arrives", || {
        // A message that is under way when its receiver ends is lost.
        let _ = outbox.send_frame(addr, b"second");
        earlier.try_recv().is_ok_and(|message| message.as_slice() == b"second")
    });
}

#[test]
fn messages_arrive_after_an_earlier_version_was_replaced_by_this_one() {
    let runtime = Runtime::new().expect("a runtime");
    let addr = free_addr();
    let earlier_inbox = nng_inbox(addr);
    let earlier_outbox = nng_outbox(addr);
    earlier_outbox.send(&b"first"[..]).expect("the socket sends");
    assert_eq!(earlier_inbox.recv().expect("the message arrives").as_slice(), b"first");
    drop(earlier_inbox);

    let (sender, received) = channel();
    let mut this_inbox = None;
    eventually("the address is free", || {
        let sender = sender.clone();
        let bound = Inbox::bind_frames(runtime.handle(), addr, move |frame| {
            // The test may have ended.
            let _ = sender.send(frame.to_vec());
            Ok(())
        });
        this_inbox = bound.ok();
        this_inbox.is_some()
    });
    eventually("a message arrives", || {
        // A message that is under way when its receiver ends is lost.
        earlier_outbox.send(&b"second"[..]).expect("the socket sends");
        received.recv_timeout(RETRY_DELAY).is_ok_and(|message| message == b"second")
    });
}

fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < DELIVERY_TIMEOUT, "never: {what}");
        thread::sleep(RETRY_DELAY);
    }
}
