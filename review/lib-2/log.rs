//! The platform's log: topics with one partition in memory.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, Server};
use crate::json::Json;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    /// Newest appends: sequence, offset and end.
    recent: Vec<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

pub struct Log {
    store: Arc<Store>,
    pub server: Server,
}

impl Log {
    pub fn start() -> Self {
        let store = Arc::new(Store::default());
        let served = Arc::clone(&store);
        let server = Server::start(move |request| served.handle(&request));
        Self { store, server }
    }

    /// Writes a record of the operator or of a worker; `None` removes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        self.store.put(topic, key, value);
    }

    /// A handle for other stand-ins.
    pub fn writer(&self) -> LogWriter {
        LogWriter { store: Arc::clone(&self.store) }
    }

    /// Returns the number of records that were written to a topic.
    pub fn end(&self, topic: &str) -> usize {
        let topics = self.store.topics.lock().expect("usable");
        topics.get(topic).map_or(0, |topic| topic.records.len())
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.store.topics.lock().expect("usable");
        let newest = topics.get(topic)?.newest();
        let (value, _) = newest.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }
}

#[derive(Clone)]
pub struct LogWriter {
    store: Arc<Store>,
}

impl LogWriter {
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        self.store.put(topic, key, value);
    }
}

impl Topic {
    fn newest(&self) -> BTreeMap<String, (Vec<u8>, u64)> {
        let mut newest = BTreeMap::new();
        for (offset, record) in self.records.iter().enumerate() {
            let Some((length, rest)) = record.split_first() else {
                continue;
            };
            let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (value.to_vec(), offset as u64));
            }
        }
        newest
    }
}

impl Store {
    fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.unwrap_or_default().as_bytes());
        let mut topics = self.topics.lock().expect("usable");
        topics.entry(topic.to_owned()).or_default().records.push(record);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Reply {
        // The usual time of an answer.
        std::thread::sleep(Duration::from_millis(4));
        match request.path.as_str() {
            "/api/log-append" => self.append(request),
            "/api/log-read" => self.read(request),
            "/api/log-newest" => self.newest(request),
            _ => Reply::json(404, "{}".to_owned()),
        }
    }

    fn append(&self, request: &Request) -> Reply {
        let name = request.query("topic").unwrap_or_default();
        if name == "keyed.op" || name == "keyed.servers" {
            return Reply::json(403, "{}".to_owned());
        }
        let mut records = Vec::new();
        let mut body = request.body.as_slice();
        while body.len() >= 4 {
            let (length, rest) = body.split_at(4);
            let length = u32::from_be_bytes(length.try_into().expect("four bytes")) as usize;
            let (record, rest) = rest.split_at(length.min(rest.len()));
            records.push(record.to_vec());
            body = rest;
        }
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let mut topics = self.topics.lock().expect("usable");
        let topic = topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        let end = offset + records.len() as u64;
        if number("at").is_some_and(|at| at != offset) {
            return Reply::json(412, format!("{{\"end\":{offset}}}"));
        }
        if let (Some(producer), Some(epoch), Some(sequence)) =
            (request.query("producer"), number("epoch"), number("seq"))
        {
            let producer = topic.producers.entry(producer.to_owned()).or_default();
            if epoch < producer.epoch {
                return Reply::json(409, "{\"reason\":\"fenced\"}".to_owned());
            }
            if epoch > producer.epoch {
                *producer = Producer { epoch, ..Producer::default() };
            }
            let known = producer.recent.iter().find(|(known, ..)| *known == sequence);
            if let Some((_, offset, end)) = known {
                return Reply::json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
            }
            if let Some(last) = producer.last.filter(|last| sequence != last + 1) {
                let expected = last + 1;
                return Reply::json(409, format!("{{\"reason\":\"seq\",\"seq\":{expected}}}"));
            }
            producer.last = Some(sequence);
            producer.recent.push((sequence, offset, end));
            if producer.recent.len() > 5 {
                producer.recent.remove(0);
            }
        }
        topic.records.extend(records);
        self.changed.notify_all();
        Reply::json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    fn read(&self, request: &Request) -> Reply {
        let name = request.query("topic").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let limit = number("max-kb").unwrap_or(1024) as usize * 1024;
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
        let mut topics = self.topics.lock().expect("usable");
        loop {
            let topic = topics.entry(name.to_owned()).or_default();
            let end = topic.records.len();
            let now = Instant::now();
            if from < end || now >= until {
                let mut body = Vec::new();
                body.extend_from_slice(&(end as u64).to_be_bytes());
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in topic.records.iter().skip(from) {
                    if body.len() > 16 && body.len() + record.len() > limit {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Reply::Answer(200, "application/octet-stream", body);
            }
            let waited = self.changed.wait_timeout(topics, until - now);
            topics = waited.expect("usable").0;
        }
    }

    fn newest(&self, request: &Request) -> Reply {
        let name = request.query("topic").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let mut topics = self.topics.lock().expect("usable");
        let topic = topics.entry(name.to_owned()).or_default();
        let end = topic.records.len();
        let newest = topic.newest();
        let mut rest = newest.iter().filter(|(key, _)| key.as_str() > after);
        let items: Vec<_> = rest
            .by_ref()
            .take(500)
            .map(|(key, (value, offset))| {
                Json::object(vec![
                    ("key", Json::text(key)),
                    ("value", Json::Text(base64(value))),
                    ("offset", Json::Number(*offset as f64)),
                ])
            })
            .collect();
        let more = rest.next().is_some();
        let body = Json::object(vec![
            ("items", Json::List(items)),
            ("more-pages", Json::Bool(more)),
            ("end", Json::Number(end as f64)),
        ]);
        Reply::json(200, body.render())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = (bits >> (18 - 6 * index)) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
