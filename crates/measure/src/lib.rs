//! Seeded measurements. Each runs by one command, prints Markdown and plots, and
//! gives the same decisions for the same seed.

pub mod calls;
pub mod capacity;
pub mod error;
pub mod plot;
pub mod policy;
pub mod recovery;
