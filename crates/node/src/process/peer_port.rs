//! The peers of this host in the event loop: which links are kept, what was asked
//! over them, and what their digests say. All of it is soft state.

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

/// Links kept to each other zone.
const LINKS_PER_OTHER_ZONE: usize = 2;

/// One peer with its link.
#[derive(Debug)]
pub struct PeerEntry {
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of the link.
    pub address: SocketAddr,
    /// Proved incarnation while the link is open.
    pub incarnation: Option<u64>,
    /// When the peer was last heard from over this link.
    pub heard_at: Option<MonotonicTime>,
    /// Newest digest.
    pub digest: Option<wire::ZoneDigest>,
    requests: mpsc::UnboundedSender<PeerMessage>,
    task: JoinHandle<()>,
}

impl Drop for PeerEntry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A promise request without an answer.
#[derive(Clone, Debug)]
struct SentRequest {
    host: HostName,
    term: LeaderTerm,
    sent_at: MonotonicTime,
}

/// Peers and open requests.
#[derive(Debug)]
pub struct PeerPort {
    identity: LinkIdentity,
    events: EventSender,
    digest: watch::Sender<Option<wire::ZoneDigest>>,
    /// Peers with a link, open or not.
    pub peers: BTreeMap<HostName, PeerEntry>,
    /// Promise requests by number; only the newest of each peer is kept.
    promises: BTreeMap<u64, SentRequest>,
    next_request: u64,
}

impl PeerPort {
    /// A port without links.
    pub fn new(identity: LinkIdentity, events: EventSender) -> Self {
        let (digest, _) = watch::channel(None);
        let (peers, promises) = (BTreeMap::new(), BTreeMap::new());
        Self {
            identity,
            events,
            digest,
            peers,
            promises,
            next_request: 0,
        }
    }

    /// Keeps links to all listed hosts of the own zone and to some of each other
    /// zone. A host that is no longer listed keeps its link while it is open.
    pub fn update(&mut self, hosts: &[ListedHost]) {
        let wanted = wanted_peers(hosts, &self.identity);
        self.peers.retain(|name, entry| {
            let listed = wanted.iter().find(|host| host.name == *name);
            match listed {
                Some(host) => host.address == entry.address,
                None => entry.incarnation.is_some(),
            }
        });
        for host in wanted {
            if !self.peers.contains_key(&host.name) {
                let entry = self.open(host);
                self.peers.insert(host.name.clone(), entry);
            }
        }
    }

    fn open(&self, host: &ListedHost) -> PeerEntry {
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
            heard_at: None,
            digest: None,
            requests,
            task,
        }
    }

    /// Links that are open.
    pub fn open_links(&self) -> usize {
        let open = self
            .peers
            .values()
            .filter(|entry| entry.incarnation.is_some());
        open.count()
    }

    /// Replaces the digest that heartbeats carry when it has changed.
    pub fn publish_digest(&self, digest: wire::ZoneDigest) {
        self.digest.send_if_modified(|newest| {
            let changed = newest.as_ref() != Some(&digest);
            *newest = Some(digest);
            changed
        });
    }

    /// Asks a peer for a promise. The time is taken before the request is queued.
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
        self.promises.retain(|_, sent| sent.host != *host);
        self.promises.insert(
            request,
            SentRequest {
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

    /// When the promise request that an answer belongs to was sent; each request
    /// is answered once.
    pub fn resolve_grant(
        &mut self,
        host: &HostName,
        answer: &wire::PromiseAnswer,
    ) -> Option<MonotonicTime> {
        let sent = self.promises.remove(&answer.request)?;
        let matches = sent.host == *host && sent.term.0 == answer.term;
        matches.then_some(sent.sent_at)
    }

    /// Asks a peer to promise nothing to a term any more.
    pub fn request_refusal(&mut self, host: &HostName, zone: &ZoneName, term: LeaderTerm) {
        self.next_request += 1;
        let message = PeerMessage::RefusalRequest(wire::RefusalRequest {
            request: self.next_request,
            term: term.0,
            zone: zone.to_string(),
        });
        self.send(host, message);
    }

    /// Sends a message over a peer's link, if there is one.
    pub fn send(&self, host: &HostName, message: PeerMessage) {
        if let Some(entry) = self.peers.get(host) {
            let _ = entry.requests.send(message);
        }
    }
}

/// All hosts of the own zone, and of each other zone a few that follow this
/// host's place in its own, so that links spread over the hosts.
fn wanted_peers<'a>(hosts: &'a [ListedHost], identity: &LinkIdentity) -> Vec<&'a ListedHost> {
    let mut zones: BTreeMap<&ZoneName, Vec<&ListedHost>> = BTreeMap::new();
    for host in hosts.iter().filter(|host| !host.leaving) {
        zones.entry(&host.zone).or_default().push(host);
    }
    let is_own = |host: &&ListedHost| host.name.as_str() == identity.host;
    let place = zones.values().find_map(|zone| zone.iter().position(is_own));
    let place = place.unwrap_or_default();
    let mut wanted = Vec::new();
    for (zone, members) in zones {
        if zone.as_str() == identity.zone {
            wanted.extend(members.into_iter().filter(|host| !is_own(host)));
        } else {
            let count = members.len().min(LINKS_PER_OTHER_ZONE);
            wanted.extend((0..count).map(|step| members[(place + step) % members.len()]));
        }
    }
    wanted
}
