//! A WebSocket connection between two entry hosts on which both sides have proved that
//! they know the shared secret. Counts the bytes sent and received.

use std::net::SocketAddr;
use std::time::Duration;

use flamingowalk_wire::peer::PeerProof;
use futures_util::{SinkExt, StreamExt};
use metrics::counter;
use rand::Rng;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};

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
/// Maximum size of a message to this host before its sender has proved the secret: hello and
/// proof have a few hundred bytes.
const MAX_UNPROVED_BYTES: usize = 16 * 1024;
/// Read buffer of an accepted link before the proof. The library allocates it at once.
const UNPROVED_BUFFER_BYTES: usize = 4 * 1024;
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
            authenticate(socket, identity).await
        };
        let opened = tokio::time::timeout(OPEN_TIMEOUT, opening).await;
        opened.unwrap_or(Err(LinkError::Unreachable))
    }

    /// Opens a link on an accepted connection.
    ///
    /// # Errors
    /// Returns a [`LinkError`]; only hello and proof may have been sent.
    pub async fn accept(mut stream: TcpStream, identity: &LinkIdentity) -> Result<Self, LinkError> {
        let opening = async {
            let _ = stream.set_nodelay(true);
            let (peer, proof) = receive_opening(&mut stream, identity).await?;
            // The caller sends nothing between its proof and this host's, so that no input is
            // buffered, and the stream can continue with the limits of a proved peer.
            let config = Some(socket_config());
            let mut socket = WebSocketStream::from_raw_socket(stream, Role::Server, config).await;
            send_message(&mut socket, &proof).await?;
            Ok(Self { socket, peer })
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

/// Returns the configuration of an accepted link whose peer has not proved the secret yet.
fn unproved_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(UNPROVED_BUFFER_BYTES)
        .max_message_size(Some(MAX_UNPROVED_BYTES))
        .max_frame_size(Some(MAX_UNPROVED_BYTES))
}

/// Exchanges hello messages and proofs as the caller, which sends its proof first.
async fn authenticate(
    mut socket: WebSocketStream<TcpStream>,
    identity: &LinkIdentity,
) -> Result<PeerLink, LinkError> {
    let (own, peer) = exchange_hellos(&mut socket, identity).await?;
    let proof = own_proof(LinkSide::Caller, identity, &own, &peer);
    send_message(&mut socket, &proof).await?;
    receive_proof(&mut socket, LinkSide::Responder, identity, &peer, &own).await?;
    Ok(PeerLink { socket, peer })
}

/// Accepts the upgrade, the hello and the proof of the caller, and returns its hello and the
/// proof to send. An unauthenticated caller learns only the identity in the hello message, no
/// secret.
async fn receive_opening(
    stream: &mut TcpStream,
    identity: &LinkIdentity,
) -> Result<(PeerHello, PeerMessage), LinkError> {
    let upgraded =
        tokio_tungstenite::accept_async_with_config(stream, Some(unproved_config())).await;
    let mut socket = upgraded.map_err(|_error| LinkError::Unreachable)?;
    let (own, peer) = exchange_hellos(&mut socket, identity).await?;
    receive_proof(&mut socket, LinkSide::Caller, identity, &peer, &own).await?;
    let proof = own_proof(LinkSide::Responder, identity, &own, &peer);
    Ok((peer, proof))
}

/// Returns the hello message that was sent and the one that was received.
async fn exchange_hellos<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
    identity: &LinkIdentity,
) -> Result<(PeerHello, PeerHello), LinkError> {
    let own = new_hello(identity);
    send_message(socket, &PeerMessage::PeerHello(own.clone())).await?;
    match receive_message(socket).await? {
        PeerMessage::PeerHello(peer) => Ok((own, peer)),
        _ => Err(LinkError::Unauthenticated),
    }
}

fn own_proof(
    side: LinkSide,
    identity: &LinkIdentity,
    own: &PeerHello,
    peer: &PeerHello,
) -> PeerMessage {
    let mac = sign_hello(&identity.secret, side, own, peer);
    PeerMessage::PeerProof(PeerProof { mac })
}

async fn receive_proof<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
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

async fn send_message<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
    message: &PeerMessage,
) -> Result<(), LinkError> {
    let bytes = encode_message(message).map_err(|_unknown| LinkError::Closed)?;
    counter!(PEER_BYTES, "way" => "sent").increment(bytes.len() as u64);
    let sent = socket.send(Message::binary(bytes)).await;
    sent.map_err(|_error| LinkError::Closed)
}

async fn receive_message<S: AsyncRead + AsyncWrite + Unpin>(
    socket: &mut WebSocketStream<S>,
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
