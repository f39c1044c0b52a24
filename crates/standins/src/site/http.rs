//! HTTP connections of stand-ins.

use {
    crate::site::earlier_answer::RawWriter,
    bytes::Bytes,
    http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Frame, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, future::Future, io, net::SocketAddr, sync::Arc},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc::Receiver,
        task::{JoinHandle, JoinSet},
    },
};

/// Body of a stand-in's answer; an error breaks the connection.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// What becomes of a request: an answer, or a connection that is closed without one.
pub(crate) type Handled = Result<Response<Body>, io::Error>;

/// Serves `listener` until the returned task is aborted, which breaks all connections.
pub(crate) fn serve<F, H>(listener: TcpListener, handle: F) -> JoinHandle<()>
where
    F: Fn(Request<Incoming>) -> H + Send + Sync + 'static,
    H: Future<Output = Handled> + Send + 'static,
{
    let handle = Arc::new(handle);
    tokio::spawn(async move {
        // Aborts its connections when it is dropped.
        let mut connections = JoinSet::new();
        while let Ok((stream, _peer)) = listener.accept().await {
            let handle = Arc::clone(&handle);
            connections.spawn(async move {
                let Ok((stream, writer)) = with_writer(stream) else { return };
                let service = service_fn(move |mut req: Request<Incoming>| {
                    writer.count_request();
                    req.extensions_mut().insert(writer.clone());
                    handle(req)
                });
                // A broken connection is the other side's to notice.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}

fn with_writer(stream: TcpStream) -> io::Result<(TcpStream, RawWriter)> {
    let stream = stream.into_std()?;
    let writer = RawWriter::new(stream.try_clone()?);
    Ok((TcpStream::from_std(stream)?, writer))
}

/// Binds `addr`.
///
/// # Panics
///
/// The address is taken.
pub(crate) async fn listen(addr: SocketAddr) -> TcpListener {
    TcpListener::bind(addr).await.unwrap_or_else(|err| panic!("can't listen on {addr}: {err}"))
}

pub(crate) fn whole(status: StatusCode, bytes: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(bytes)).map_err(never).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// A body that arrives piece by piece.
pub(crate) fn pieces(mut pieces: Receiver<io::Result<Bytes>>) -> Body {
    let frames = futures_util::stream::poll_fn(move |cx| pieces.poll_recv(cx));
    let frames = futures_util::StreamExt::map(frames, |piece| piece.map(Frame::data));
    BodyExt::boxed(StreamBody::new(frames))
}

pub(crate) fn broken() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "broken on purpose")
}

fn never(never: Infallible) -> io::Error {
    match never {}
}
