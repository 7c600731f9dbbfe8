//! The command `try`: runs the whole system in one process, from publishing an example
//! folder to calls and jobs, one of them a gang.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::version::settings::{JobClass, SystemSettings};
use flamingowalk_node::connection::http_client::HttpClient;
use flamingowalk_wire::caller::{JobPhase, JobStatus, JobSubmission};
use hyper::Method;

use crate::caller_commands::call;
use crate::command::CallOptions;
use crate::exit::CommandError;
use crate::output::OutputFormat;
use crate::try_platform::{TrialPlatform, example_folder, poll_until};
use crate::try_report::{CallLine, TryReport};

/// Number of calls of a trial run.
const CALL_COUNT: usize = 8;
/// Deadline of each call in milliseconds from its start.
const CALL_DEADLINE_MS: u64 = 5_000;
/// Timeout of a request to an entry host.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs an example and renders its report.
///
/// # Errors
/// Returns a [`CommandError`] if a call was not answered or a job did not finish.
pub async fn run_example(name: &str, output: OutputFormat) -> Result<String, CommandError> {
    let example = example_folder(name)?;
    let platform = TrialPlatform::start(&example.settings).await?;
    platform.publish(&example);
    let config_version = platform.wait_ready().await?;
    let calls = run_calls(&platform, &example.settings).await;
    let jobs = run_jobs(&platform, &example.settings).await?;
    let report = TryReport {
        example: name.to_owned(),
        hosts: platform.entries.len(),
        workers: platform.workers.len(),
        config_version,
        calls,
        jobs,
    };
    report.finish(output)
}

async fn run_calls(platform: &TrialPlatform, settings: &SystemSettings) -> Vec<CallLine> {
    let customers: Vec<_> = settings.customers.keys().collect();
    let Some(service) = settings.services.keys().next() else {
        return Vec::new();
    };
    let mut lines = Vec::new();
    for number in 0..CALL_COUNT {
        let entry = &platform.entries[number % platform.entries.len()];
        let customer = customers[number % customers.len()].to_string();
        let id = format!("call-{number}");
        let options = CallOptions {
            host: entry.handle.address,
            customer: customer.clone(),
            id: id.clone(),
            deadline_ms: Some(CALL_DEADLINE_MS),
            idempotent: number % 2 == 0,
            service: service.to_string(),
            body: format!("check {number}"),
        };
        let result = call(options).await.map_err(|error| error.to_string());
        lines.push(CallLine {
            id,
            host: entry.name.clone(),
            customer,
            result,
        });
    }
    lines
}

/// Returns the number of accelerators of all tasks of a gang.
fn gang_size(class: &JobClass) -> u32 {
    class.tasks * class.accelerators
}

async fn run_jobs(
    platform: &TrialPlatform,
    settings: &SystemSettings,
) -> Result<Vec<JobStatus>, CommandError> {
    let client = HttpClient::default();
    let largest = settings
        .classes
        .iter()
        .max_by_key(|(_, class)| gang_size(class));
    let shortest = settings
        .classes
        .iter()
        .min_by_key(|(_, class)| (class.run_time, class.tasks));
    let mut jobs = Vec::new();
    for (number, (name, class)) in largest.into_iter().chain(shortest).enumerate() {
        let entry = &platform.entries[number * 2 % platform.entries.len()];
        let fallback = settings.customers.keys().next();
        let customer = class.customer.as_ref().or(fallback);
        let submission = JobSubmission {
            class: name.to_string(),
            customer: customer.map(CustomerName::to_string).unwrap_or_default(),
            id: format!("job-{number}"),
            start_within_ms: None,
            zone: Some(entry.zone.to_string()),
        };
        let response = client
            .exchange_json::<_, JobStatus>(
                entry.handle.address,
                Method::POST,
                "/v1/jobs",
                Some(&submission),
                REQUEST_TIMEOUT,
            )
            .await;
        let accepted = response?;
        let address = entry.handle.address;
        let path = format!("/v1/jobs/{}", accepted.id);
        jobs.push(wait_job(&client, address, &path).await?);
    }
    Ok(jobs)
}

async fn wait_job(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
) -> Result<JobStatus, CommandError> {
    let poll = || async {
        let response = client
            .exchange_json(address, Method::GET, path, None::<&()>, REQUEST_TIMEOUT)
            .await;
        response.map_err(CommandError::from)
    };
    let active = [JobPhase::Accepted, JobPhase::Starting, JobPhase::Running];
    poll_until(poll, |status: &JobStatus| !active.contains(&status.phase)).await
}
