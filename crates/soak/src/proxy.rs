//! A loopback proxy that spoils connections.

use {
    std::{future::pending, net::SocketAddr, pin::pin, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        time::sleep,
    },
};

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// What is done to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// They are passed on.
    #[default]
    Open,
    /// Every chunk waits this long, both ways.
    Delayed(Duration),
    /// They are closed, those that run and new ones.
    Reset,
    /// What the server sends is swallowed.
    DeafCallers,
    /// What callers send is swallowed.
    DeafServer,
    /// Both are swallowed; nothing is closed.
    Silent,
}

impl Link {
    fn swallows(self, to_server: bool) -> bool {
        match self {
            Self::Silent => true,
            Self::DeafServer => to_server,
            Self::DeafCallers => !to_server,
            Self::Open | Self::Delayed(_) | Self::Reset => false,
        }
    }
}

/// A running proxy. It ends with its runtime.
#[derive(Clone, Debug)]
pub struct Proxy {
    addr: SocketAddr,
    link: watch::Sender<Link>,
    /// Number of times that the open connections were silenced.
    silenced: watch::Sender<u64>,
}

impl Proxy {
    /// Starts a proxy before `server` on a free port.
    pub async fn bind(server: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a free port");
        let addr = listener.local_addr().expect("a bound socket has an address");
        let (link, seen) = watch::channel(Link::Open);
        let (silenced, seen_silenced) = watch::channel(0);
        tokio::spawn(async move {
            // Ends with the runtime.
            while let Ok((caller, _)) = listener.accept().await {
                let mut silenced = seen_silenced.clone();
                let before = *silenced.borrow_and_update();
                let passing = pass(caller, server, seen.clone());
                tokio::spawn(async move {
                    let mut passing = pin!(passing);
                    tokio::select! {
                        () = passing.as_mut() => return,
                        _ = silenced.wait_for(|now| *now != before) => {}
                    }
                    // Keeps both connections open, and passes nothing on any more.
                    pending::<()>().await;
                });
            }
        });
        Self { addr, link, silenced }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Silences the open connections for good.
    pub fn silence_open(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }

    /// Changes what is done to connections.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }
}

/// Passes one connection on. A network loses packets, but TCP loses no byte in the middle: once
/// something was swallowed, the connection passes nothing more and is closed when the link changes.
async fn pass(caller: TcpStream, server: SocketAddr, mut link: watch::Receiver<Link>) {
    if *link.borrow() == Link::Reset {
        return;
    }
    // A server that is gone refuses: the caller sees its connection closed.
    let Ok(server) = TcpStream::connect(server).await else { return };
    let ((from_caller, to_caller), (from_server, to_server)) =
        (caller.into_split(), server.into_split());
    let (up, down) = (link.clone(), link.clone());
    tokio::select! {
        () = pump(from_caller, to_server, up, true) => {}
        () = pump(from_server, to_caller, down, false) => {}
        _ = link.wait_for(|link| *link == Link::Reset) => {}
    }
}

/// Passes bytes on in one direction, until either end closes or nothing more can be passed.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    to_server: bool,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        // An error is an end like any other.
        let Ok(len @ 1..) = from.read(&mut chunk).await else { return };
        let present = *link.borrow_and_update();
        if let Link::Delayed(time) = present {
            sleep(time).await;
        }
        if present.swallows(to_server) {
            // The sender is gone only with the proxy.
            let _ = link.changed().await;
            return;
        }
        if to.write_all(&chunk[..len]).await.is_err() {
            return;
        }
    }
}
