//! Simulated log of the platform: linearizable streams of keyed records with conditional
//! and fenced appends.

use bytes::Bytes;
use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::record::KeyedRecord;
use flamingowalk_domain::process::stream::{
    AppendCondition, AppendOrder, AppendedAt, NewestPage, StreamBody, StreamError, StreamName,
    StreamPage, StreamRecord,
};
use flamingowalk_domain::process::worker_report::WorkerReport;
use flamingowalk_domain::version::manifest::DomainManifest;
use flamingowalk_domain::version::wave::WaveOrder;

/// Number of newest appends of a writer whose results are kept to answer retries.
const RETAINED_RESULTS: usize = 5;
/// Number of records in a page of newest records.
const NEWEST_PAGE_RECORDS: usize = 500;
/// Size of a record whose size is not set.
const RECORD_BYTES: u64 = 200;

#[derive(Clone, Debug, Default)]
struct SimStream {
    records: Vec<(Arc<str>, StreamBody)>,
    /// Oldest offset that can still be read.
    first: u64,
    writer: Option<SimWriter>,
}

/// State that the log keeps for the planner that writes a stream.
#[derive(Clone, Debug)]
struct SimWriter {
    epoch: LeaderEpoch,
    last_sequence: Option<u64>,
    results: Vec<(u64, AppendedAt)>,
}

/// Simulated log.
#[derive(Clone, Debug)]
pub struct SimLog {
    streams: BTreeMap<StreamName, SimStream>,
    /// Number of records in a page of newest records.
    pub newest_page_records: usize,
    /// Sizes of large configurations in bytes, by version.
    manifest_bytes: BTreeMap<u64, u64>,
}

impl Default for SimLog {
    fn default() -> Self {
        Self {
            streams: BTreeMap::new(),
            newest_page_records: NEWEST_PAGE_RECORDS,
            manifest_bytes: BTreeMap::new(),
        }
    }
}

impl SimLog {
    fn stream(&mut self, name: StreamName) -> &mut SimStream {
        self.streams.entry(name).or_default()
    }

    /// Returns the offset after the last record of a stream.
    pub fn end(&self, name: StreamName) -> StreamOffset {
        let stream = self.streams.get(&name);
        StreamOffset(stream.map_or(0, |stream| stream.records.len() as u64))
    }

    /// Publishes a configuration.
    pub fn put_manifest(&mut self, manifest: DomainManifest) {
        let body = StreamBody::Manifest(Arc::new(manifest));
        self.stream(StreamName::Config)
            .records
            .push(("config".into(), body));
    }

    /// Publishes a configuration whose record has a given size.
    pub fn put_large_manifest(&mut self, manifest: DomainManifest, bytes: u64) {
        self.manifest_bytes.insert(manifest.version, bytes);
        self.put_manifest(manifest);
    }

    /// Returns the total size of records in bytes.
    pub fn size(&self, records: &[StreamRecord]) -> u64 {
        let size = |record: &StreamRecord| {
            let StreamBody::Manifest(manifest) = &record.body else {
                return RECORD_BYTES;
            };
            let bytes = self.manifest_bytes.get(&manifest.version);
            bytes.copied().unwrap_or(RECORD_BYTES)
        };
        records.iter().map(size).sum()
    }

    /// Publishes a wave, or withdraws it if `order` is `None`.
    pub fn put_wave(&mut self, number: WaveNumber, order: Option<WaveOrder>) {
        let body = StreamBody::Wave(number, order.map(Arc::new));
        self.stream(StreamName::Config)
            .records
            .push((number.to_string().into(), body));
    }

    /// Writes the order to evacuate a zone, or removes it.
    pub fn put_evacuation(&mut self, zone: &ZoneName, is_closed: bool) {
        let body = StreamBody::Evacuation(zone.clone(), is_closed);
        self.stream(StreamName::Config)
            .records
            .push((format!("evacuate/{zone}").into(), body));
    }

