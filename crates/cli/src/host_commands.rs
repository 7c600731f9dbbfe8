//! Commands for one host: `drain`, `dump` and `explain` with a job.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingowalk_core::prelude::*;
use flamingowalk_node::connection::http_client::HttpClient;
use hyper::Method;

use crate::command::PlacementOptions;
use crate::exit::{CommandError, status_error};
use crate::output::OutputFormat;

/// Timeout of a request to an entry host.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the graceful shutdown of an entry host.
///
/// # Errors
/// Returns [`CommandError::Unknown`] if the host does not respond.
pub async fn drain(host: SocketAddr) -> Result<String, CommandError> {
    request_text(host, Method::POST, "/v1/drain", Bytes::new()).await
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
    request_text(host, Method::GET, path, Bytes::new()).await
}

/// Asks a host that plans where a job would go now, without submitting it.
///
/// # Errors
/// Returns [`CommandError::Refused`] if the file cannot be read, a name is not valid or the
/// host refuses, and [`CommandError::Unknown`] if the host does not respond.
pub async fn explain_placement(options: PlacementOptions) -> Result<String, CommandError> {
    let file = options.job.display();
    let body = std::fs::read(&options.job).map_err(|error| {
        CommandError::Refused(format!("{file}: cannot be read ({error}); check the path"))
    })?;
    let mut path = format!("/explain?queue={}", query_name(&options.queue)?);
    if let Some(customer) = &options.customer {
        path.push_str("&customer=");
        path.push_str(query_name(customer)?);
    }
    if options.output == OutputFormat::Json {
        path.push_str("&format=json");
    }
    request_text(options.host, Method::POST, &path, body.into()).await
}

/// Returns a name that can stand in a query without escapes.
fn query_name(name: &str) -> Result<&str, CommandError> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.:/@".contains(c);
    if !name.is_empty() && name.chars().all(is_plain) {
        return Ok(name);
    }
    Err(CommandError::Refused(format!(
        "{name:?} is no name of a queue or customer; use letters, digits and - _ . : / @"
    )))
}

async fn request_text(
    host: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<String, CommandError> {
    let client = HttpClient::default();
    let response = client
        .exchange(host, method, path, body, REQUEST_TIMEOUT)
        .await;
    let (status, body) = response?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        Ok(text)
    } else {
        Err(status_error(status.as_u16(), text))
    }
}
