//! Leader election among the planners of one availability zone: decides which
//! entry host may start jobs. The order of records in the platform's log decides
//! who is the leader. The leader may act for as long as its leader lease lasts,
//! which reads of the log and grants of the other voters extend.

pub mod action;
pub mod candidate;
mod candidate_steps;
pub mod event;
pub mod history;
mod holder_steps;
pub mod leader_lease;
pub mod record;
pub mod state;
pub mod times;
pub mod verifier;

pub use action::ElectionAction;
pub use event::ElectionEvent;
pub use history::{ElectionHistory, PlacedRecord, TermEntry};
pub use record::{ElectionRecord, VoterIdentity, VoterSetOffset};
pub use state::LeaderElection;
pub use times::ElectionTimes;
