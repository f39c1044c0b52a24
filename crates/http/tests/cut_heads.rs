//! Answers to calls and orders that end inside their heads.

use {
    glade_http::Pool,
    glade_types::CallOutcome,
    http_body_util::Full,
    hyper::Request,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        runtime,
    },
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of a call on a new connection that is answered by `text` and then closed.
async fn outcome(text: &'static str) -> Option<CallOutcome> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    let server = tokio::spawn(async move {
        let (mut stream, _peer) = listener.accept().await.expect("a connection");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(text.as_bytes()).await;
    });
    let req = Request::post("/order").body(Full::from("{}")).expect("a request");
    let answer = Pool::new().fetch_on_new(addr, req, TIMEOUT).await;
    server.await.expect("the server ends");
    answer.err().map(|err| err.outcome())
}

#[test]
fn an_answer_that_ends_inside_its_head_is_an_unknown_outcome() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for text in [
        "HTTP/1.1 2",
        "HTTP/1.1 202 Accepted",
        "HTTP/1.1 202 Accepted\r\n",
        "HTTP/1.1 202 Accepted\r\ncontent-length: 0",
        "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r",
        "HTTP/1.1 202 Accepted\r\ncontent-length: 1\r\n\r\n",
        "HTTP/1.1 202 Accepted\r\ntransfer-encoding: chunked\r\n\r\n1",
        "HTTP/1.0 202 Accepted\r\ncontent-le",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 202 Acc",
    ] {
        assert_eq!(runtime.block_on(outcome(text)), Some(CallOutcome::Unknown), "{text:?}");
    }
}
