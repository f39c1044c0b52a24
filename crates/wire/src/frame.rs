//! Encodes and decodes frames: two bytes of format version, followed by a message encoded by postcard.
//!
//! A frame may also carry a batch: a header followed by any number of messages. Messages sent to a peer
//! at about the same time are batched so that they cost the peer a single wake-up.

use {
    crate::error::WireError,
    serde::{Serialize, de::DeserializeOwned},
};

const ENCODABLE: &str = "messages are plain data of known size";

/// Version of the message format. Every change that older processes can't decode increments it.
pub const FORMAT_VERSION: u16 = 4;

/// Encodes `message` as a frame.
pub fn encode<M: Serialize>(message: &M) -> Vec<u8> {
    let buf = FORMAT_VERSION.to_le_bytes().to_vec();
    postcard::to_extend(message, buf).expect(ENCODABLE)
}

/// Encodes `message` as one message of a batch, without the format version.
pub fn encode_batch_item<M: Serialize>(message: &M) -> Vec<u8> {
    postcard::to_extend(message, Vec::new()).expect(ENCODABLE)
}

/// Decodes a frame that carries a batch. Returns the header, and each message with its encoded length
/// in bytes.
///
/// # Errors
///
/// The frame has another format version, or the header or one of the messages can't be decoded.
pub fn decode_batch<H: DeserializeOwned, M: DeserializeOwned>(
    bytes: &[u8],
) -> Result<(H, Vec<(M, usize)>), WireError> {
    let (header, mut rest) =
        postcard::take_from_bytes(payload(bytes)?).map_err(|_| WireError::Undecodable)?;
    let mut messages = Vec::new();
    while !rest.is_empty() {
        let (message, remaining) =
            postcard::take_from_bytes(rest).map_err(|_| WireError::Undecodable)?;
        messages.push((message, rest.len() - remaining.len()));
        rest = remaining;
    }
    Ok((header, messages))
}

/// Decodes a frame that carries a single message.
///
/// # Errors
///
/// The frame has another format version, or its payload isn't a message of type `M`.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, WireError> {
    postcard::from_bytes(payload(bytes)?).map_err(|_| WireError::Undecodable)
}

/// Checks the format version and returns the bytes that follow it.
fn payload(bytes: &[u8]) -> Result<&[u8], WireError> {
    let (version, payload) = bytes.split_at_checked(2).ok_or(WireError::Undecodable)?;
    let version = u16::from_le_bytes([version[0], version[1]]);
    if version != FORMAT_VERSION {
        return Err(WireError::OtherVersion { version });
    }
    Ok(payload)
}
