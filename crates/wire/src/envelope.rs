//! The frame around every message.

use {
    crate::{
        error::WireError,
        message::{Message, PeerId},
    },
    serde::{Deserialize, Serialize},
};

/// Version of the message format. A change that older processes can't read raises it.
pub const FORMAT_VERSION: u16 = 1;

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Envelope {
    /// The sender.
    pub from: PeerId,
    /// The message.
    pub message: Message,
}

impl Envelope {
    /// Encodes the envelope: two bytes of format version, then postcard.
    pub fn encode(&self) -> Vec<u8> {
        let buf = FORMAT_VERSION.to_le_bytes().to_vec();
        postcard::to_extend(self, buf).expect("messages are plain data of known size")
    }

    /// Decodes an envelope.
    ///
    /// # Errors
    ///
    /// The bytes have another version or aren't an envelope.
    pub fn decode(bytes: &[u8]) -> Result<Self, WireError> {
        let (head, body) = bytes.split_at_checked(2).ok_or(WireError::Undecodable)?;
        let version = u16::from_le_bytes([head[0], head[1]]);
        if version != FORMAT_VERSION {
            return Err(WireError::OtherVersion { version });
        }
        postcard::from_bytes(body).map_err(|_| WireError::Undecodable)
    }
}

#[cfg(test)]
mod tests {
    use {
        super::*,
        crate::message::Role,
        glade_types::{Incarnation, VmId},
        quickcheck::quickcheck,
    };

    fn envelope(version: u64) -> Envelope {
        let from = PeerId { vm: VmId::new("vm-1"), role: Role::Entry, incarnation: Incarnation(7) };
        Envelope { from, message: Message::TableHead { version } }
    }

    #[test]
    fn another_version_is_told_apart_from_garbage() {
        let mut bytes = envelope(3).encode();
        assert_eq!(Envelope::decode(&bytes), Ok(envelope(3)));
        bytes[0] = 9;
        assert_eq!(Envelope::decode(&bytes), Err(WireError::OtherVersion { version: 9 }));
        assert_eq!(Envelope::decode(&[1]), Err(WireError::Undecodable));
    }

    quickcheck! {
        fn garbage_never_panics(bytes: Vec<u8>) -> bool {
            let framed: Vec<u8> = FORMAT_VERSION.to_le_bytes().into_iter().chain(bytes).collect();
            Envelope::decode(&framed).is_ok() || Envelope::decode(&framed).is_err()
        }
    }
}
