//! Code scoped to one request of a caller: routes, calls and job requests.

pub mod call;
pub mod call_request;
pub mod job_request;
pub mod route;
