//! Records of the jobs stream and of the `seat` stream. Each has a key, and the newest record
//! of a key replaces the earlier ones. Reading them in any order in which the newest record
//! of each key comes last therefore gives the same state.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::prelude::*;
use crate::request::submission::{JobSubmission, WallMillis};

/// Key of the planner's heartbeats.
const HEARTBEAT_KEY: &str = "h";
/// Key of the marks that number the planner's appends.
const MARK_KEY: &str = "w";
/// Key of the figures of the queues.
const RUN_TIMES_KEY: &str = "rt";
/// Kind of the keys of the workers' speeds.
const SPEEDS_KIND: &str = "sp";
/// Key of the claims in the `seat` stream.
pub const LEADERSHIP_CLAIM_KEY: &str = "seat";

/// An encoded record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyedRecord {
    /// Key.
    pub key: Arc<str>,
    /// Encoded value; `None` removes the key.
    pub value: Option<Bytes>,
}

/// Key of a record of the jobs stream.
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
    /// Heartbeat of the planner.
    Heartbeat,
    /// Mark of the planner's newest append.
    Mark,
    /// Progress of a wave of upkeep.
    Wave(WaveNumber),
    /// Speeds of one part of the workers.
    Speeds(u8),
    /// Figures of the run times of all queues.
    RunTimes,
}

/// A job with the settings under which it runs, as they were when it was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AcceptedJob {
    /// Queue that accepted it.
    pub queue: QueueName,
    /// Service whose workers run it.
    pub service: ServiceName,
    /// Customer whose key came with the request; `None` if it came without a valid key, as
    /// public queues allow.
    pub customer: Option<CustomerName>,
    /// Priority of the queue; zero is the most urgent.
    pub priority: u8,
    /// Failed runs of one unit after which the job fails.
    pub max_attempts: u16,
    /// Factor on the run time of the job's critical path; the product plus
    /// `target_latency_ms` is the time that the job may take.
    pub stretch: f64,
    /// Constant part of the time that the job may take, in milliseconds.
    pub target_latency_ms: u64,
    /// Wall clock of the accepting host at the acceptance.
    pub accepted_at: WallMillis,
    /// What the caller submitted.
    pub submission: JobSubmission,
}

impl AcceptedJob {
    /// Returns what has to stay known of a job that has ended: that it was accepted, and by
    /// which queue.
    #[must_use]
    pub fn compacted(&self) -> Self {
        Self {
            queue: self.queue.clone(),
            service: self.service.clone(),
            customer: self.customer.clone(),
            submission: JobSubmission {
                spec: "".into(),
                steps: Vec::new(),
                schedule: None,
            },
            ..*self
        }
    }

    /// Whether only that is left.
    pub const fn is_compacted(&self) -> bool {
        self.submission.steps.is_empty()
    }
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobOutcome {
    /// All units are done.
    Completed,
    /// A unit or a gang has reached the queue's limit of failed runs.
    Failed,
}

/// Stage of a group.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum GroupStage {
    /// Its newest run may be active on the recorded workers.
    Started,
    /// No run of it is active, and it has to run again.
    Waiting,
    /// All its units are done.
    Done,
}

/// Place of one member of a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberPlace(
    /// Worker.
    pub WorkerName,
    /// Incarnation of the worker at the start.
    pub WorkerIncarnation,
);

/// Progress of a group; replaces earlier records of the group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupRecord {
    /// Newest run; zero before the first.
    pub run: RunNumber,
    /// Number of failed runs.
    pub failures: u16,
    /// The failed runs, unless the record is from a release that did not list them.
    pub failed_runs: BTreeSet<RunNumber>,
    /// Stage of the group.
    pub stage: GroupStage,
    /// Places of the members in their order, while the stage is [`GroupStage::Started`].
    pub places: Vec<MemberPlace>,
    /// Newest checkpoint from which the group can resume.
    pub saved: Option<Arc<str>>,
    /// Indices of the members that no longer occupy their workers, while the others are being
    /// stopped.
    pub released: BTreeSet<u16>,
}

