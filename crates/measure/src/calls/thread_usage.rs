//! Processor time of a thread and memory of the process, read from procfs.

use std::fs;
use std::time::Duration;

/// Returns the identifier of the calling thread for [`thread_time`]; `None` if there is no
/// procfs.
pub(crate) fn current_thread_id() -> Option<u32> {
    let link = fs::read_link("/proc/thread-self").ok()?;
    link.file_name()?.to_str()?.parse().ok()
}

/// Returns the processor time that a thread of this process has used.
pub(crate) fn thread_time(id: u32) -> Option<Duration> {
    let text = fs::read_to_string(format!("/proc/self/task/{id}/schedstat")).ok()?;
    let nanos = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(nanos))
}

/// Returns the resident memory of this process in bytes.
pub(crate) fn resident_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.trim().strip_suffix(" kB")?.trim().parse().ok()?;
    Some(kibibytes * 1024)
}
