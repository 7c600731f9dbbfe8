//! Everything that can reach the event loop of an entry host.

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::log_appender::{AppendFault, AppendId};
use flamingowalk_core::process::log_follower::{ReadFault, ReadId};
use flamingowalk_core::process::planner::event::{PlannerEvent, SeatTerm};
use flamingowalk_wire::caller::{HostStatus, JobStatus, JobSubmission};
use tokio::sync::{mpsc, oneshot};

use crate::border::caller::JobFault;
use crate::border::hosts::HostListing;
use crate::border::log::{AppendedRange, LogPage};
use crate::border::peer::PeerMessage;
use crate::connection::http_client::ExchangeFault;
use crate::process::call_port::CallMessage;
use crate::process::peer_client::PeerReport;
use crate::process::peer_server::AskingPeer;
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
        reply: oneshot::Sender<Result<JobStatus, JobFault>>,
    },
    /// A caller asked for a job's state.
    JobAsked {
        /// The job.
        job: JobId,
        /// Where the reply goes.
        reply: oneshot::Sender<Result<JobStatus, JobFault>>,
    },
    /// A caller asked for a job's end.
    CancelAsked {
        /// The job.
        job: JobId,
        /// Where the reply goes.
        reply: oneshot::Sender<Result<JobStatus, JobFault>>,
    },
    /// Somebody asked for the summary of this host.
    StatusAsked {
        /// Where the reply goes.
        reply: oneshot::Sender<HostStatus>,
    },
    /// Somebody asked for the state of this host.
    DumpAsked {
        /// Where the reply goes.
        reply: oneshot::Sender<StateDump>,
    },
    /// Somebody asked whether this host takes requests.
    ReadyAsked {
        /// Where the reply goes.
        reply: oneshot::Sender<bool>,
    },
    /// The last connection of a caller has ended.
    ServerEnded,
    /// The host is to shut down gracefully.
    DrainAsked,
    /// A read of a stream was answered, or failed.
    LogRead {
        /// The stream.
        stream: LogStream,
        /// The read.
        read: ReadId,
        /// The page.
        result: Result<LogPage, ReadFault>,
    },
    /// An append to a stream was answered, or failed.
    LogAppended {
        /// The stream.
        stream: LogStream,
        /// The append.
        append: AppendId,
        /// Where the records are.
        result: Result<AppendedRange, AppendFault>,
    },
    /// The host list was read, or not.
    HostsRead {
        /// The listing.
        result: Result<HostListing, ExchangeFault>,
    },
    /// A worker says in its own list that it takes no new work.
    LeavingSeen {
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
        term: SeatTerm,
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
    PeerAsked {
        /// The peer.
        peer: AskingPeer,
        /// The question.
        message: PeerMessage,
        /// Where the answer goes.
        reply: oneshot::Sender<PeerMessage>,
    },
    /// Time passed.
    Ticked,
}
