//! Accepts links of peers and answers their messages. The link of a peer without the
//! shared secret is refused.

use flamingowalk_core::prelude::*;
use metrics::counter;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::border::peer::PeerMessage;
use crate::connection::peer_link::{LinkError, LinkIdentity, PeerLink};
use crate::process::counters::PEERS_REFUSED;
use crate::process::host_event::{EventSender, HostEvent};

/// Delay after a failed accept. Without it, the loop would spin while the process is out
/// of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without a message after which an accepted link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The peer that sends requests over an accepted link.
#[derive(Clone, Debug)]
pub struct RequestingPeer {
    /// Name of the host.
    pub host: HostName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// Accepts links until the event loop ends.
pub async fn serve_peers(listener: TcpListener, identity: LinkIdentity, events: EventSender) {
    let mut links = JoinSet::new();
    while !events.is_closed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                links.spawn_local(serve_link(stream, identity.clone(), events.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
        while links.try_join_next().is_some() {}
    }
}

async fn serve_link(stream: TcpStream, identity: LinkIdentity, events: EventSender) {
    let mut link = match PeerLink::accept(stream, &identity).await {
        Ok(link) => link,
        Err(error) => {
            let cause = if error == LinkError::Unauthenticated {
                "unproved"
            } else {
                "broken"
            };
            counter!(PEERS_REFUSED, "cause" => cause).increment(1);
            return;
        }
    };
    let peer = RequestingPeer {
        host: link.peer.host.as_str().into(),
        zone: link.peer.zone.as_str().into(),
        incarnation: link.peer.incarnation,
    };
    while let Ok(Ok(message)) = tokio::time::timeout(IDLE_TIMEOUT, link.receive()).await {
        let Some(answer) = request_answer(&peer, message, &events).await else {
            continue;
        };
        if link.send(&answer).await.is_err() {
            return;
        }
    }
}

async fn request_answer(
    peer: &RequestingPeer,
    message: PeerMessage,
    events: &EventSender,
) -> Option<PeerMessage> {
    let (reply, answer) = oneshot::channel();
    let event = HostEvent::PeerRequested {
        peer: peer.clone(),
        message,
        reply,
    };
    events.send(event).ok()?;
    answer.await.ok()
}
