//! The planner of a domain: decides which group of units runs where and when. It
//! lives for one term of the leader. [`PlannerState`] handles typed events and returns
//! typed actions; state that must survive the planner is written to the jobs stream
//! before the planner acts on it.

pub mod admission;
pub mod advice;
pub mod backlog;
pub mod cost;
pub mod decision;
pub mod draining;
pub mod end;
pub mod estimate;
pub mod evacuation;
pub mod evidence;
pub mod explain;
pub mod figures_dump;
pub mod figures_record;
pub mod forecast;
pub mod guarantee;
pub mod headroom;
pub mod health;
pub mod job;
pub mod late_start;
pub mod limits;
pub mod listing;
pub mod objectives;
pub mod order;
pub mod outage;
pub mod pass;
pub mod place;
pub mod poll;
pub mod progress;
pub mod reclaim;
pub mod release;
pub mod report;
pub mod reservation;
pub mod sample;
pub mod shares;
pub mod sharing;
pub mod speed;
pub mod start;
pub mod start_poll;
pub mod state;
pub mod takeover;
pub mod upkeep;
pub mod verifier;
pub mod worker;
pub mod worker_figures;
pub mod writer;

pub use limits::{OverloadLimits, PlanLimits};
pub use state::PlannerState;
