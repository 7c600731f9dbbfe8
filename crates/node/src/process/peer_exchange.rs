//! What peers tell and ask: digests, promises and refusals of the seat, and
//! configurations for hosts that are cut off from the log.

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

/// Most leaving workers of one digest, which bounds its size.
const LEAVING_LIMIT: usize = 64;

/// Takes in what a link reports.
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
            entry.heard_at = Some(now);
            let address = entry.address;
            if entry.zone == state.settings.zone {
                let member = VoterIdentity {
                    host: host.clone(),
                    incarnation,
                    address,
                };
                state
                    .election
                    .handle(now, ElectionEvent::PeerAlive { member });
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
                entry.heard_at = Some(now);
            }
            take_message(state, host, incarnation, message, actions);
        }
    }
}

fn take_message(
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
                take_digest(state, host, digest);
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

fn take_digest(state: &mut HostState, host: &HostName, digest: wire::ZoneDigest) {
    for word in &digest.leaving {
        mark_draining(state, word);
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

/// A leaving word is `name#incarnation`; it holds for that incarnation for good.
fn mark_draining(state: &mut HostState, word: &str) {
    let parts = word.rsplit_once('#');
    let parsed = parts.and_then(|(name, run)| Some((name, run.parse::<u64>().ok()?)));
    if let Some((name, incarnation)) = parsed {
        state
            .calls
            .dispatcher
            .table
            .mark_draining(&name.into(), incarnation);
    }
}

/// Answers what a peer asks over a link that it opened.
pub fn answer_peer(
    state: &mut HostState,
    peer: &RequestingPeer,
    message: PeerMessage,
) -> Option<PeerMessage> {
    let now = state.clock.now();
    match message {
        PeerMessage::PeerHeartbeat(heartbeat) => {
            // A digest is answered by a digest; a bare heartbeat stays small.
            let digest = heartbeat.digest.map(|digest| {
                take_digest(state, &peer.host, digest);
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

/// Soft state of this host for its peers.
pub fn own_digest(state: &HostState) -> wire::ZoneDigest {
    let leaving = state
        .listing
        .workers
        .iter()
        .filter(|worker| worker.record.leaving);
    let word = |name: &WorkerName, incarnation: u64| format!("{name}#{incarnation}");
    let words = leaving.map(|worker| word(&worker.record.name, worker.record.incarnation));
    let zone = &state.settings.zone;
    wire::ZoneDigest {
        config_version: state.config_version.0,
        draining: state.drain_since.is_some(),
        host: state.settings.name.to_string(),
        leaving: words.take(LEAVING_LIMIT).collect(),
        queued_jobs: u32::try_from(state.jobs.open_jobs(zone).len()).unwrap_or(u32::MAX),
        seat_term: state.election.term().0,
        zone: zone.to_string(),
    }
}
