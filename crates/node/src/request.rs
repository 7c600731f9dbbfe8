//! What lives for one request.

pub mod call;
pub mod call_request;
