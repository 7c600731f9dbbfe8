//! Verbs for one entry host: `drain` and `dump`.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingowalk_core::prelude::*;
use flamingowalk_node::connection::http_client::HttpClient;
use hyper::Method;

use crate::exit::{CommandError, status_error};
use crate::output::OutputFormat;

/// Time an entry host has for the answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Begins the graceful shutdown of an entry host.
///
/// # Errors
/// [`CommandFault::Unknown`] when the host does not answer.
pub async fn drain(host: SocketAddr) -> Result<String, CommandError> {
    ask_text(host, Method::POST, "/v1/drain").await
}

/// Prints the state of an entry host.
///
/// # Errors
/// [`CommandFault::Unknown`] when the host does not answer.
pub async fn dump(host: SocketAddr, output: OutputFormat) -> Result<String, CommandError> {
    let path = match output {
        OutputFormat::Table => "/debug/state",
        OutputFormat::Json => "/debug/state?format=json",
    };
    ask_text(host, Method::GET, path).await
}

async fn ask_text(host: SocketAddr, method: Method, path: &str) -> Result<String, CommandError> {
    let client = HttpClient::default();
    let answer = client
        .exchange(host, method, path, Bytes::new(), REQUEST_TIMEOUT)
        .await;
    let (status, body) = answer?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        Ok(text)
    } else {
        Err(status_error(status.as_u16(), text))
    }
}
