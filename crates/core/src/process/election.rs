//! The planner seat of one availability zone: which entry host may start jobs.
//! The order of records in the platform's log decides who holds the seat; log
//! reads and promises of the other candidates decide how long the holder may act.

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
