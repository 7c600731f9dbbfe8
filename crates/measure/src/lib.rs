//! Seeded measurements of policy, calls, recovery and capacity.
