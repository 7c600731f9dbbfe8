//! What lives for one connection: HTTP clients and servers.

pub mod http_client;
pub mod http_server;
