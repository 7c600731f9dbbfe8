//! Everything that can reach the event loop of an entry host.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::log_appender::{AppendError, AppendId};
use flamingowalk_core::process::log_follower::{ReadError, ReadId};
use flamingowalk_core::process::planner::event::{LeaderTerm, PlannerEvent};
use flamingowalk_wire::caller::{HostStatus, JobStatus, JobSubmission};
use tokio::sync::{mpsc, oneshot};

use crate::border::caller::JobError;
use crate::border::hosts::HostListing;
use crate::border::log::{AppendedRange, LogPage};
use crate::border::peer::PeerMessage;
use crate::connection::http_client::ExchangeError;
use crate::process::call_port::CallMessage;
use crate::process::peer_client::PeerReport;
use crate::process::peer_server::RequestingPeer;
use crate::process::state_dump::StateDump;

/// Sends events to the loop.
pub type EventSender = mpsc::UnboundedSender<HostEvent>;

/// Name of a log stream with what it holds.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LogStream {
    /// Published configurations.
    Config,
    /// Acceptance, start and end of jobs of all zones.
    Jobs,
    /// Seat records of one zone.
    Seat(ZoneName),
}

impl LogStream {
    /// Name of the stream on the log.
    pub fn name(&self) -> String {
        match self {
            Self::Config => "config".to_owned(),
            Self::Jobs => "jobs".to_owned(),
            Self::Seat(zone) => format!("seat.{zone}"),
        }
    }
}

/// An event of the loop.
#[derive(Debug)]
pub enum HostEvent {
    /// The task of a call has something to tell.
    Call(CallMessage),
    /// A caller submitted a job.
    JobSubmitted {
        /// The submission.
        submission: JobSubmission,
        /// Where its reply goes.
        reply: oneshot::Sender<Result<JobStatus, JobError>>,
    },
    /// A caller asked for a job's state.
    JobStatusRequested {
        /// The job.
        job: JobId,
        /// Where the reply goes.
        reply: oneshot::Sender<Result<JobStatus, JobError>>,
    },
    /// A caller asked for a job's end.
    CancelRequested {
        /// The job.
        job: JobId,
        /// Where the reply goes.
        reply: oneshot::Sender<Result<JobStatus, JobError>>,
    },
    /// Somebody asked for the summary of this host.
    StatusRequested {
        /// Where the reply goes.
        reply: oneshot::Sender<HostStatus>,
    },
    /// Somebody asked for the state of this host.
    DumpRequested {
        /// Where the reply goes.
        reply: oneshot::Sender<StateDump>,
    },
    /// Somebody asked whether this host takes requests.
    ReadinessRequested {
        /// Where the reply goes.
        reply: oneshot::Sender<bool>,
    },
    /// The last connection of a caller has ended.
    ServerEnded,
    /// The host is to shut down gracefully.
    DrainRequested,
    /// A read of a stream was answered, or failed.
    LogRead {
        /// The stream.
        stream: LogStream,
        /// The read.
        read: ReadId,
        /// The page.
        result: Result<LogPage, ReadError>,
    },
    /// An append to a stream was answered, or failed.
    LogAppended {
        /// The stream.
        stream: LogStream,
        /// The append.
        append: AppendId,
        /// Where the records are.
        result: Result<AppendedRange, AppendError>,
    },
    /// The host list was read, or not.
    HostsRead {
        /// The listing.
        result: Result<HostListing, ExchangeError>,
    },
    /// A worker says in its own list that it takes no new work.
    WorkerDraining {
        /// The worker.
        worker: WorkerName,
        /// Its incarnation, for which the word holds for good.
        incarnation: u64,
    },
    /// The host list answered that it has not changed.
    HostsUnchanged,
    /// A worker answered a planner action.
    PlannerAnswered {
        /// Term under which the action was sent; answers to other terms are ignored.
        term: LeaderTerm,
        /// The answer.
        event: PlannerEvent,
    },
    /// A link to a peer has news.
    PeerReported {
        /// The peer.
        host: HostName,
        /// The news.
        report: PeerReport,
    },
    /// A peer asks something; no reply means that there is no answer.
    PeerRequested {
        /// The peer.
        peer: RequestingPeer,
        /// The question.
        message: PeerMessage,
        /// Where the answer goes.
        reply: oneshot::Sender<PeerMessage>,
    },
    /// Time passed.
    Ticked,
}