    /// Returns the newest status that was reported for a wave.
    pub fn wave_status(&self, number: WaveNumber) -> Option<String> {
        let stream = self.streams.get(&StreamName::Status)?;
        let key = number.to_string();
        let mut records = stream.records.iter().rev();
        let (_, body) = records.find(|(known, _)| **known == *key)?;
        let StreamBody::Encoded(_, Some(value)) = body else {
            return None;
        };
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Writes the report of a worker, or removes its entry if `report` is `None`.
    pub fn put_worker(&mut self, name: &WorkerName, report: Option<Arc<WorkerReport>>) {
        let body = StreamBody::Worker(name.clone(), report);
        self.stream(StreamName::Workers)
            .records
            .push((name.as_str().into(), body));
    }

    /// Truncates all streams: reads from earlier offsets fail, and only the newest record
    /// of each key stays available.
    pub fn truncate_history(&mut self) {
        for stream in self.streams.values_mut() {
            stream.first = stream.records.len() as u64;
        }
    }

    /// Carries out an append.
    ///
    /// # Errors
    /// Fails if the condition of the append does not hold.
    pub fn append(&mut self, order: &AppendOrder) -> Result<AppendedAt, StreamError> {
        let end = self.end(order.stream);
        let stream = self.stream(order.stream);
        match order.condition {
            AppendCondition::None => {}
            AppendCondition::At(at) if at == end => {}
            AppendCondition::At(_) => return Err(StreamError::EndMismatch { end }),
            AppendCondition::Writer { epoch, sequence } => {
                if let Some(result) = stream.check_writer(epoch, sequence)? {
                    return Ok(result);
                }
            }
        }
        for KeyedRecord { key, value } in &order.records {
            let body = StreamBody::Encoded(Arc::clone(key), value.clone());
            stream.records.push((Arc::clone(key), body));
        }
        let result = AppendedAt {
            first: end,
            next: StreamOffset(stream.records.len() as u64),
        };
        if let AppendCondition::Writer { sequence, .. } = order.condition {
            stream.record_result(sequence, result);
        }
        Ok(result)
    }

    /// Returns the records from an offset on.
    ///
    /// # Errors
    /// Fails if the stream was truncated beyond the offset.
    pub fn read(&self, name: StreamName, from: StreamOffset) -> Result<StreamPage, StreamError> {
        let Some(stream) = self.streams.get(&name) else {
            return Ok(StreamPage::default());
        };
        if from.0 < stream.first {
            return Err(StreamError::Truncated {
                first: StreamOffset(stream.first),
            });
        }
        let end = stream.records.len() as u64;
        let records = (from.0..end).map(|offset| StreamRecord {
            offset: StreamOffset(offset),
            body: stream.records[offset as usize].1.clone(),
        });
        Ok(StreamPage {
            records: records.collect(),
            next: StreamOffset(end.max(from.0)),
            end: StreamOffset(end),
        })
    }

    /// Returns a page of the newest record of each key, in order of the keys, from the key
    /// after `after` on. Each page shows the stream as it is at its own time.
    pub fn newest(&self, name: StreamName, after: Option<&str>) -> NewestPage {
        let Some(stream) = self.streams.get(&name) else {
            return NewestPage::default();
        };
        let mut newest: BTreeMap<&str, (u64, &StreamBody)> = BTreeMap::new();
        for (offset, (key, body)) in stream.records.iter().enumerate() {
            newest.insert(key, (offset as u64, body));
        }
        newest.retain(|key, (_, body)| {
            let is_live = !matches!(
                body,
                StreamBody::Encoded(_, None)
                    | StreamBody::Worker(_, None)
                    | StreamBody::Wave(_, None)
                    | StreamBody::Evacuation(_, false)
            );
            is_live && after.is_none_or(|after| *key > after)
        });
        let has_more = newest.len() > self.newest_page_records;
        let last = newest.keys().take(self.newest_page_records).next_back();
        let next_after = last.filter(|_| has_more).map(|key| Arc::from(*key));
        let records = newest
            .into_values()
            .take(self.newest_page_records)
            .map(|(offset, body)| StreamRecord {
                offset: StreamOffset(offset),
                body: body.clone(),
            });
        NewestPage {
            records: records.collect(),
            next_after,
            end: self.end(name),
        }
    }

    /// Returns the keys and values that the hosts wrote to a stream, in order.
    pub fn encoded_records(&self, name: StreamName) -> Vec<(Arc<str>, Option<Bytes>)> {
        let stream = self.streams.get(&name);
        let records = stream
            .map(|stream| stream.records.as_slice())
            .unwrap_or_default();
        let encoded = records.iter().filter_map(|(key, body)| match body {
            StreamBody::Encoded(_, value) => Some((Arc::clone(key), value.clone())),
            _ => None,
        });
        encoded.collect()
    }
}

impl SimStream {
    /// Returns the result of the first attempt if the append is a retry, or `None` if it
    /// is new.
    fn check_writer(
        &mut self,
        epoch: LeaderEpoch,
        sequence: u64,
    ) -> Result<Option<AppendedAt>, StreamError> {
        let is_new_epoch = self
            .writer
            .as_ref()
            .is_none_or(|writer| writer.epoch < epoch);
        if is_new_epoch {
            self.writer = Some(SimWriter {
                epoch,
                last_sequence: None,
                results: Vec::new(),
            });
        }
        let Some(writer) = &self.writer else {
            return Ok(None);
        };
        if writer.epoch > epoch {
            return Err(StreamError::Fenced);
        }
        let retried = writer.results.iter().find(|(known, _)| *known == sequence);
        if let Some((_, result)) = retried {
            return Ok(Some(*result));
        }
        match writer.last_sequence {
            Some(last) if sequence != last + 1 => Err(StreamError::Sequence { expected: last + 1 }),
            _ => Ok(None),
        }
    }

    fn record_result(&mut self, sequence: u64, result: AppendedAt) {
        if let Some(writer) = &mut self.writer {
            writer.last_sequence = Some(sequence);
            writer.results.push((sequence, result));
            if writer.results.len() > RETAINED_RESULTS {
                writer.results.remove(0);
            }
        }
    }
}
