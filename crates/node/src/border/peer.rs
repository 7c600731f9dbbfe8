//! Messages between entry hosts, protocol version 1: CBOR encoding and the proof
//! that both sides know the shared secret.

use std::fmt::Write as _;

use ciborium::{de, ser};
use flamingowalk_wire::peer as wire;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Protocol version that this process speaks.
pub const PROTOCOL_VERSION: u32 = 1;
/// Largest message in bytes.
pub const MESSAGE_LIMIT: usize = 4 * 1024 * 1024;

/// Any message between peers.
pub type PeerMessage = wire::PeerMessage;
/// First message of each side.
pub type PeerHello = wire::PeerHello;

/// A message that cannot be encoded or is of an unknown kind.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("a peer message of an unknown kind or form; bring both hosts to the same version")]
pub struct UnknownMessage;

/// Encodes a message.
///
/// # Errors
/// [`UnknownMessage`] when the message has no CBOR form.
pub fn encode_message(message: &PeerMessage) -> Result<Vec<u8>, UnknownMessage> {
    let mut bytes = Vec::new();
    ser::into_writer(message, &mut bytes).map_err(|_no_form| UnknownMessage)?;
    Ok(bytes)
}

/// Decodes a message; unknown fields are ignored.
///
/// # Errors
/// [`UnknownMessage`] for unknown kinds, which are counted and skipped.
pub fn decode_message(bytes: &[u8]) -> Result<PeerMessage, UnknownMessage> {
    de::from_reader(bytes).map_err(|_unknown| UnknownMessage)
}

/// Side of a link; part of the proof, so that a proof cannot be sent back.
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

/// Proof that the sender of `own` knows `secret`, for the nonce in `other`.
pub fn sign_hello(secret: &str, side: LinkSide, own: &PeerHello, other: &PeerHello) -> String {
    let tag = new_mac(secret, side, own, other).finalize().into_bytes();
    tag.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Whether `proof` is what `sign_hello` gives; compared in constant time.
pub fn verify_proof(
    secret: &str,
    side: LinkSide,
    own: &PeerHello,
    other: &PeerHello,
    proof: &str,
) -> bool {
    read_hex(proof).is_some_and(|tag| new_mac(secret, side, own, other).verify_slice(&tag).is_ok())
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

fn read_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    let bytes = (0..text.len()).step_by(2);
    bytes
        .map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok())
        .collect()
}
