//! Code scoped to one connection: HTTP clients and servers, links between peers.

pub mod client_guard;
pub mod client_limits;
pub mod client_record;
pub mod client_stream;
pub mod http_client;
pub mod http_server;
pub mod peer_link;
pub mod request_body;
pub mod target_connection;
pub mod target_pool;
pub mod target_request;
pub mod target_response;
pub mod target_stream;