/// Heartbeat of the planner, with the state that other hosts need.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlannerHeartbeat {
    /// Epoch of the planner.
    pub epoch: LeaderEpoch,
    /// Host of the planner.
    pub host: HostName,
    /// Milliseconds since this planner became leader; no earlier planner can have written
    /// to the log since then.
    #[serde(rename = "tenure_ms")]
    pub leader_time_ms: u64,
    /// Whether the planner has resigned, so that another host may claim leadership at once.
    #[serde(rename = "has_yielded")]
    pub has_resigned: bool,
    /// Queues that accept no further jobs for now.
    pub full_queues: Vec<FullQueue>,
    /// Queues that accept no further jobs of one customer for now. Separate, since earlier
    /// releases would refuse the jobs of all customers; absent if empty, as they write it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub full_shares: Vec<FullQueue>,
}

/// A queue whose further jobs would miss their completion time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FullQueue {
    /// Name of the queue.
    pub queue: QueueName,
    /// Milliseconds after which a further job may complete in time again.
    pub retry_after_ms: u64,
    /// Customer for whom the queue is full; `None` for all callers. Earlier releases neither
    /// write nor read it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerName>,
}

/// Progress of a wave of upkeep.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// Whether the upkeep of all its machines that are still listed has started or is not
    /// needed.
    pub is_completed: bool,
    /// Machines whose upkeep has started or is not needed.
    pub done: BTreeSet<MachineName>,
}

/// Speeds of a part of the workers, as the planner learned them. Names that are unknown are
/// ignored, as is a record that is old.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpeedRecord(
    /// Wall clock of the planner's host.
    pub WallMillis,
    /// Workers of which samples exist.
    pub Vec<SpeedRow>,
);

/// Speed of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpeedRow(
    /// Worker.
    pub WorkerName,
    /// Logarithm of the speed relative to an average worker, in hundredths.
    pub i16,
    /// Standard error of this logarithm, in hundredths.
    pub u8,
);

/// Figures of the run times of all queues, as the planner learned them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunTimesRecord(
    /// Wall clock of the planner's host.
    pub WallMillis,
    /// Queues of which runs were observed.
    pub Vec<QueueRow>,
);

/// Figures of a queue.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueueRow(
    /// Queue.
    pub QueueName,
    /// Number of runs.
    pub u32,
    /// Mean logarithms of the run time in milliseconds and of its ratio to the estimate, their
    /// mean squared errors, and the variance between alike units, in thousandths.
    pub [i32; 5],
    /// Runs by the class of their ratio to the expected run time, in tenths.
    pub Vec<u32>,
);

/// Number of an append of the planner. If the response to an append is lost, the planner
/// reads this mark to find out that the append took effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendMark(
    /// Epoch of the planner.
    pub LeaderEpoch,
    /// Number of the append within the epoch.
    pub u64,
);

/// Claim of leadership. It is appended on the condition that no other claim was appended in
/// the meantime.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeadershipClaim {
    /// Host that claims.
    pub host: HostName,
    /// Number that identifies the claim, so that the host recognises it if the response to
    /// the append is lost. Derived from a random number of the process.
    pub nonce: u64,
}

/// A decoded record of the jobs stream.
#[derive(Clone, Debug, PartialEq)]
pub enum JobRecord {
    /// A job was accepted.
    Acceptance(JobKey, Arc<AcceptedJob>),
    /// A job was cancelled.
    Cancellation(JobKey),
    /// A job ended.
    Outcome(JobKey, JobOutcome),
    /// A group made progress.
    Group(GroupKey, GroupRecord),
    /// The planner sent a heartbeat.
    Heartbeat(PlannerHeartbeat),
    /// The planner's append of this number is in the log.
    Mark(AppendMark),
    /// A wave of upkeep made progress.
    Wave(WaveNumber, WaveRecord),
    /// The planner has learned the speeds of a part of the workers.
    Speeds(u8, SpeedRecord),
    /// The planner has learned the figures of the queues.
    RunTimes(RunTimesRecord),
    /// The key was removed.
    Tombstone(RecordKey),
}

/// Why a record cannot be decoded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RecordError {
    /// The kind of the key is unknown to this release, or the key is malformed.
    #[error("unknown record key {0:?}; a newer release may have written it")]
    Key(String),
    /// The value cannot be decoded as the type that belongs to the key.
    #[error("record {key:?} cannot be read ({detail}); a newer release may have written it")]
    Value {
        /// Key of the record.
        key: String,
        /// Description of the error.
        detail: String,
    },
}

