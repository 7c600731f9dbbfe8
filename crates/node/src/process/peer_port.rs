//! The peers of this host in the event loop: the links that are kept, the requests that
//! were sent over them, and the newest digests. All of it is soft state.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::planner::event::LeaderTerm;
use flamingowalk_wire::peer as wire;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::border::hosts::ListedHost;
use crate::border::peer::PeerMessage;
use crate::connection::peer_link::LinkIdentity;
use crate::process::host_event::EventSender;
use crate::process::peer_client::PeerClient;

/// Number of links to each other zone.
const LINKS_PER_OTHER_ZONE: usize = 2;

/// One peer with its link.
#[derive(Debug)]
pub struct PeerEntry {
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of the link.
    pub address: SocketAddr,
    /// Authenticated incarnation of the peer while the link is open.
    pub incarnation: Option<u64>,
    /// When the newest message arrived over this link.
    pub last_received_at: Option<MonotonicTime>,
    /// Newest digest of the peer.
    pub digest: Option<wire::ZoneDigest>,
    requests: mpsc::UnboundedSender<PeerMessage>,
    task: JoinHandle<()>,
}

impl Drop for PeerEntry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A request for a grant that has not been answered.
#[derive(Clone, Debug)]
struct SentGrantRequest {
    host: HostName,
    term: LeaderTerm,
    sent_at: MonotonicTime,
}

/// The links to peers and the pending requests for grants.
#[derive(Debug)]
pub struct PeerPort {
    identity: LinkIdentity,
    events: EventSender,
    digest: watch::Sender<Option<wire::ZoneDigest>>,
    /// Peers with a link, open or not.
    pub peers: BTreeMap<HostName, PeerEntry>,
    /// Pending requests for grants by number; only the newest of each peer is kept.
    pending_grants: BTreeMap<u64, SentGrantRequest>,
    next_request: u64,
}

impl PeerPort {
    /// Creates a port without links.
    pub fn new(identity: LinkIdentity, events: EventSender) -> Self {
        let (digest, _) = watch::channel(None);
        let (peers, pending_grants) = (BTreeMap::new(), BTreeMap::new());
        Self {
            identity,
            events,
            digest,
            peers,
            pending_grants,
            next_request: 0,
        }
    }

    /// Applies a new listing of the hosts: keeps links to all listed hosts of the own
    /// zone and to some of each other zone. The link to a host that is no longer listed
    /// is kept while it is open.
    pub fn apply_listing(&mut self, hosts: &[ListedHost]) {
        let selected = select_peers(hosts, &self.identity);
        self.peers.retain(|name, entry| {
            let listed = selected.iter().find(|host| host.name == *name);
            match listed {
                Some(host) => host.address == entry.address,
                None => entry.incarnation.is_some(),
            }
        });
        for host in selected {
            if !self.peers.contains_key(&host.name) {
                let entry = self.open_link(host);
                self.peers.insert(host.name.clone(), entry);
            }
        }
    }

    fn open_link(&self, host: &ListedHost) -> PeerEntry {
        let (requests, receiver) = mpsc::unbounded_channel();
        let client = PeerClient {
            host: host.name.clone(),
            address: host.address,
            identity: self.identity.clone(),
            digest: self.digest.subscribe(),
            events: self.events.clone(),
        };
        let task = tokio::task::spawn_local(client.run(receiver));
        let (zone, address) = (host.zone.clone(), host.address);
        PeerEntry {
            zone,
            address,
            incarnation: None,
            last_received_at: None,
            digest: None,
            requests,
            task,
        }
    }

    /// Returns the number of open links.
    pub fn open_links(&self) -> usize {
        let open = self
            .peers
            .values()
            .filter(|entry| entry.incarnation.is_some());
        open.count()
    }

    /// Replaces the digest that heartbeats carry, if it has changed.
    pub fn publish_digest(&self, digest: wire::ZoneDigest) {
        self.digest.send_if_modified(|newest| {
            let changed = newest.as_ref() != Some(&digest);
            *newest = Some(digest);
            changed
        });
    }

    /// Requests a grant from a peer. `now` is read before the request is queued, so that
    /// this host never counts the duration of the grant from a later time than the peer.
    pub fn request_grant(
        &mut self,
        now: MonotonicTime,
        host: &HostName,
        incarnation: u64,
        zone: &ZoneName,
        term: LeaderTerm,
    ) {
        self.next_request += 1;
        let request = self.next_request;
        self.pending_grants.retain(|_, sent| sent.host != *host);
        self.pending_grants.insert(
            request,
            SentGrantRequest {
                host: host.clone(),
                term,
                sent_at: now,
            },
        );
        let message = PeerMessage::PromiseRequest(wire::PromiseRequest {
            incarnation,
            request,
            term: term.0,
            zone: zone.to_string(),
        });
        self.send(host, message);
    }

    /// Returns when the request for a grant that this answer belongs to was sent. Each
    /// request is answered once.
    pub fn resolve_grant(
        &mut self,
        host: &HostName,
        answer: &wire::PromiseAnswer,
    ) -> Option<MonotonicTime> {
        let sent = self.pending_grants.remove(&answer.request)?;
        let matches = sent.host == *host && sent.term.0 == answer.term;
        matches.then_some(sent.sent_at)
    }

    /// Requests that a peer makes no further grants to a term.
    pub fn request_refusal(&mut self, host: &HostName, zone: &ZoneName, term: LeaderTerm) {
        self.next_request += 1;
        let message = PeerMessage::RefusalRequest(wire::RefusalRequest {
            request: self.next_request,
            term: term.0,
            zone: zone.to_string(),
        });
        self.send(host, message);
    }

    /// Sends a message over the link to a peer, if there is one.
    pub fn send(&self, host: &HostName, message: PeerMessage) {
        if let Some(entry) = self.peers.get(host) {
            let _ = entry.requests.send(message);
        }
    }
}

/// Returns all other hosts of the own zone, and a few of each other zone. Those are
/// selected from this host's position in its own zone, so that links spread evenly over
/// the hosts.
fn select_peers<'a>(hosts: &'a [ListedHost], identity: &LinkIdentity) -> Vec<&'a ListedHost> {
    let mut zones: BTreeMap<&ZoneName, Vec<&ListedHost>> = BTreeMap::new();
    for host in hosts.iter().filter(|host| !host.draining) {
        zones.entry(&host.zone).or_default().push(host);
    }
    let is_own = |host: &&ListedHost| host.name.as_str() == identity.host;
    let position = zones.values().find_map(|zone| zone.iter().position(is_own));
    let position = position.unwrap_or_default();
    let mut selected = Vec::new();
    for (zone, members) in zones {
        if zone.as_str() == identity.zone {
            selected.extend(members.into_iter().filter(|host| !is_own(host)));
        } else {
            let count = members.len().min(LINKS_PER_OTHER_ZONE);
            selected.extend((0..count).map(|step| members[(position + step) % members.len()]));
        }
    }
    selected
}
