//! The planner seat of one availability zone: which entry host may start jobs.
//! The order of records in the platform's log decides who holds the seat; log
//! reads and promises of the other candidates decide how long the holder may act.

pub mod action;
pub mod authority;
pub mod candidate;
mod candidate_steps;
pub mod event;
mod holder_steps;
pub mod ledger;
pub mod record;
pub mod state;
pub mod times;
pub mod verifier;

pub use action::SeatAction;
pub use event::SeatEvent;
pub use ledger::{PlacedRecord, SeatLedger, SeatTenure};
pub use record::{RosterMember, RosterOffset, SeatRecord};
pub use state::SeatState;
pub use times::SeatTimes;
