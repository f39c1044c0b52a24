//! A port that is served over HTTP, with the budget's accounts for its connections.

use {
    crate::{accounts::Accounts, api_error::ApiError, entry_stream::EntryStream},
    glade_budget::{Account, Budget, Port as BudgetPort},
    glade_http::{BodyExt, Bytes},
    http_body_util::combinators::BoxBody,
    poem::{
        Addr, Body, Endpoint, Request, Response,
        http::uri::Scheme,
        listener::Acceptor,
        web::{LocalAddr, RemoteAddr},
    },
    std::{io, net::SocketAddr, sync::Arc},
    tokio::{net::TcpListener, sync::oneshot, task::JoinHandle},
};

/// A running port. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct Port {
    close: oneshot::Sender<()>,
    served: JoinHandle<()>,
}

/// Accepts connections once the budget has a slot for them.
#[derive(Debug)]
struct BudgetAcceptor {
    listener: TcpListener,
    local_addr: LocalAddr,
    budget: Arc<Budget>,
    port: BudgetPort,
    accounts: Accounts,
    next_number: u64,
    /// An accepted connection that waits for its slot; `accept` may be cancelled.
    accepted: Option<(tokio::net::TcpStream, SocketAddr)>,
}

impl Acceptor for BudgetAcceptor {
    type Io = EntryStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![self.local_addr.clone()]
    }

    async fn accept(&mut self) -> io::Result<(EntryStream, LocalAddr, RemoteAddr, Scheme)> {
        if self.accepted.is_none() {
            self.accepted = Some(self.listener.accept().await?);
        }
        let peer = self.accepted.as_ref().map(|(_, peer)| peer.ip());
        let source = peer.unwrap_or_else(|| std::net::IpAddr::from([0, 0, 0, 0]));
        let account = self.budget.open_account(self.port, source).await;
        let (stream, peer) = self.accepted.take().ok_or(io::ErrorKind::NotConnected)?;
        self.next_number += 1;
        let registration = self.accounts.register(peer, self.next_number, account.clone());
        let stream = EntryStream::new(stream, account, registration);
        Ok((stream, self.local_addr.clone(), RemoteAddr(peer.into()), Scheme::HTTP))
    }
}

/// Passes each request on with the account of its connection.
#[derive(Debug)]
struct AccountedEndpoint<E> {
    inner: E,
    accounts: Accounts,
}

/// Marks the connection as idle once its answer has been passed on.
#[derive(Debug)]
struct IdleOnDrop(Account);

impl Drop for IdleOnDrop {
    fn drop(&mut self) {
        // The reader of a body that gave way has its answer still to be written.
        if !self.0.is_reading() {
            self.0.enter_idle();
        }
    }
}

impl<E: Endpoint<Output = Response>> Endpoint for AccountedEndpoint<E> {
    type Output = Response;

    async fn call(&self, mut req: Request) -> poem::Result<Response> {
        let account = match &req.remote_addr().0 {
            Addr::SocketAddr(addr) => self.accounts.get(*addr),
            _ => None,
        };
        let Some(account) = account else {
            // The connection has ended meanwhile.
            let message = "the connection has ended; not run".to_owned();
            let retry_after = std::time::Duration::from_secs(1);
            return Ok(ApiError::NotRun { message, retry_after }.to_response());
        };
        account.enter_serving();
        req.extensions_mut().insert(account.clone());
        let idle = IdleOnDrop(account);
        let mut response = self.inner.call(req).await?;
        let body: BoxBody<Bytes, io::Error> = response.take_body().into();
        let body = body.map_err(move |err| {
            let _ = &idle;
            err
        });
        response.set_body(Body::from(body.boxed()));
        Ok(response)
    }
}

impl Port {
    /// Binds `addr` and serves it with `endpoint`, which finds the connection's [`Account`] with the request.
    pub(crate) async fn bind<E>(
        addr: SocketAddr,
        budget: &Arc<Budget>,
        port: BudgetPort,
        endpoint: E,
    ) -> io::Result<Self>
    where
        E: Endpoint<Output = Response> + 'static,
    {
        let listener = TcpListener::bind(addr).await?;
        let accounts = Accounts::default();
        let acceptor = BudgetAcceptor {
            local_addr: LocalAddr(listener.local_addr()?.into()),
            listener,
            budget: Arc::clone(budget),
            port,
            accounts: accounts.clone(),
            next_number: 0,
            accepted: None,
        };
        let endpoint = AccountedEndpoint { inner: endpoint, accounts };
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
