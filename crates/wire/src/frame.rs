//! The frame around every message: two bytes of format version, then postcard.
//!
//! A frame may also be a parcel: a head and any number of messages behind it, so that what goes to one
//! peer at about the same time costs it one wake-up.

use {
    crate::error::WireError,
    serde::{Serialize, de::DeserializeOwned},
};

const ENCODABLE: &str = "messages are plain data of known size";

/// Version of the message format. A change that older processes can't read raises it.
pub const FORMAT_VERSION: u16 = 4;

/// Encodes `message`.
pub fn encode<M: Serialize>(message: &M) -> Vec<u8> {
    let buf = FORMAT_VERSION.to_le_bytes().to_vec();
    postcard::to_extend(message, buf).expect(ENCODABLE)
}

/// Encodes `message` as a part of a parcel.
pub fn encode_batch_item<M: Serialize>(message: &M) -> Vec<u8> {
    postcard::to_extend(message, Vec::new()).expect(ENCODABLE)
}

/// Decodes a parcel: its head, and its messages with their lengths in bytes.
///
/// # Errors
///
/// The bytes have another version, or the head or one of the messages can't be read.
pub fn decode_batch<H: DeserializeOwned, M: DeserializeOwned>(
    bytes: &[u8],
) -> Result<(H, Vec<(M, usize)>), WireError> {
    let (head, mut rest) =
        postcard::take_from_bytes(body(bytes)?).map_err(|_| WireError::Undecodable)?;
    let mut messages = Vec::new();
    while !rest.is_empty() {
        let (message, after) =
            postcard::take_from_bytes(rest).map_err(|_| WireError::Undecodable)?;
        messages.push((message, rest.len() - after.len()));
        rest = after;
    }
    Ok((head, messages))
}

/// Decodes a message.
///
/// # Errors
///
/// The bytes have another version or aren't such a message.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, WireError> {
    postcard::from_bytes(body(bytes)?).map_err(|_| WireError::Undecodable)
}

/// What follows the version.
fn body(bytes: &[u8]) -> Result<&[u8], WireError> {
    let (head, body) = bytes.split_at_checked(2).ok_or(WireError::Undecodable)?;
    let version = u16::from_le_bytes([head[0], head[1]]);
    if version != FORMAT_VERSION {
        return Err(WireError::OtherVersion { version });
    }
    Ok(body)
}
