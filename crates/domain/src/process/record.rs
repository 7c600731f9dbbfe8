//! Records of the jobs stream and of the seat stream. Each has a key, and the newest
//! record of a key says everything that still matters of it, so that reading them in
//! any order that keeps each key's newest last gives the same state.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::prelude::*;
use crate::request::submission::{JobSubmission, WallMillis};

/// Key of the record that the planner repeats while it works.
const HEARTBEAT_KEY: &str = "h";
/// Key of the record that numbers the planner's appends.
const MARK_KEY: &str = "w";
/// Key of the claims in the seat stream.
pub const LEADERSHIP_CLAIM_KEY: &str = "seat";

/// A record as the log carries it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Key.
    pub key: Arc<str>,
    /// Encoded value, or nothing to drop the key.
    pub value: Option<Bytes>,
}

/// What a record of the jobs stream is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordKey {
    /// Acceptance of a job.
    Acceptance(JobKey),
    /// Cancellation of a job.
    Cancellation(JobKey),
    /// Final outcome of a job.
    Outcome(JobKey),
    /// Progress of a group.
    Group(GroupKey),
    /// Sign of life of the planner.
    Heartbeat,
    /// Number of the planner's newest append.
    Mark,
    /// Progress of a wave of upkeep.
    Wave(WaveNumber),
}

/// A job with everything that decides how it is run, as of its acceptance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AcceptedJob {
    /// Queue that accepted it.
    pub queue: QueueName,
    /// Service whose workers run it.
    pub service: ServiceName,
    /// Customer whose key came with it; nothing on a public queue.
    pub customer: Option<CustomerName>,
    /// Priority of the queue; zero is the most urgent.
    pub priority: u8,
    /// Failed runs of one unit after which the job fails.
    pub max_attempts: u16,
    /// Allowed completion time over the longest chain of work.
    pub stretch: f64,
    /// Completion time allowed beside the stretch, in milliseconds.
    pub target_latency_ms: u64,
    /// Clock of the accepting host at the acceptance.
    pub accepted_at: WallMillis,
    /// What the caller submitted.
    pub submission: JobSubmission,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobOutcome {
    /// All units are done.
    Completed,
    /// A unit, or a gang, failed as often as the queue allows.
    Failed,
}

/// How far a group is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GroupStage {
    /// Its run may be at work on the workers named.
    Started,
    /// No run of it is at work any more, and it has to run again.
    Waiting,
    /// Done.
    Done,
}

/// Place of one member of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberPlace(
    /// Worker.
    pub WorkerName,
    /// Life of the worker at the start.
    pub WorkerIncarnation,
);

/// Progress of a group; replaces what was recorded of it before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupRecord {
    /// Newest run; zero before the first.
    pub run: RunNumber,
    /// Runs that ended as failed.
    pub failures: u16,
    /// How far it is.
    pub stage: GroupStage,
    /// Places of the members in their order, while it is started.
    pub places: Vec<MemberPlace>,
    /// Newest checkpoint from which it can resume.
    pub saved: Option<Arc<str>>,
}

/// Sign of life of the planner, with what other hosts need from it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlannerHeartbeat {
    /// Tenure of the planner.
    pub epoch: LeaderEpoch,
    /// Host that plans.
    pub host: HostName,
    /// Milliseconds since the tenure began: for so long, no planner before can have
    /// written to the log.
    #[serde(rename = "tenure_ms")]
    pub leader_time_ms: u64,
    /// Whether the planner has stopped for good, so that another may begin at once.
    #[serde(rename = "has_yielded")]
    pub has_resigned: bool,
    /// Queues that take no further jobs for now.
    pub full_queues: Vec<FullQueue>,
}

/// A queue whose jobs would come too late.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FullQueue {
    /// The queue.
    pub queue: QueueName,
    /// Milliseconds until a job may be in time again.
    pub retry_after_ms: u64,
}

/// Progress of a wave of upkeep.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// Whether every machine of it that stays has had its upkeep.
    pub is_completed: bool,
    /// Machines whose upkeep has begun.
    pub done: BTreeSet<MachineName>,
}

/// Number of an append of the planner, so that a planner whose answer was lost learns
/// from reading that it was carried out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendMark(
    /// Tenure of the planner.
    pub LeaderEpoch,
    /// Number of the append within the tenure.
    pub u64,
);

/// Claim of the planner's seat; counts only if it was appended under the condition
/// that no other claim came between.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeadershipClaim {
    /// Host that claims.
    pub host: HostName,
    /// Random number of the process, so that a claim with a lost answer is recognised.
    pub nonce: u64,
}

/// A record of the jobs stream, decoded.
#[derive(Clone, Debug, PartialEq)]
pub enum JobRecord {
    /// A job was accepted.
    Acceptance(JobKey, Arc<AcceptedJob>),
    /// A job was cancelled.
    Cancellation(JobKey),
    /// A job ended.
    Outcome(JobKey, JobOutcome),
    /// A group went on.
    Group(GroupKey, GroupRecord),
    /// The planner is at work.
    Heartbeat(PlannerHeartbeat),
    /// The planner's append of this number is in the log.
    Mark(AppendMark),
    /// A wave of upkeep went on.
    Wave(WaveNumber, WaveRecord),
    /// Nothing is to be known of this key any more.
    Tombstone(RecordKey),
}

/// Why a record cannot be read.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RecordError {
    /// The key names nothing that this release knows.
    #[error("unknown record key {0:?}; a newer release may have written it")]
    Key(String),
    /// The value is not what the key says.
    #[error("record {key:?} cannot be read ({detail}); a newer release may have written it")]
    Value {
        /// Key of the record.
        key: String,
        /// What is wrong.
        detail: String,
    },
}