impl RecordKey {
    /// Returns the text of the key in the log.
    pub fn text(&self) -> Arc<str> {
        match self {
            Self::Acceptance(job) => format!("a/{job}").into(),
            Self::Cancellation(job) => format!("c/{job}").into(),
            Self::Outcome(job) => format!("o/{job}").into(),
            Self::Group(group) => group_text(group).into(),
            Self::Heartbeat => HEARTBEAT_KEY.into(),
            Self::Mark => MARK_KEY.into(),
            Self::Wave(wave) => format!("w/{}", wave.0).into(),
            Self::Speeds(part) => format!("{SPEEDS_KIND}/{part}").into(),
            Self::RunTimes => RUN_TIMES_KEY.into(),
        }
    }

    /// Parses the text of a key; `None` if it is unknown or malformed.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            HEARTBEAT_KEY => return Some(Self::Heartbeat),
            MARK_KEY => return Some(Self::Mark),
            RUN_TIMES_KEY => return Some(Self::RunTimes),
            _ => {}
        }
        let (kind, rest) = text.split_once('/')?;
        match kind {
            "a" => rest.parse().ok().map(Self::Acceptance),
            "c" => rest.parse().ok().map(Self::Cancellation),
            "o" => rest.parse().ok().map(Self::Outcome),
            "g" => parse_group(rest).map(Self::Group),
            "w" => rest.parse().ok().map(WaveNumber).map(Self::Wave),
            SPEEDS_KIND => rest.parse().ok().map(Self::Speeds),
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
    /// Encodes the record for the log.
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
            Self::Speeds(part, record) => (RecordKey::Speeds(*part), Some(encode_value(record))),
            Self::RunTimes(record) => (RecordKey::RunTimes, Some(encode_value(record))),
            Self::Tombstone(key) => (*key, None),
        };
        KeyedRecord {
            key: key.text(),
            value,
        }
    }

    /// Decodes a record of the log.
    ///
    /// # Errors
    /// The key or the value is unknown to this release or malformed.
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
            RecordKey::Speeds(part) => Self::Speeds(part, decode_value(key, value)?),
            RecordKey::RunTimes => Self::RunTimes(decode_value(key, value)?),
        })
    }
}

impl LeadershipClaim {
    /// Encodes the claim for the log.
    pub fn encode(&self) -> KeyedRecord {
        KeyedRecord {
            key: LEADERSHIP_CLAIM_KEY.into(),
            value: Some(encode_value(self)),
        }
    }

    /// Decodes a claim.
    ///
    /// # Errors
    /// The value is unknown to this release or malformed.
    pub fn decode(value: &[u8]) -> Result<Self, RecordError> {
        decode_value(LEADERSHIP_CLAIM_KEY, value)
    }
}

/// Encoded form of a group record. It has no field names, since most records are of this kind
/// and every host reads all of them.
#[derive(Deserialize, Serialize)]
struct GroupRow(
    RunNumber,
    u16,
    GroupStage,
    Vec<MemberPlace>,
    Option<Arc<str>>,
    // Last and optional, so that earlier releases and this one can read each other's records.
    #[serde(default)] BTreeSet<RunNumber>,
    #[serde(default)] BTreeSet<u16>,
);

impl From<GroupRecord> for GroupRow {
    fn from(record: GroupRecord) -> Self {
        Self(
            record.run,
            record.failures,
            record.stage,
            record.places,
            record.saved,
            record.failed_runs,
            record.released,
        )
    }
}

impl From<GroupRow> for GroupRecord {
    fn from(row: GroupRow) -> Self {
        let GroupRow(run, failures, stage, places, saved, failed_runs, released) = row;
        Self {
            run,
            failures,
            failed_runs,
            stage,
            places,
            saved,
            released,
        }
    }
}

fn encode_value<T: Serialize>(value: &T) -> Bytes {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(value, &mut bytes) {
        // Writing to memory fails only for types that CBOR cannot represent; the records
        // contain none.
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
