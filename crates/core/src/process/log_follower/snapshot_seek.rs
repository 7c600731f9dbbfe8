//! Search for a snapshot in a log whose beginning was removed by retention or is
//! far away. It scans windows before the tail, each four times as long as the one
//! before, so that a host that starts reads little of a long log.

use crate::prelude::*;
use crate::process::log_follower::ReadPage;
use crate::process::record::LogOffset;
use crate::process::snapshot::{Snapshot, SnapshotCollector};

/// Number of offsets before the tail in the first scan.
const INITIAL_WINDOW: u64 = 2_048;
/// Factor by which the window grows from one scan to the next.
const WINDOW_GROWTH: u64 = 4;
/// Time to wait at the tail for another host to write a snapshot, before state is
/// rebuilt from the remaining records alone.
pub const SNAPSHOT_WAIT: Duration = Duration::from_secs(30);

/// Next step of the search after a page.
#[derive(Clone, Debug, PartialEq)]
pub enum SeekStep {
    /// Read the next page at once.
    Continue,
    /// Read again after the poll interval.
    Wait,
    /// No record is missing from this offset on, so no snapshot is needed.
    StartAt(LogOffset),
    /// Restore the snapshot and continue from its offset.
    Restore(Snapshot),
    /// Stop waiting for a snapshot and use the remaining records, from this offset on.
    Abandon(LogOffset),
}

/// State of a search.
#[derive(Clone, Debug)]
pub struct SnapshotSeek {
    /// Offset from which this process lacks records; `None` at its start.
    lost_from: Option<LogOffset>,
    /// Whether the log's bounds are known and a scan is in progress.
    is_scanning: bool,
    /// First offset of the scan.
    start: LogOffset,
    /// Next offset of the scan.
    scan: LogOffset,
    window: u64,
    collector: SnapshotCollector,
    /// When a scan of the whole log first found no usable snapshot.
    waiting_since: Option<MonotonicTime>,
}

impl SnapshotSeek {
    /// Creates a search that does not know the log's bounds yet.
    pub fn new(lost_from: Option<LogOffset>) -> Self {
        Self {
            lost_from,
            is_scanning: false,
            start: LogOffset(0),
            scan: lost_from.unwrap_or_default(),
            window: INITIAL_WINDOW,
            collector: SnapshotCollector::default(),
            waiting_since: None,
        }
    }

    /// Returns the offset of the next read.
    pub fn read_from(&self) -> LogOffset {
        self.scan
    }

    /// Returns the maximum number of records of the next read. The first read needs the
    /// log's bounds only.
    pub fn read_limit(&self, limit: u32) -> u32 {
        if self.is_scanning { limit } else { 1 }
    }

    /// Skips a record above the size limit.
    pub fn skip_record(&mut self, offset: LogOffset) {
        self.scan = self.scan.max(offset.next());
    }

    /// Handles the page of a read from `from`. Ignores late responses to reads of an
    /// earlier scan.
    pub fn handle_page(
        &mut self,
        now: MonotonicTime,
        from: LogOffset,
        page: &ReadPage,
    ) -> SeekStep {
        if !self.is_scanning {
            return self.start_scan(page);
        }
        let is_late = from < self.start || from > self.scan;
        if is_late {
            return SeekStep::Continue;
        }
        for record in &page.records {
            self.scan = self.scan.max(record.offset.next());
            self.collector.handle_record(record);
        }
        self.scan = self.scan.max(page.next.min(page.tail));
        if self.scan < page.tail {
            return SeekStep::Continue;
        }
        self.finish_scan(now, page)
    }

    /// Starts the first scan, unless no snapshot is needed: the log is empty at the
    /// start of the process, or is short and still holds its first record.
    fn start_scan(&mut self, page: &ReadPage) -> SeekStep {
        let covers_log = page.first == LogOffset(0) && page.tail.0 <= INITIAL_WINDOW;
        let is_empty = page.first >= page.tail && self.lost_from.is_none();
        if covers_log || is_empty {
            return SeekStep::StartAt(page.first);
        }
        self.is_scanning = true;
        self.scan_from(page);
        SeekStep::Continue
    }

    fn scan_from(&mut self, page: &ReadPage) {
        let start = LogOffset(page.tail.0.saturating_sub(self.window));
        self.start = start.max(page.first);
        self.scan = self.start;
        self.collector = SnapshotCollector::default();
    }

    fn finish_scan(&mut self, now: MonotonicTime, page: &ReadPage) -> SeekStep {
        let is_usable = |snapshot: &Snapshot| snapshot.covers_until >= page.first;
        if self.collector.newest().is_some_and(is_usable) {
            let collector = std::mem::take(&mut self.collector);
            return collector
                .into_newest()
                .map_or(SeekStep::Wait, SeekStep::Restore);
        }
        if self.start > page.first {
            self.window = self.window.saturating_mul(WINDOW_GROWTH);
            self.scan_from(page);
            return SeekStep::Continue;
        }
        if page.first == LogOffset(0) {
            return SeekStep::StartAt(page.first);
        }
        let since = *self.waiting_since.get_or_insert(now);
        if now.since(since) >= SNAPSHOT_WAIT {
            return SeekStep::Abandon(page.first);
        }
        SeekStep::Wait
    }
}
