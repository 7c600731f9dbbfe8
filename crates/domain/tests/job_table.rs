//! Tests of the table of jobs.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::job_table::JobTable;
use flamingowalk_domain::process::record::{JobOutcome, JobRecord, RecordKey};

/// Records of ended jobs were never removed from a log that is truncated again and again.
#[test]
fn expired_keys_after_replace() {
    let job = JobKey(1);
    let read_at = |now: MonotonicTime| {
        let mut table = JobTable::default();
        table.apply(now, JobRecord::Outcome(job, JobOutcome::Completed));
        table
    };
    let mut table = read_at(MonotonicTime::from_secs(100));
    table.replace(read_at(MonotonicTime::from_secs(200)));
    let keys = table.expired_keys(MonotonicTime::from_secs(150));
    assert!(keys.contains(&RecordKey::Outcome(job)), "{keys:?}");
}
