//! Seeded measurements of policy, calls, recovery and capacity.

pub mod calls;
