//! What lives for one request.

pub mod caller_request;
pub mod submission;
