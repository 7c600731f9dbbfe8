//! Messages between entry hosts, protocol version 1: the CBOR encoding and the HMAC by
//! which each side proves that it knows the shared secret.

use std::fmt::Write as _;

use ciborium::{de, ser};
use flamingowalk_wire::peer as wire;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Protocol version of this process.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum size of an encoded message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Any message between peers.
pub type PeerMessage = wire::PeerMessage;
/// First message of each side.
pub type PeerHello = wire::PeerHello;

/// Error of a message that cannot be encoded, is malformed or is of an unknown kind.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a peer message of an unknown kind or form; bring both hosts to the same version")]
pub struct UnknownMessage;

/// Encodes a message.
///
/// # Errors
/// Returns [`UnknownMessage`] if the message cannot be represented in CBOR.
pub fn encode_message(message: &PeerMessage) -> Result<Vec<u8>, UnknownMessage> {
    let mut bytes = Vec::new();
    ser::into_writer(message, &mut bytes).map_err(|_no_form| UnknownMessage)?;
    Ok(bytes)
}

/// Decodes a message; unknown fields are ignored.
///
/// # Errors
/// Returns [`UnknownMessage`] for a malformed message or an unknown kind; a receiver
/// counts and skips these.
pub fn decode_message(bytes: &[u8]) -> Result<PeerMessage, UnknownMessage> {
    de::from_reader(bytes).map_err(|_unknown| UnknownMessage)
}

/// Side of a link. The HMAC covers it, so that a proof cannot be reflected to its sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkSide {
    /// The host that connected.
    Caller,
    /// The host that accepted.
    Responder,
}

impl LinkSide {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Caller => b"caller",
            Self::Responder => b"answerer",
        }
    }
}

/// Returns the proof, an HMAC in hexadecimal digits, that the sender of `own` knows
/// `secret`. It is bound to the nonce in `other`, so it cannot be replayed on another link.
pub fn sign_hello(secret: &str, side: LinkSide, own: &PeerHello, other: &PeerHello) -> String {
    let tag = new_mac(secret, side, own, other).finalize().into_bytes();
    tag.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Returns whether `proof` equals the result of `sign_hello`; compares in constant time.
pub fn verify_proof(
    secret: &str,
    side: LinkSide,
    own: &PeerHello,
    other: &PeerHello,
    proof: &str,
) -> bool {
    decode_hex(proof)
        .is_some_and(|tag| new_mac(secret, side, own, other).verify_slice(&tag).is_ok())
}

fn new_mac(secret: &str, side: LinkSide, own: &PeerHello, other: &PeerHello) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(secret.as_bytes())
        .expect("HMAC takes keys of any length");
    mac.update(side.label());
    for part in [&own.host, &own.zone, &own.nonce, &other.host, &other.nonce] {
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part.as_bytes());
    }
    mac.update(&own.incarnation.to_be_bytes());
    mac
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    let bytes = (0..text.len()).step_by(2);
    bytes
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok())
        .collect()
}
