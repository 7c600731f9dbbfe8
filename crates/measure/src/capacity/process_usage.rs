//! Processor time and memory of this process, read from procfs.

use std::fs;
use std::path::{Path, PathBuf};

use flamingowalk_core::prelude::*;

use crate::error::MeasureError;

const THREAD_TIME: &str = "/proc/thread-self/schedstat";
const PROCESS_STATUS: &str = "/proc/self/status";

/// Returns the processor time that the calling thread has used.
pub(super) fn thread_time() -> Result<Duration, MeasureError> {
    let text = read(THREAD_TIME)?;
    let nanos = text
        .split_whitespace()
        .next()
        .and_then(|word| word.parse().ok());
    nanos
        .map(Duration::from_nanos)
        .ok_or_else(|| unreadable(THREAD_TIME))
}

/// Returns the resident memory of the process in bytes.
pub(super) fn resident_bytes() -> Result<u64, MeasureError> {
    let text = read(PROCESS_STATUS)?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|rest| rest.split_whitespace().next());
    let kibibytes: Option<u64> = number.and_then(|word| word.parse().ok());
    kibibytes
        .map(|size| size * 1_024)
        .ok_or_else(|| unreadable(PROCESS_STATUS))
}

fn read(path: &str) -> Result<String, MeasureError> {
    fs::read_to_string(path).map_err(|source| MeasureError::File {
        path: PathBuf::from(path),
        source,
    })
}

fn unreadable(path: &str) -> MeasureError {
    MeasureError::File {
        path: Path::new(path).to_owned(),
        source: std::io::Error::other("unknown format; use a Linux kernel with schedstat"),
    }
}
