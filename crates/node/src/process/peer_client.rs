//! Keeps a link to one peer: opens it, sends heartbeats and requests, and opens it again
//! when no message has arrived for some time. A peer counts as lost only when a new
//! connection fails too, because a device between the hosts may have dropped the state of
//! the old one.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_wire::peer::{PeerHeartbeat, ZoneDigest};
use tokio::sync::{mpsc, watch};

use crate::border::peer::PeerMessage;
use crate::connection::peer_link::{LinkError, LinkIdentity, PeerLink};
use crate::process::host_event::{EventSender, HostEvent};

/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Heartbeat intervals without a received message after which the link is opened again.
const MAX_SILENT_INTERVALS: u32 = 3;
/// Number of heartbeats of which one carries the digest even if it has not changed.
const DIGEST_PERIOD: u64 = 5;
/// Delay before another attempt to open a link after one has failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Report of a link to the event loop.
#[derive(Debug)]
pub enum PeerReport {
    /// The link is open and the peer has authenticated its incarnation.
    Opened {
        /// Incarnation of the peer.
        incarnation: u64,
    },
    /// A message arrived.
    Received {
        /// Incarnation of the peer.
        incarnation: u64,
        /// The message.
        message: PeerMessage,
    },
    /// The link ended and could not be opened again.
    Lost,
}

/// Parameters of the task that keeps the link to one peer.
#[derive(Debug)]
pub struct PeerClient {
    /// Peer to connect to.
    pub host: HostName,
    /// Its address.
    pub address: SocketAddr,
    /// Identity of this process.
    pub identity: LinkIdentity,
    /// Newest digest of this host. A heartbeat carries it when it has changed, and at
    /// regular intervals.
    pub digest: watch::Receiver<Option<ZoneDigest>>,
    /// Sender for the reports.
    pub events: EventSender,
}

impl PeerClient {
    /// Keeps the link until the event loop ends or drops the sender of requests.
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
                    // Requests that wait for a new link would be stale when they are sent.
                    while requests.try_recv().is_ok() {}
                    if requests.is_closed() {
                        return;
                    }
                    tokio::time::sleep(RECONNECT_DELAY).await;
                }
            }
        }
    }

    /// Serves an open link until it fails. Returns `None` if the event loop has ended.
    async fn serve(
        &self,
        mut link: PeerLink,
        requests: &mut mpsc::UnboundedReceiver<PeerMessage>,
    ) -> Option<LinkError> {
        let incarnation = link.peer.incarnation;
        let mut digests = self.digest.clone();
        let mut sequence = 0;
        let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
        let idle_timeout = HEARTBEAT_INTERVAL * MAX_SILENT_INTERVALS;
        let mut idle_deadline = tokio::time::Instant::now() + idle_timeout;
        loop {
            let sent = tokio::select! {
                received = link.receive() => match received {
                    Ok(message) => {
                        idle_deadline = tokio::time::Instant::now() + idle_timeout;
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
                    let is_due = sequence % DIGEST_PERIOD == 1 || digests.has_changed().unwrap_or(false);
                    let digest = is_due.then(|| digests.borrow_and_update().clone()).flatten();
                    link.send(&PeerMessage::PeerHeartbeat(PeerHeartbeat { digest, sequence })).await
                }
                () = tokio::time::sleep_until(idle_deadline) => Err(LinkError::Closed),
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
