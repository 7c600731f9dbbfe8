//! Names of the counters and gauges of the process. Counters are preferred to log
//! lines, which are written only for changes of state.

use metrics::{describe_counter, describe_gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Calls that ended, by `outcome`.
pub const CALLS_ENDED: &str = "flamingowalk_calls_ended_total";
/// Job requests that ended, by `verb` and `outcome`.
pub const JOB_REQUESTS: &str = "flamingowalk_job_requests_total";
/// Log reads, by `stream` and `outcome`.
pub const LOG_READS: &str = "flamingowalk_log_reads_total";
/// Log appends, by `stream` and `outcome`.
pub const LOG_APPENDS: &str = "flamingowalk_log_appends_total";
/// Records that could not be used, by `stream` and `cause`.
pub const RECORDS_SKIPPED: &str = "flamingowalk_records_skipped_total";
/// Reads of the host list, by `outcome`.
pub const HOST_LIST_READS: &str = "flamingowalk_host_list_reads_total";
/// Requests to workers, by `verb` and `outcome`.
pub const TASK_REQUESTS: &str = "flamingowalk_task_requests_total";
/// Bytes of peer messages, by direction (`way`).
pub const PEER_BYTES: &str = "flamingowalk_peer_bytes_total";
/// Peer messages of unknown kinds.
pub const PEER_MESSAGES_SKIPPED: &str = "flamingowalk_peer_messages_skipped_total";
/// Links of peers that were refused, by `cause`.
pub const PEERS_REFUSED: &str = "flamingowalk_peers_refused_total";
/// Configuration version in force.
pub const CONFIG_VERSION: &str = "flamingowalk_config_version";
/// 1 while this host is the leader of its zone's planner, otherwise 0.
pub const LEADERSHIP_HELD: &str = "flamingowalk_seat_held";
/// Jobs that have not ended.
pub const OPEN_JOBS: &str = "flamingowalk_open_jobs";

/// Installs the metrics recorder of the process. A second call in one process returns
/// `None`, and the hosts of that process share the first recorder.
pub fn install_recorder() -> Option<PrometheusHandle> {
    let handle = PrometheusBuilder::new().install_recorder().ok()?;
    describe_counter!(CALLS_ENDED, "Calls that ended, by outcome");
    describe_counter!(JOB_REQUESTS, "Job requests that ended, by verb and outcome");
    describe_counter!(LOG_READS, "Log reads, by stream and outcome");
    describe_counter!(LOG_APPENDS, "Log appends, by stream and outcome");
    describe_counter!(
        RECORDS_SKIPPED,
        "Records that could not be used, by stream and cause"
    );
    describe_counter!(HOST_LIST_READS, "Readings of the host list, by outcome");
    describe_counter!(TASK_REQUESTS, "Requests to workers, by verb and outcome");
    describe_counter!(PEER_BYTES, "Bytes of peer messages, by way");
    describe_counter!(PEER_MESSAGES_SKIPPED, "Peer messages of unknown kinds");
    describe_counter!(PEERS_REFUSED, "Links refused, by cause");
    describe_gauge!(CONFIG_VERSION, "Configuration version in force");
    describe_gauge!(
        LEADERSHIP_HELD,
        "One while this host holds its zone's planner seat"
    );
    describe_gauge!(OPEN_JOBS, "Jobs that have not ended");
    Some(handle)
}
