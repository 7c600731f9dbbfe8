//! Generated types of every external interface. One module per interface, each
//! generated from the JSON schema of the same name in `schemas/` and committed.
//! Inner code never uses these types directly; one conversion module per
//! interface in the node crate does.

#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, clippy::use_self, reason = "generated code")]
#[allow(missing_docs, reason = "generated conversions carry no comments")]
pub mod caller;
#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, clippy::use_self, reason = "generated code")]
#[allow(missing_docs, reason = "generated conversions carry no comments")]
pub mod hosts;
#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, clippy::use_self, reason = "generated code")]
#[allow(missing_docs, reason = "generated conversions carry no comments")]
pub mod log;
#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, clippy::use_self, reason = "generated code")]
#[allow(missing_docs, reason = "generated conversions carry no comments")]
pub mod peer;
#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, clippy::use_self, reason = "generated code")]
#[allow(missing_docs, reason = "generated conversions carry no comments")]
pub mod records;
#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, clippy::use_self, reason = "generated code")]
#[allow(missing_docs, reason = "generated conversions carry no comments")]
pub mod target;
