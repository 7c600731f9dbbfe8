//! A WebSocket connection between two entry hosts on which both sides have proved that
//! they know the shared secret. Counts the bytes sent and received.

use std::net::SocketAddr;
use std::time::Duration;

use flamingowalk_wire::peer::PeerProof;
use futures_util::{SinkExt, StreamExt};
use metrics::counter;
use rand::Rng;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::border::peer::{
    LinkSide, MAX_MESSAGE_BYTES, PROTOCOL_VERSION, PeerHello, PeerMessage, decode_message,
    encode_message, sign_hello, verify_proof,
};
use crate::process::counters::{PEER_BYTES, PEER_MESSAGES_SKIPPED};

/// Timeout for connection, upgrade and authentication.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for sending a message. An unresponsive connection accepts no message once its
/// buffers are full.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of random hexadecimal digits in a nonce.
const NONCE_DIGITS: usize = 32;

/// Identity of this process as sent to its peers.
#[derive(Clone, Debug)]
pub struct LinkIdentity {
    /// Host name.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Secret shared by all entry hosts.
    pub secret: String,
}

/// Reason why a link failed to open or ended.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum LinkError {
    /// The connection or the upgrade failed or timed out.
    #[error("no link to the peer; check that it runs and that no partition is between")]
    Unreachable,
    /// The peer did not prove that it knows the shared secret.
    #[error("the peer gave no valid proof; set the same [peer] secret on all entry hosts")]
    Unauthenticated,
    /// The connection ended.
    #[error("the link ended; it is opened again")]
    Closed,
}

/// A link on which both sides are authenticated.
#[derive(Debug)]
pub struct PeerLink {
    socket: WebSocketStream<TcpStream>,
    /// Hello message of the peer.
    pub peer: PeerHello,
}

impl PeerLink {
    /// Connects to a peer.
    ///
    /// # Errors
    /// Returns a [`LinkError`]; only hello and proof may have been sent.
    pub async fn connect(address: SocketAddr, identity: &LinkIdentity) -> Result<Self, LinkError> {
        let opening = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(|_error| LinkError::Unreachable)?;
            let _ = stream.set_nodelay(true);
            let url = format!("ws://{address}/peer");
            let upgraded =
                tokio_tungstenite::client_async_with_config(url, stream, Some(socket_config()))
                    .await;
            let (socket, _) = upgraded.map_err(|_error| LinkError::Unreachable)?;
            authenticate(socket, LinkSide::Caller, identity).await
        };
        let opened = tokio::time::timeout(OPEN_TIMEOUT, opening).await;
        opened.unwrap_or(Err(LinkError::Unreachable))
    }

    /// Opens a link on an accepted connection.
    ///
    /// # Errors
    /// Returns a [`LinkError`]; only hello and proof may have been sent.
    pub async fn accept(stream: TcpStream, identity: &LinkIdentity) -> Result<Self, LinkError> {
        let opening = async {
            let _ = stream.set_nodelay(true);
            let upgraded =
                tokio_tungstenite::accept_async_with_config(stream, Some(socket_config())).await;
            let socket = upgraded.map_err(|_error| LinkError::Unreachable)?;
            authenticate(socket, LinkSide::Responder, identity).await
        };
        let opened = tokio::time::timeout(OPEN_TIMEOUT, opening).await;
        opened.unwrap_or(Err(LinkError::Unreachable))
    }

    /// Sends a message.
    ///
    /// # Errors
    /// Returns [`LinkError::Closed`] if the connection has ended or accepts no data.
    pub async fn send(&mut self, message: &PeerMessage) -> Result<(), LinkError> {
        let sending = send_message(&mut self.socket, message);
        let sent = tokio::time::timeout(SEND_TIMEOUT, sending).await;
        sent.unwrap_or(Err(LinkError::Closed))
    }

    /// Receives the next message; counts and skips messages of unknown kinds.
    ///
    /// # Errors
    /// Returns [`LinkError::Closed`] if the connection has ended.
    pub async fn receive(&mut self) -> Result<PeerMessage, LinkError> {
        receive_message(&mut self.socket).await
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Exchanges hello messages and proofs. The caller sends its proof first, so that an
/// unauthenticated caller learns only the identity in the hello message, no secret.
async fn authenticate(
    mut socket: WebSocketStream<TcpStream>,
    side: LinkSide,
    identity: &LinkIdentity,
) -> Result<PeerLink, LinkError> {
    let own = new_hello(identity);
    send_message(&mut socket, &PeerMessage::PeerHello(own.clone())).await?;
    let PeerMessage::PeerHello(peer) = receive_message(&mut socket).await? else {
        return Err(LinkError::Unauthenticated);
    };
    let mac = sign_hello(&identity.secret, side, &own, &peer);
    let proof = PeerMessage::PeerProof(PeerProof { mac });
    match side {
        LinkSide::Caller => {
            send_message(&mut socket, &proof).await?;
            receive_proof(&mut socket, LinkSide::Responder, identity, &peer, &own).await?;
        }
        LinkSide::Responder => {
            receive_proof(&mut socket, LinkSide::Caller, identity, &peer, &own).await?;
            send_message(&mut socket, &proof).await?;
        }
    }
    Ok(PeerLink { socket, peer })
}

async fn receive_proof(
    socket: &mut WebSocketStream<TcpStream>,
    side: LinkSide,
    identity: &LinkIdentity,
    peer: &PeerHello,
    own: &PeerHello,
) -> Result<(), LinkError> {
    let PeerMessage::PeerProof(proof) = receive_message(socket).await? else {
        return Err(LinkError::Unauthenticated);
    };
    let is_valid = verify_proof(&identity.secret, side, peer, own, &proof.mac);
    is_valid.then_some(()).ok_or(LinkError::Unauthenticated)
}

fn new_hello(identity: &LinkIdentity) -> PeerHello {
    const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut rng = rand::rng();
    let digit = |_| char::from(HEX_DIGITS[rng.random_range(0..HEX_DIGITS.len())]);
    PeerHello {
        host: identity.host.clone(),
        zone: identity.zone.clone(),
        incarnation: identity.incarnation,
        protocol: PROTOCOL_VERSION,
        nonce: (0..NONCE_DIGITS).map(digit).collect(),
    }
}

async fn send_message(
    socket: &mut WebSocketStream<TcpStream>,
    message: &PeerMessage,
) -> Result<(), LinkError> {
    let bytes = encode_message(message).map_err(|_unknown| LinkError::Closed)?;
    counter!(PEER_BYTES, "way" => "sent").increment(bytes.len() as u64);
    let sent = socket.send(Message::binary(bytes)).await;
    sent.map_err(|_error| LinkError::Closed)
}

async fn receive_message(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<PeerMessage, LinkError> {
    loop {
        let frame = socket
            .next()
            .await
            .and_then(Result::ok)
            .ok_or(LinkError::Closed)?;
        let bytes = match frame {
            Message::Binary(bytes) => bytes,
            Message::Close(_) => return Err(LinkError::Closed),
            _ => continue,
        };
        counter!(PEER_BYTES, "way" => "received").increment(bytes.len() as u64);
        match decode_message(&bytes) {
            Ok(message) => return Ok(message),
            Err(_unknown) => counter!(PEER_MESSAGES_SKIPPED).increment(1),
        }
    }
}