impl RecordKey {
    /// Text of the key in the log.
    pub fn text(&self) -> Arc<str> {
        match self {
            Self::Acceptance(job) => format!("a/{job}").into(),
            Self::Cancellation(job) => format!("c/{job}").into(),
            Self::Outcome(job) => format!("o/{job}").into(),
            Self::Group(group) => group_text(group).into(),
            Self::Heartbeat => HEARTBEAT_KEY.into(),
            Self::Mark => MARK_KEY.into(),
            Self::Wave(wave) => format!("w/{}", wave.0).into(),
        }
    }

    /// Reads the text of a key.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            HEARTBEAT_KEY => return Some(Self::Heartbeat),
            MARK_KEY => return Some(Self::Mark),
            _ => {}
        }
        let (kind, rest) = text.split_once('/')?;
        match kind {
            "a" => rest.parse().ok().map(Self::Acceptance),
            "c" => rest.parse().ok().map(Self::Cancellation),
            "o" => rest.parse().ok().map(Self::Outcome),
            "g" => parse_group(rest).map(Self::Group),
            "w" => rest.parse().ok().map(WaveNumber).map(Self::Wave),
            _ => None,
        }
    }
}

fn group_text(group: &GroupKey) -> String {
    let GroupKey {
        job,
        occurrence,
        step,
        index,
    } = group;
    match index {
        Some(index) => format!("g/{job}/{occurrence}/{step}/{index}"),
        None => format!("g/{job}/{occurrence}/{step}"),
    }
}

fn parse_group(text: &str) -> Option<GroupKey> {
    let mut parts = text.split('/');
    let job = parts.next()?.parse().ok()?;
    let occurrence = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let index = match parts.next() {
        Some(index) => Some(index.parse().ok()?),
        None => None,
    };
    let key = GroupKey {
        job,
        occurrence,
        step,
        index,
    };
    parts.next().is_none().then_some(key)
}

impl JobRecord {
    /// The record as the log carries it.
    pub fn encode(&self) -> KeyedRecord {
        let (key, value) = match self {
            Self::Acceptance(job, accepted) => {
                (RecordKey::Acceptance(*job), Some(encode_value(accepted)))
            }
            Self::Cancellation(job) => (RecordKey::Cancellation(*job), Some(encode_value(&()))),
            Self::Outcome(job, outcome) => (RecordKey::Outcome(*job), Some(encode_value(outcome))),
            Self::Group(group, record) => {
                let row = GroupRow::from(record.clone());
                (RecordKey::Group(*group), Some(encode_value(&row)))
            }
            Self::Heartbeat(heartbeat) => (RecordKey::Heartbeat, Some(encode_value(heartbeat))),
            Self::Mark(mark) => (RecordKey::Mark, Some(encode_value(mark))),
            Self::Wave(wave, record) => (RecordKey::Wave(*wave), Some(encode_value(record))),
            Self::Tombstone(key) => (*key, None),
        };
        KeyedRecord {
            key: key.text(),
            value,
        }
    }

    /// Reads a record of the log.
    ///
    /// # Errors
    /// The key or the value is not of this release.
    pub fn decode(key: &str, value: Option<&[u8]>) -> Result<Self, RecordError> {
        let parsed = RecordKey::parse(key).ok_or_else(|| RecordError::Key(key.to_owned()))?;
        let Some(value) = value else {
            return Ok(Self::Tombstone(parsed));
        };
        Ok(match parsed {
            RecordKey::Acceptance(job) => Self::Acceptance(job, decode_value(key, value)?),
            RecordKey::Cancellation(job) => Self::Cancellation(job),
            RecordKey::Outcome(job) => Self::Outcome(job, decode_value(key, value)?),
            RecordKey::Group(group) => {
                let row: GroupRow = decode_value(key, value)?;
                Self::Group(group, row.into())
            }
            RecordKey::Heartbeat => Self::Heartbeat(decode_value(key, value)?),
            RecordKey::Mark => Self::Mark(decode_value(key, value)?),
            RecordKey::Wave(wave) => Self::Wave(wave, decode_value(key, value)?),
        })
    }
}

impl LeadershipClaim {
    /// The claim as the log carries it.
    pub fn encode(&self) -> KeyedRecord {
        KeyedRecord {
            key: LEADERSHIP_CLAIM_KEY.into(),
            value: Some(encode_value(self)),
        }
    }

    /// Reads a claim.
    ///
    /// # Errors
    /// The value is not of this release.
    pub fn decode(value: &[u8]) -> Result<Self, RecordError> {
        decode_value(LEADERSHIP_CLAIM_KEY, value)
    }
}

/// A group record without field names, since most records are of this kind and
/// every host reads them all.
#[derive(Deserialize, Serialize)]
struct GroupRow(
    RunNumber,
    u16,
    GroupStage,
    Vec<MemberPlace>,
    Option<Arc<str>>,
);

impl From<GroupRecord> for GroupRow {
    fn from(record: GroupRecord) -> Self {
        Self(
            record.run,
            record.failures,
            record.stage,
            record.places,
            record.saved,
        )
    }
}

impl From<GroupRow> for GroupRecord {
    fn from(row: GroupRow) -> Self {
        let GroupRow(run, failures, stage, places, saved) = row;
        Self {
            run,
            failures,
            stage,
            places,
            saved,
        }
    }
}

fn encode_value<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(value, &mut bytes) {
        // Writing to memory fails only for types that CBOR cannot hold; there are none.
        log::error!(error = error.to_string().as_str(); "record cannot be encoded");
        debug_assert!(false, "record cannot be encoded: {error}");
    }
    Bytes::from(bytes)
}

fn decode_value<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, RecordError> {
    ciborium::from_reader(value).map_err(|error| RecordError::Value {
        key: key.to_owned(),
        detail: error.to_string(),
    })
}
