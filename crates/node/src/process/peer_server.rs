//! Accepts links of peers and answers their messages. The link of a peer without the
//! shared secret is refused. The number of connections is bounded: if the limit is reached, the
//! oldest one that has not proved the secret gives way, and one that has proved it never does.

use std::rc::Rc;

use flamingowalk_core::prelude::*;
use metrics::counter;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::border::peer::PeerMessage;
use crate::connection::client_guard::{ClientGuard, ClientTicket};
use crate::connection::client_limits::ClientLimits;
use crate::connection::client_record::ClientStage;
use crate::connection::peer_link::{LinkError, LinkIdentity, PeerLink};
use crate::process::counters::PEERS_REFUSED;
use crate::process::host_event::{EventSender, HostEvent};

/// Delay after a failed accept. Without it, the loop would spin while the process is out
/// of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay until a listener whose connections are all in use looks for room again.
const ROOM_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Interval at which the gauges are set.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Name of the listener in the metrics.
const LISTENER: &str = "peers";
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

/// Accepts links until the event loop ends, at most `max_connections` at a time.
pub async fn serve_peers(
    listener: TcpListener,
    identity: LinkIdentity,
    events: EventSender,
    guard: ClientGuard,
    max_connections: usize,
) {
    let limits = ClientLimits::default();
    let mut links = JoinSet::new();
    let mut sweeps = tokio::time::interval(SWEEP_INTERVAL);
    sweeps.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    // A peer that has connected, but for which there is no room yet.
    let mut waiting = None;
    while !events.is_closed() {
        let has_room =
            waiting.is_some() && guard.make_room(LISTENER, max_connections, Instant::now());
        if has_room && let Some(stream) = waiting.take() {
            let ticket = guard.open(LISTENER, limits.max_head_bytes, Instant::now());
            links.spawn_local(serve_link(stream, ticket, identity.clone(), events.clone()));
            // Lets the new link, and one that gave way to it, make progress before the next one
            // is accepted.
            tokio::task::yield_now().await;
        }
        tokio::select! {
            accepted = listener.accept(), if waiting.is_none() => match accepted {
                Ok((stream, _)) => waiting = Some(stream),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = tokio::time::sleep(ROOM_RETRY_DELAY), if waiting.is_some() => {}
            Some(_) = links.join_next() => {}
            _ = sweeps.tick() => guard.sweep(LISTENER, max_connections, &limits, Instant::now()),
        }
    }
}

/// Serves a link until it ends or has to give way to others.
async fn serve_link(
    stream: TcpStream,
    ticket: ClientTicket,
    identity: LinkIdentity,
    events: EventSender,
) {
    let record = Rc::clone(&ticket.record);
    tokio::select! {
        biased;
        _ = record.wait_removed() => {}
        () = answer_peer(stream, &ticket, &identity, &events) => {}
    }
}

async fn answer_peer(
    stream: TcpStream,
    ticket: &ClientTicket,
    identity: &LinkIdentity,
    events: &EventSender,
) {
    let mut link = match PeerLink::accept(stream, identity).await {
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
    // From now on the link does not give way.
    ticket.enter(ClientStage::Handling);
    let peer = RequestingPeer {
        host: link.peer.host.as_str().into(),
        zone: link.peer.zone.as_str().into(),
        incarnation: link.peer.incarnation,
    };
    while let Ok(Ok(message)) = tokio::time::timeout(IDLE_TIMEOUT, link.receive()).await {
        let Some(answer) = request_answer(&peer, message, events).await else {
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
