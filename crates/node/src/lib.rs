//! The event loop of an entry host and its connections.
