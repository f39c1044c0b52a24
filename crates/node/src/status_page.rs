//! Minimal HTTP server for a node's readiness, service discovery and metrics pages.

use {
    bytes::Bytes,
    glade_budget::{Account, Budget, CallerStream, Port},
    glade_process::keep_running,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::sleep,
    },
};

/// Time without a request after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest request head. Pages are asked for in short ones.
const BUFFER_BYTES_MAX: usize = 8 << 10;
/// Pause after a connection couldn't be accepted, usually because file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Response of a page.
pub(crate) type PageResponse = Response<Full<Bytes>>;

/// Function that answers the requests of a page.
pub(crate) type Page = Rc<dyn Fn(&Request<Incoming>) -> PageResponse>;

/// Binds `addr` and serves `page` there in local tasks of the current thread.
///
/// # Errors
///
/// The address can't be bound.
pub(crate) async fn bind_page(
    addr: SocketAddr,
    budget: &Arc<Budget>,
    page: Page,
) -> io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    let budget = Arc::clone(budget);
    spawn_local(keep_running("accept", async move || accept(&listener, &budget, &page).await));
    Ok(())
}

/// Returns a response without a body.
pub(crate) fn empty_response(status: StatusCode) -> PageResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

async fn accept(listener: &TcpListener, budget: &Arc<Budget>, page: &Page) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let account = budget.open_account(Port::Pages, peer.ip()).await;
                spawn_local(serve(stream, account, Rc::clone(page)));
            }
            Err(err) => {
                log::warn!(reason = err.to_string().as_str(); "accept_failed");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, account: Account, page: Page) {
    let service = service_fn(|req| {
        let response = page(&req);
        async move { Ok::<_, Infallible>(response) }
    });
    let stream = CallerStream::new(stream, account.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .max_buf_size(BUFFER_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        served = connection => served,
        () = account.evicted() => return,
    };
    if let Err(err) = served {
        log::debug!(reason = err.to_string().as_str(); "page_connection_ended");
    }
}
