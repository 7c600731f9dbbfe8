//! Seeded measurements of placement policy, calls, capacity and recovery. Each is one
//! command that produces Markdown tables or plots. Seeded decisions are the same for the
//! same seed; measured times and memory vary between runs.

pub mod calls;
pub mod capacity;
pub mod error;
pub mod plot;
pub mod policy;
pub mod recovery;
