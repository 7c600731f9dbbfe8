//! Keeps a link to one peer: opens it, sends heartbeats and requests, and opens
//! it again when no bytes came for a while. A peer counts as lost only when a
//! new connection fails too, because something between the hosts may have
//! dropped the state of the old one.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_wire::peer::{PeerHeartbeat, ZoneDigest};
use tokio::sync::{mpsc, watch};

use crate::border::peer::PeerMessage;
use crate::connection::peer_link::{LinkError, LinkIdentity, PeerLink};
use crate::process::host_event::{EventSender, HostEvent};

/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Heartbeat intervals without a byte after which the link is opened again.
const SILENT_INTERVALS: u32 = 3;
/// Heartbeats of which one carries the digest even when it has not changed.
const DIGEST_EVERY: u64 = 5;
/// Pause before a link that did not open is tried again.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// What a link tells the event loop.
#[derive(Debug)]
pub enum PeerReport {
    /// The link is open; the run of the peer is proved.
    Opened {
        /// Incarnation of the peer.
        incarnation: u64,
    },
    /// A message came.
    Received {
        /// Incarnation of the peer.
        incarnation: u64,
        /// The message.
        message: PeerMessage,
    },
    /// The link ended and could not be opened again.
    Lost,
}

/// A link as the event loop holds it.
#[derive(Debug)]
pub struct PeerClient {
    /// Peer to reach.
    pub host: HostName,
    /// Its address.
    pub address: SocketAddr,
    /// This process.
    pub identity: LinkIdentity,
    /// Newest digest of this host, sent with each heartbeat.
    pub digest: watch::Receiver<Option<ZoneDigest>>,
    /// Where reports go.
    pub events: EventSender,
}

impl PeerClient {
    /// Keeps the link until the loop ends or drops the sender of requests.
    pub async fn run(self, mut requests: mpsc::UnboundedReceiver<PeerMessage>) {
        loop {
            match PeerLink::connect(self.address, &self.identity).await {
                Ok(link) if link.peer.host == self.host.as_str() => {
                    let incarnation = link.peer.incarnation;
                    if !self.report(PeerReport::Opened { incarnation }) {
                        return;
                    }
                    if self.serve(link, &mut requests).await.is_none() {
                        return;
                    }
                }
                _ => {
                    if !self.report(PeerReport::Lost) {
                        return;
                    }
                    // A request that waited would be stale by the time it is sent.
                    while requests.try_recv().is_ok() {}
                    if requests.is_closed() {
                        return;
                    }
                    tokio::time::sleep(REOPEN_PAUSE).await;
                }
            }
        }
    }

    /// Serves an open link; nothing when the event loop has ended.
    async fn serve(
        &self,
        mut link: PeerLink,
        requests: &mut mpsc::UnboundedReceiver<PeerMessage>,
    ) -> Option<LinkError> {
        let incarnation = link.peer.incarnation;
        let mut digests = self.digest.clone();
        let mut sequence = 0;
        let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
        let silence = HEARTBEAT_INTERVAL * SILENT_INTERVALS;
        let mut silent_at = tokio::time::Instant::now() + silence;
        loop {
            let sent = tokio::select! {
                received = link.receive() => match received {
                    Ok(message) => {
                        silent_at = tokio::time::Instant::now() + silence;
                        if !self.report(PeerReport::Received { incarnation, message }) {
                            return None;
                        }
                        Ok(())
                    }
                    Err(error) => Err(error),
                },
                request = requests.recv() => link.send(&request?).await,
                _ = heartbeat.tick() => {
                    sequence += 1;
                    let due = sequence % DIGEST_EVERY == 1 || digests.has_changed().unwrap_or(false);
                    let digest = due.then(|| digests.borrow_and_update().clone()).flatten();
                    link.send(&PeerMessage::PeerHeartbeat(PeerHeartbeat { digest, sequence })).await
                }
                () = tokio::time::sleep_until(silent_at) => Err(LinkError::Closed),
            };
            if let Err(error) = sent {
                return Some(error);
            }
        }
    }

    fn report(&self, report: PeerReport) -> bool {
        let event = HostEvent::PeerReported {
            host: self.host.clone(),
            report,
        };
        self.events.send(event).is_ok()
    }
}
