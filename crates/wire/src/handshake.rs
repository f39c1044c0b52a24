//! The handshake that opens a connection of the Scalability Protocols over TCP.

use {
    std::{io, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Length of the handshake, in bytes.
const HANDSHAKE_LEN: usize = 8;
/// Time limit for the peer's handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);

/// End of a pipeline, with the number that the Scalability Protocols give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PipelineEnd {
    /// Sends messages.
    Push = 0x50,
    /// Receives messages.
    Pull = 0x51,
}

impl PipelineEnd {
    /// The end that this one exchanges messages with.
    fn other(self) -> Self {
        match self {
            Self::Push => Self::Pull,
            Self::Pull => Self::Push,
        }
    }

    /// The handshake that this end sends: a zero byte, "SP", the version, the protocol's number and two
    /// reserved bytes.
    fn handshake(self) -> [u8; HANDSHAKE_LEN] {
        [0, b'S', b'P', 0, 0, self as u8, 0, 0]
    }

    /// Exchanges handshakes with a peer that must be the other end.
    ///
    /// # Errors
    ///
    /// The connection breaks, the peer isn't the other end of a pipeline, or its handshake doesn't
    /// arrive within [`HANDSHAKE_TIMEOUT`].
    pub(crate) async fn shake_hands(self, stream: &mut TcpStream) -> io::Result<()> {
        let exchange = async {
            stream.write_all(&self.handshake()).await?;
            let mut received = [0; HANDSHAKE_LEN];
            stream.read_exact(&mut received).await?;
            if received == self.other().handshake() {
                Ok(())
            } else {
                Err(io::Error::new(io::ErrorKind::InvalidData, "peer has another protocol"))
            }
        };
        timeout(HANDSHAKE_TIMEOUT, exchange).await?
    }
}
