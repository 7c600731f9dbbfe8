//! What lives for one request.

pub mod front_request;
pub mod submission;
