//! Engines that write an earlier answer once more in the place of the answer to an order.

use {
    glade_engine::{Engine, FencingToken, HttpEngine, Order, OrderKind, OrderOutcome},
    glade_types::{BackendId, Incarnation, ModelName},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        thread,
        time::Duration,
    },
    tokio::runtime::Runtime,
};

const METRICS: &str =
    "HTTP/1.1 200 OK\r\ncontent-length: 31\r\n\r\nprocess_start_time_seconds 1.0\n";
const DONE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

/// Serves one connection with `answers`, one for each request.
fn serve(answers: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    thread::spawn(move || {
        let (mut stream, _peer) = listener.accept().expect("a connection");
        for answer in answers {
            let mut request = [0; 4096];
            let length = stream.read(&mut request).expect("a request");
            assert!(length > 0);
            stream.write_all(answer.as_bytes()).expect("the connection is open");
        }
        // Keeps the connection open until the other side closes it.
        let _ = stream.read(&mut [0; 1]);
    });
    addr
}

fn outcome(answers: &'static [&'static str]) -> OrderOutcome {
    let order = Order {
        engine: BackendId::new("engine"),
        incarnation: Incarnation(1_000),
        token: FencingToken(1),
        model: ModelName::new("m0"),
        kind: OrderKind::Unload,
    };
    let engine = HttpEngine::new(serve(answers), Duration::from_secs(10));
    Runtime::new().expect("a runtime can be started").block_on(engine.execute(&order))
}

#[test]
fn earlier_metrics_written_once_more_dont_confirm_an_order() {
    assert_eq!(outcome(&[METRICS, METRICS]), OrderOutcome::Unknown);
}

#[test]
fn an_order_is_done_when_its_own_answer_says_so() {
    assert_eq!(outcome(&[METRICS, DONE]), OrderOutcome::Done);
}
