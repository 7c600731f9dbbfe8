//! Commands of callers: `call`, `submit`, `status` and `cancel`.

use std::net::SocketAddr;

use bytes::Bytes;
use flamingowalk_core::prelude::*;
use flamingowalk_node::border::caller::{
    CUSTOMER_HEADER, DEADLINE_HEADER, IDEMPOTENT_HEADER, REQUEST_HEADER,
};
use flamingowalk_node::connection::http_client::HttpClient;
use flamingowalk_wire::caller::{HostStatus, JobStatus, JobSubmission};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::command::{CallOptions, SubmitOptions};
use crate::exit::{CommandError, status_error};
use crate::output::{OutputFormat, TextTable, render_json};

/// Timeout of a job or status request to an entry host.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends one call and returns its response.
///
/// # Errors
/// Returns a [`CommandError`] with the entry host's typed error.
pub async fn call(options: CallOptions) -> Result<String, CommandError> {
    let uri = format!("http://{}/v1/call/{}", options.host, options.service);
    let mut builder = Request::post(uri)
        .header(CUSTOMER_HEADER, &options.customer)
        .header(REQUEST_HEADER, &options.id)
        .header(IDEMPOTENT_HEADER, options.idempotent.to_string());
    if let Some(deadline) = options.deadline_ms {
        builder = builder.header(DEADLINE_HEADER, deadline);
    }
    let request = builder
        .body(Full::new(Bytes::from(options.body)))
        .map_err(|error| CommandError::Refused(format!("the call cannot be sent ({error})")))?;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let unknown_outcome = |detail: String| {
        CommandError::Unknown(format!(
            "{} sent no complete response ({detail})",
            options.host
        ))
    };
    let response = client
        .request(request)
        .await
        .map_err(|error| unknown_outcome(error.to_string()))?;
    let status = response.status();
    let collected = response.into_body().collect().await;
    let body = collected
        .map_err(|error| unknown_outcome(error.to_string()))?
        .to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() {
        Ok(text)
    } else {
        Err(status_error(status.as_u16(), text))
    }
}

/// Submits one job and returns its status.
///
/// # Errors
/// Returns a [`CommandError`] with the entry host's typed error.
pub async fn submit(options: SubmitOptions) -> Result<String, CommandError> {
    let submission = JobSubmission {
        class: options.class,
        customer: options.customer,
        id: options.id,
        start_within_ms: options.start_within_ms,
        zone: options.zone,
    };
    let client = HttpClient::default();
    let status: JobStatus = client
        .exchange_json(
            options.host,
            Method::POST,
            "/v1/jobs",
            Some(&submission),
            REQUEST_TIMEOUT,
        )
        .await?;
    Ok(render_jobs(&[status], options.output))
}

/// Returns the status of one job, or of an entry host with all its jobs.
///
/// # Errors
/// Returns a [`CommandError`] with the entry host's typed error.
pub async fn status(
    host: SocketAddr,
    output: OutputFormat,
    job: Option<String>,
) -> Result<String, CommandError> {
    let client = HttpClient::default();
    if let Some(job) = job {
        let path = format!("/v1/jobs/{job}");
        let status = request_job(&client, host, Method::GET, &path).await?;
        return Ok(render_jobs(&[status], output));
    }
    let response = client
        .exchange_json(
            host,
            Method::GET,
            "/v1/status",
            None::<&()>,
            REQUEST_TIMEOUT,
        )
        .await;
    let status: HostStatus = response?;
    Ok(render_host(&status, output))
}

/// Requests the cancellation of a job and returns its status.
///
/// # Errors
/// Returns a [`CommandError`] with the entry host's typed error.
pub async fn cancel(
    host: SocketAddr,
    output: OutputFormat,
    job: &str,
) -> Result<String, CommandError> {
    let client = HttpClient::default();
    let path = format!("/v1/jobs/{job}");
    let status = request_job(&client, host, Method::DELETE, &path).await?;
    Ok(render_jobs(&[status], output))
}

async fn request_job(
    client: &HttpClient,
    host: SocketAddr,
    method: Method,
    path: &str,
) -> Result<JobStatus, CommandError> {
    let response = client
        .exchange_json(host, method, path, None::<&()>, REQUEST_TIMEOUT)
        .await;
    Ok(response?)
}

/// Renders jobs as a table or as JSON.
pub fn render_jobs(jobs: &[JobStatus], output: OutputFormat) -> String {
    if output == OutputFormat::Json {
        return render_json(&jobs);
    }
    let mut table = TextTable::with_header(&[
        "JOB", "CUSTOMER", "CLASS", "ZONE", "PHASE", "WORKERS", "REASON",
    ]);
    for job in jobs {
        table.add_row(vec![
            job.id.clone(),
            job.customer.clone(),
            job.class.clone(),
            job.zone.clone().unwrap_or_default(),
            job.phase.to_string(),
            job.workers.join(","),
            job.reason.clone().unwrap_or_default(),
        ]);
    }
    table.render()
}

fn render_host(status: &HostStatus, output: OutputFormat) -> String {
    if output == OutputFormat::Json {
        return render_json(status);
    }
    let holder = status.seat_holder.as_deref().unwrap_or("nobody");
    let summary = format!(
        "host {} in {}: ready {}, draining {}, config{}, seat term{} held by {holder}\n",
        status.host,
        status.zone,
        status.ready,
        status.draining,
        status.config_version,
        status.seat_term
    );
    summary + &render_jobs(&status.jobs, output)
}
