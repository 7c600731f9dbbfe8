//! The verb `try`: the whole path in one process, from the folder through the
//! log to calls and a gang job.

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

/// Calls of a trial.
const CALL_COUNT: usize = 8;
/// Time left of each call in milliseconds.
const CALL_DEADLINE_MS: u64 = 5_000;
/// Time an entry host has for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs an example.
///
/// # Errors
/// [`CommandError`] when a call was not answered or a job did not finish.
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

/// Accelerators of a whole gang.
fn gang_size(class: &JobClass) -> u32 {
    class.tasks * class.accelerators
}

async fn run_jobs(
    platform: &TrialPlatform,
    settings: &SystemSettings,
) -> Result<Vec<JobStatus>, CommandError> {
    let client = HttpClient::default();
    let gang = settings
        .classes
        .iter()
        .max_by_key(|(_, class)| gang_size(class));
    let quick = settings
        .classes
        .iter()
        .min_by_key(|(_, class)| (class.run_time, class.tasks));
    let mut jobs = Vec::new();
    for (number, (name, class)) in gang.into_iter().chain(quick).enumerate() {
        let entry = &platform.entries[number * 2 % platform.entries.len()];
        let any = settings.customers.keys().next();
        let customer = class.customer.as_ref().or(any);
        let submission = JobSubmission {
            class: name.to_string(),
            customer: customer.map(CustomerName::to_string).unwrap_or_default(),
            id: format!("job-{number}"),
            start_within_ms: None,
            zone: Some(entry.zone.to_string()),
        };
        let answer = client
            .exchange_json::<_, JobStatus>(
                entry.handle.address,
                Method::POST,
                "/v1/jobs",
                Some(&submission),
                REQUEST_TIMEOUT,
            )
            .await;
        let accepted = answer?;
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
    let ask = || async {
        let answer = client
            .exchange_json(address, Method::GET, path, None::<&()>, REQUEST_TIMEOUT)
            .await;
        answer.map_err(CommandError::from)
    };
    let open = [JobPhase::Accepted, JobPhase::Starting, JobPhase::Running];
    poll_until(ask, |status: &JobStatus| !open.contains(&status.phase)).await
}
