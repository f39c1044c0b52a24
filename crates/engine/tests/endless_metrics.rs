//! Engines whose metrics don't end when an order is due.

use {
    glade_engine::{Engine, FencingToken, HttpEngine, Order, OrderKind, OrderOutcome},
    glade_types::{BackendId, Incarnation, ModelName},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        sync::mpsc::{Receiver, channel},
        thread,
        time::Duration,
    },
    tokio::runtime::Runtime,
};

const METRICS_LINE: &str = "process_start_time_seconds 1.0\n";
const LINES_IN_PIECE: usize = 1 << 10;
/// What the engine may have written when its caller closes: the limit on an answer, and what both
/// sides buffer.
const SENT_BYTES_MAX: usize = 48 << 20;

/// Serves one connection with metrics without end. The receiver gets the number of bytes written
/// once the connection is closed.
fn spawn_engine() -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    let (sender, receiver) = channel();
    thread::spawn(move || {
        let (mut stream, _peer) = listener.accept().expect("a connection");
        let length = stream.read(&mut [0; 4096]).expect("a request");
        assert!(length > 0);
        let piece = METRICS_LINE.repeat(LINES_IN_PIECE);
        let mut sent = 0;
        let mut is_open = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").is_ok();
        while is_open && sent <= SENT_BYTES_MAX {
            is_open = stream.write_all(piece.as_bytes()).is_ok();
            sent += piece.len();
        }
        sender.send(sent).expect("the test waits");
    });
    (addr, receiver)
}

/// The planner kept all metrics that a faulty engine sent before an order.
#[test]
fn metrics_without_end_before_an_order_are_broken_off_and_it_is_not_sent() {
    let (addr, sent) = spawn_engine();
    let order = Order {
        engine: BackendId::new("engine"),
        incarnation: Incarnation(1_000),
        token: FencingToken(1),
        model: ModelName::new("m0"),
        kind: OrderKind::Unload,
    };
    let engine = HttpEngine::new(addr, Duration::from_secs(10));
    let runtime = Runtime::new().expect("a runtime can be started");
    assert_eq!(runtime.block_on(engine.execute(&order)), OrderOutcome::NotSent);
    let sent = sent.recv_timeout(Duration::from_secs(10)).expect("the connection is closed");
    assert!(sent <= SENT_BYTES_MAX, "{sent} bytes");
}
