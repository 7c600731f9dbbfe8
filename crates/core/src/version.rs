//! What lives for one configuration version: the settings merged from the
//! operator folder.

pub mod settings;
