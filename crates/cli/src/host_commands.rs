//! Commands for one entry host: `drain` and `dump`.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingowalk_core::prelude::*;
use flamingowalk_node::connection::http_client::HttpClient;
use hyper::Method;

use crate::exit::{CommandError, status_error};
use crate::output::OutputFormat;

/// Timeout of a request to an entry host.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the graceful shutdown of an entry host.
///
/// # Errors
/// Returns [`CommandError::Unknown`] if the host does not respond.
pub async fn drain(host: SocketAddr) -> Result<String, CommandError> {
    request_text(host, Method::POST, "/v1/drain").await
}

/// Returns a dump of the state of an entry host.
///
/// # Errors
/// Returns [`CommandError::Unknown`] if the host does not respond.
pub async fn dump(host: SocketAddr, output: OutputFormat) -> Result<String, CommandError> {
    let path = match output {
        OutputFormat::Table => "/debug/state",
        OutputFormat::Json => "/debug/state?format=json",
    };
    request_text(host, Method::GET, path).await
}

async fn request_text(
    host: SocketAddr,
    method: Method,
    path: &str,
) -> Result<String, CommandError> {
    let client = HttpClient::default();
    let response = client
        .exchange(host, method, path, Bytes::new(), REQUEST_TIMEOUT)
        .await;
    let (status, body) = response?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        Ok(text)
    } else {
        Err(status_error(status.as_u16(), text))
    }
}
