//! The events that the event loop of an entry host handles.

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

/// A stream of the log that entry hosts read and write.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LogStream {
    /// Published configurations.
    Config,
    /// Acceptance, start and end of jobs of all zones.
    Jobs,
    /// Records of the leader election of one zone.
    Seat(ZoneName),
}

impl LogStream {
    /// Returns the name of the stream in the log.
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
    /// A message from the task of a call or a probe.
    Call(CallMessage),
    /// A caller submitted a job.
    JobSubmitted {
        /// The submission.
        submission: JobSubmission,
        /// Sender for the reply.
        reply: oneshot::Sender<Result<JobStatus, JobError>>,
    },
    /// A caller requested the status of a job.
    JobStatusRequested {
        /// The job.
        job: JobId,
        /// Sender for the reply.
        reply: oneshot::Sender<Result<JobStatus, JobError>>,
    },
    /// A caller requested the cancellation of a job.
    CancelRequested {
        /// The job.
        job: JobId,
        /// Sender for the reply.
        reply: oneshot::Sender<Result<JobStatus, JobError>>,
    },
    /// A client requested the summary of this host.
    StatusRequested {
        /// Sender for the reply.
        reply: oneshot::Sender<HostStatus>,
    },
    /// A client requested the full state of this host.
    DumpRequested {
        /// Sender for the reply.
        reply: oneshot::Sender<StateDump>,
    },
    /// A client requested whether this host is ready for requests.
    ReadinessRequested {
        /// Sender for the reply.
        reply: oneshot::Sender<bool>,
    },
    /// The last connection of a caller has ended.
    ServerEnded,
    /// A graceful shutdown was requested.
    DrainRequested,
    /// A read of a stream was answered or failed.
    LogRead {
        /// The stream.
        stream: LogStream,
        /// The read.
        read: ReadId,
        /// The page that was read.
        result: Result<LogPage, ReadError>,
    },
    /// An append to a stream was answered or failed.
    LogAppended {
        /// The stream.
        stream: LogStream,
        /// The append.
        append: AppendId,
        /// Offsets of the appended records.
        result: Result<AppendedRange, AppendError>,
    },
    /// The host list was read, or the read failed.
    HostsRead {
        /// The listing.
        result: Result<HostListing, ExchangeError>,
    },
    /// A worker reported in its task list that it accepts no new work.
    WorkerDraining {
        /// The worker.
        worker: WorkerName,
        /// Incarnation that reported it; it never accepts new work again.
        incarnation: u64,
    },
    /// The host list has not changed since the previous read.
    HostsUnchanged,
    /// A worker answered a planner action.
    PlannerAnswered {
        /// Term under which the action was sent; answers for other terms are ignored.
        term: LeaderTerm,
        /// The answer.
        event: PlannerEvent,
    },
    /// A link to a peer reported a message or a change of its state.
    PeerReported {
        /// The peer.
        host: HostName,
        /// The report.
        report: PeerReport,
    },
    /// A peer sent a request. The reply sender is dropped if there is no answer.
    PeerRequested {
        /// The peer.
        peer: RequestingPeer,
        /// The request.
        message: PeerMessage,
        /// Sender for the answer.
        reply: oneshot::Sender<PeerMessage>,
    },
    /// The tick interval of the loop has passed.
    Ticked,
}
