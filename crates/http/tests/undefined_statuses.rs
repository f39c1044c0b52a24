//! Answers whose status isn't one that a final answer can have.

use {
    glade_http::{HttpError, Pool},
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

/// Status of the answer to a call that is answered with `status`.
async fn answer_status(status: &'static str) -> Result<u16, HttpError> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
    let addr = listener.local_addr().expect("a bound socket has an address");
    let server = tokio::spawn(async move {
        let (mut stream, _peer) = listener.accept().await.expect("a connection");
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await;
        let answer = format!("HTTP/1.1 {status} Status\r\ncontent-length: 2\r\n\r\nok");
        let _ = stream.write_all(answer.as_bytes()).await;
    });
    let req = Request::post("/order").body(Full::from("{}")).expect("a request");
    let answer = Pool::new().fetch_on_new(addr, req, TIMEOUT).await;
    server.await.expect("the server ends");
    answer.map(|answer| answer.status.as_u16())
}

#[test]
fn an_answer_with_an_undefined_status_is_an_unknown_outcome() {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    for status in ["000", "001", "099", "101", "600", "777", "999", "0", "-1", "20", "2000"] {
        let answer = runtime.block_on(answer_status(status));
        let outcome = answer.as_ref().map_err(HttpError::outcome);
        assert_eq!(outcome, Err(glade_types::CallOutcome::Unknown), "{status}: {answer:?}");
    }
    for status in ["200", "299", "404", "451", "599"] {
        let answer = runtime.block_on(answer_status(status));
        assert_eq!(answer.map(|status| status.to_string()).as_deref(), Ok(status));
    }
}
