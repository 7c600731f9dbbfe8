//! Handles the messages of peers: digests, grants and refusals of the leader election,
//! and configurations for hosts that are disconnected from the log.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::election::{ElectionEvent, VoterIdentity};
use flamingowalk_core::process::planner::action::PlannerAction;
use flamingowalk_core::process::planner::event::LeaderTerm;
use flamingowalk_wire::peer as wire;

use crate::border::log::StoredRecord;
use crate::border::peer::PeerMessage;
use crate::border::records::{read_record, write_record};
use crate::process::host_state::HostState;
use crate::process::log_events::apply_peer_config;
use crate::process::peer_client::PeerReport;
use crate::process::peer_server::RequestingPeer;

/// Maximum number of draining workers in one digest, which bounds its size.
const MAX_DRAINING_WORKERS: usize = 64;

/// Handles a report of a link.
pub fn handle_report(
    state: &mut HostState,
    host: &HostName,
    report: PeerReport,
    actions: &mut Vec<PlannerAction>,
) {
    let now = state.clock.now();
    match report {
        PeerReport::Opened { incarnation } => {
            let Some(entry) = state.peers.peers.get_mut(host) else {
                return;
            };
            entry.incarnation = Some(incarnation);
            entry.last_received_at = Some(now);
            let address = entry.address;
            if entry.zone == state.settings.zone {
                let peer = VoterIdentity {
                    host: host.clone(),
                    incarnation,
                    address,
                };
                state
                    .election
                    .handle(now, ElectionEvent::PeerAlive { peer });
            }
        }
        PeerReport::Lost => {
            let Some(entry) = state.peers.peers.get_mut(host) else {
                return;
            };
            let was_open = entry.incarnation.take().is_some();
            if was_open && entry.zone == state.settings.zone {
                state
                    .election
                    .handle(now, ElectionEvent::PeerLost { host: host.clone() });
            }
        }
        PeerReport::Received {
            incarnation,
            message,
        } => {
            if let Some(entry) = state.peers.peers.get_mut(host) {
                entry.last_received_at = Some(now);
            }
            handle_message(state, host, incarnation, message, actions);
        }
    }
}

fn handle_message(
    state: &mut HostState,
    host: &HostName,
    incarnation: u64,
    message: PeerMessage,
    actions: &mut Vec<PlannerAction>,
) {
    let now = state.clock.now();
    match message {
        PeerMessage::PeerHeartbeat(heartbeat) => {
            if let Some(digest) = heartbeat.digest {
                apply_digest(state, host, digest);
            }
        }
        PeerMessage::PromiseAnswer(answer) => {
            let Some(sent_at) = state.peers.resolve_grant(host, &answer) else {
                return;
            };
            let event = ElectionEvent::GrantAnswered {
                from: host.clone(),
                incarnation,
                term: LeaderTerm(answer.term),
                sent_at,
                granted: answer.granted && answer.incarnation == incarnation,
            };
            state.election.handle(now, event);
        }
        PeerMessage::RefusalAnswer(answer) => {
            let event = ElectionEvent::RefusalAnswered {
                from: host.clone(),
                incarnation,
                term: LeaderTerm(answer.term),
                refused: answer.refused && answer.incarnation == incarnation,
            };
            state.election.handle(now, event);
        }
        PeerMessage::ConfigPush(push) => {
            if let Ok(stored) = serde_json::from_value::<StoredRecord>(push.record) {
                apply_peer_config(state, &read_record(stored), actions);
            }
        }
        _ => {}
    }
}

fn apply_digest(state: &mut HostState, host: &HostName, digest: wire::ZoneDigest) {
    for entry in &digest.leaving {
        mark_draining(state, entry);
    }
    if digest.config_version > state.config_version.0 {
        let have_version = state.config_version.0;
        let pull = PeerMessage::ConfigPull(wire::ConfigPull { have_version });
        state.peers.send(host, pull);
    }
    if let Some(entry) = state.peers.peers.get_mut(host) {
        entry.digest = Some(digest);
    }
}

/// Marks the worker of one entry of a digest's `leaving` list, `name#incarnation`, as
/// draining. This incarnation never accepts new work again.
fn mark_draining(state: &mut HostState, entry: &str) {
    let parts = entry.rsplit_once('#');
    let parsed = parts.and_then(|(name, raw)| Some((name, raw.parse::<u64>().ok()?)));
    if let Some((name, incarnation)) = parsed {
        state
            .calls
            .dispatcher
            .table
            .mark_draining(&name.into(), incarnation);
    }
}

/// Answers a message that a peer sent over a link that it opened.
pub fn answer_peer(
    state: &mut HostState,
    peer: &RequestingPeer,
    message: PeerMessage,
) -> Option<PeerMessage> {
    let now = state.clock.now();
    match message {
        PeerMessage::PeerHeartbeat(heartbeat) => {
            // A digest is answered by a digest. The answer to a heartbeat without one
            // stays small.
            let digest = heartbeat.digest.map(|digest| {
                apply_digest(state, &peer.host, digest);
                own_digest(state)
            });
            let sequence = heartbeat.sequence;
            Some(PeerMessage::PeerHeartbeat(wire::PeerHeartbeat {
                digest,
                sequence,
            }))
        }
        PeerMessage::PromiseRequest(request) if request.zone == state.settings.zone.as_str() => {
            let event = ElectionEvent::GrantRequested {
                from: peer.host.clone(),
                term: LeaderTerm(request.term),
                incarnation: request.incarnation,
                request: request.request,
            };
            state.election.handle(now, event);
            state.election.take_answer()
        }
        PeerMessage::RefusalRequest(request) if request.zone == state.settings.zone.as_str() => {
            let event = ElectionEvent::RefusalRequested {
                from: peer.host.clone(),
                term: LeaderTerm(request.term),
                request: request.request,
            };
            state.election.handle(now, event);
            state.election.take_answer()
        }
        PeerMessage::ConfigPull(pull) => config_push(state, pull.have_version),
        _ => None,
    }
}

fn config_push(state: &HostState, have_version: u64) -> Option<PeerMessage> {
    let adopted = state.config.adopted()?;
    let version = adopted.version.0;
    if version <= have_version {
        return None;
    }
    let stored = StoredRecord {
        appended_at_ms: adopted.record.appended_at.0,
        offset: adopted.record.offset.0,
        record: write_record(&adopted.record.id, &adopted.record.entry),
    };
    let record = serde_json::to_value(stored).ok()?;
    Some(PeerMessage::ConfigPush(wire::ConfigPush {
        record,
        version,
    }))
}

/// Returns the digest of this host for its peers. It is soft state.
pub fn own_digest(state: &HostState) -> wire::ZoneDigest {
    let draining = state
        .listing
        .workers
        .iter()
        .filter(|worker| worker.record.draining);
    let entry = |name: &WorkerName, incarnation: u64| format!("{name}#{incarnation}");
    let entries = draining.map(|worker| entry(&worker.record.name, worker.record.incarnation));
    let zone = &state.settings.zone;
    wire::ZoneDigest {
        config_version: state.config_version.0,
        draining: state.drain_since.is_some(),
        host: state.settings.name.to_string(),
        leaving: entries.take(MAX_DRAINING_WORKERS).collect(),
        queued_jobs: u32::try_from(state.jobs.open_jobs(zone).len()).unwrap_or(u32::MAX),
        seat_term: state.election.term().0,
        zone: zone.to_string(),
    }
}
