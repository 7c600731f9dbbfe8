//! Reads the stream of configurations once, for operators: its newest part, or
//! everything that the log still holds.

use std::net::SocketAddr;

use flamingowalk_core::prelude::*;
use flamingowalk_core::process::config_history::ConfigHistory;
use flamingowalk_core::process::log_follower::{
    FollowerAction, FollowerEvent, LogFollower, ReadId, ReadPage,
};
use flamingowalk_core::process::record::{LogEntry, LogOffset, StoredEntry};
use flamingowalk_core::process::snapshot::{Snapshot, split_snapshot};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::border::log::{LOG_TIMEOUT, LogPage, ReadRequest, read_page};
use crate::border::records::read_record;
use crate::connection::http_client::{ExchangeError, HttpClient};
use crate::process::host_clock::HostClock;
use crate::process::host_event::LogStream;

/// Maximum number of records in one page.
const MAX_PAGE_RECORDS: u32 = 256;
/// Interval between ticks while the follower waits for time to pass.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A read that the follower requested.
#[derive(Clone, Copy, Debug)]
struct RequestedRead {
    read: ReadId,
    from: LogOffset,
    limit: u32,
}

/// Records read so far.
#[derive(Debug, Default)]
struct RecentConfigs {
    records: Vec<StoredEntry>,
    is_start_lost: bool,
    requested: Option<RequestedRead>,
}

/// Reads the configurations since the newest snapshot, or all of a short stream.
///
/// # Errors
/// Returns an [`ExchangeError`] as soon as the log fails to answer a read.
pub async fn read_recent(
    client: &HttpClient,
    address: SocketAddr,
) -> Result<ConfigHistory, ExchangeError> {
    let clock = HostClock::start();
    let random = ChaCha8Rng::seed_from_u64(HostClock::wall_time().0);
    let mut follower = LogFollower::new(clock.now(), random);
    let mut recent = RecentConfigs::default();
    let mut event = FollowerEvent::Tick;
    loop {
        for action in follower.handle(clock.now(), event) {
            recent.apply_action(action);
        }
        if follower.caught_up_at().is_some() {
            return Ok(ConfigHistory::read(&recent.records, !recent.is_start_lost));
        }
        event = if let Some(requested) = recent.requested.take() {
            FollowerEvent::ReadAnswered {
                read: requested.read,
                page: fetch_page(client, address, requested.from, requested.limit).await?,
            }
        } else {
            tokio::time::sleep(TICK_INTERVAL).await;
            FollowerEvent::Tick
        };
    }
}

/// Reads everything that the log still holds.
///
/// # Errors
/// Returns an [`ExchangeError`] as soon as the log fails to answer a read.
pub async fn read_all(
    client: &HttpClient,
    address: SocketAddr,
) -> Result<ConfigHistory, ExchangeError> {
    let mut records = Vec::new();
    let mut next = LogOffset(0);
    loop {
        let page = fetch_page(client, address, next, MAX_PAGE_RECORDS).await?;
        if page.first > next {
            // Retention removed records while this read was in progress.
            records.clear();
        }
        let is_end = page.next >= page.tail;
        next = page.next;
        records.extend(page.records);
        if is_end {
            let is_start_known = records
                .first()
                .is_none_or(|r: &StoredEntry| r.offset.0 == 0);
            return Ok(ConfigHistory::read(&records, is_start_known));
        }
    }
}

async fn fetch_page(
    client: &HttpClient,
    address: SocketAddr,
    from: LogOffset,
    limit: u32,
) -> Result<ReadPage, ExchangeError> {
    let request = ReadRequest {
        from: from.0,
        limit,
        wait: Duration::ZERO,
        timeout: LOG_TIMEOUT,
    };
    let page: LogPage = read_page(client, address, &LogStream::Config.name(), request).await?;
    Ok(ReadPage {
        records: page.records.into_iter().map(read_record).collect(),
        first: LogOffset(page.first_offset),
        next: LogOffset(page.next_offset),
        tail: LogOffset(page.tail_offset),
    })
}

impl RecentConfigs {
    fn apply_action(&mut self, action: FollowerAction) {
        match action {
            FollowerAction::Read {
                read, from, limit, ..
            } => self.requested = Some(RequestedRead { read, from, limit }),
            FollowerAction::Apply(record) => self.records.push(record),
            FollowerAction::Restore(snapshot) => self.restore(snapshot),
            FollowerAction::RestoreAbandoned { .. } | FollowerAction::Truncated { .. } => {
                self.records.clear();
                self.is_start_lost = true;
            }
            FollowerAction::AbandonRead { .. } => {}
        }
    }

    /// Replaces the records by the snapshot, as the chunks that the stream would hold.
    fn restore(&mut self, snapshot: Snapshot) {
        self.is_start_lost = true;
        let chunks = split_snapshot(snapshot.covers_until, "", snapshot.records);
        let stored = chunks.into_iter().map(|chunk| StoredEntry {
            offset: chunk.covers_until,
            id: RecordId::from("snapshot"),
            appended_at: snapshot.appended_at,
            entry: LogEntry::Snapshot(chunk),
        });
        self.records = stored.collect();
    }
}
