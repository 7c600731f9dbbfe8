//! Data of a single request.

pub mod caller_request;
pub mod submission;
