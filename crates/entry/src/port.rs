//! A port that is served over HTTP.

use {
    poem::{Endpoint, Response, listener::TcpAcceptor},
    std::{io, net::SocketAddr},
    tokio::{net::TcpListener, sync::oneshot, task::JoinHandle},
};

/// A running port. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct Port {
    close: oneshot::Sender<()>,
    served: JoinHandle<()>,
}

impl Port {
    /// Binds `addr` and serves it with `endpoint`.
    pub(crate) async fn bind<E>(addr: SocketAddr, endpoint: E) -> io::Result<Self>
    where
        E: Endpoint<Output = Response> + 'static,
    {
        let listener = TcpListener::bind(addr).await?;
        let acceptor = TcpAcceptor::from_tokio(listener)?;
        let (close, closing) = oneshot::channel::<()>();
        let closed = async {
            // Also ends when the sender is dropped.
            let _ = closing.await;
        };
        let served = tokio::spawn(async move {
            let server = poem::Server::new_with_acceptor(acceptor);
            if let Err(err) = server.run_with_graceful_shutdown(endpoint, closed, None).await {
                log::error!("port {addr}: {err}");
            }
        });
        Ok(Self { close, served })
    }

    /// Takes no more connections and closes each open one once its answer has been written out.
    /// Returns when all are closed.
    pub(crate) async fn close(self) {
        drop(self.close);
        if let Err(err) = self.served.await {
            log::error!("port: {err}");
        }
    }
}
