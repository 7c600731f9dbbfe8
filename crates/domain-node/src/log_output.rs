//! Structured log lines on standard output. Lines of one kind are limited a second,
//! with a count of those left out, and a full pipe drops lines instead of holding up
//! the loop.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Instant;

use env_logger::{Env, Logger, Target};
use log::kv::{Error as KvError, Key, Value, VisitSource};
use log::{Log, Metadata, Record};

/// Lines that may wait for standard output.
const WAITING_LINES: usize = 4_096;
/// Lines of one kind within a second; a host takes a few dozen decisions a second
/// on the heaviest days asked for, and a kind that repeats faster says nothing new.
const LINES_PER_SECOND: u32 = 200;
/// Lines that were dropped since standard output did not take them.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Writes to the queue of the output thread.
struct LinePipe {
    lines: SyncSender<Vec<u8>>,
}

impl Write for LinePipe {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if self.lines.try_send(buf.to_vec()).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Lines of one kind in the present second.
#[derive(Clone, Copy, Debug)]
struct KindRate {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Limits the lines of each kind before they are formatted.
struct RateLogger {
    inner: Logger,
    began: Instant,
    kinds: Mutex<BTreeMap<String, KindRate>>,
}

impl RateLogger {
    /// Whether a line may be written, and how many of its kind were left out before.
    fn admit(&self, record: &Record<'_>) -> Option<u64> {
        let Some(text) = record.args().as_str() else {
            return Some(0);
        };
        let second = self.began.elapsed().as_secs();
        let Ok(mut kinds) = self.kinds.lock() else {
            return Some(0);
        };
        if !kinds.contains_key(text) {
            let rate = KindRate {
                second,
                lines: 0,
                left_out: 0,
            };
            kinds.insert(text.to_owned(), rate);
        }
        let rate = kinds.get_mut(text)?;
        if rate.second != second {
            rate.second = second;
            rate.lines = 0;
        }
        rate.lines += 1;
        if rate.lines > LINES_PER_SECOND {
            rate.left_out += 1;
            return None;
        }
        Some(std::mem::take(&mut rate.left_out))
    }
}

impl Log for RateLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.inner.matches(record) {
            return;
        }
        let Some(left_out) = self.admit(record) else {
            return;
        };
        if left_out > 0 {
            let text = format_args!("lines of this kind were left out").to_string();
            let kind = record.args().to_string();
            log_note(&self.inner, record, &text, &kind, left_out);
        }
        self.inner.log(record);
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

fn log_note(inner: &Logger, record: &Record<'_>, text: &str, kind: &str, count: u64) {
    let values = [("kind", Value::from(kind)), ("count", Value::from(count))];
    inner.log(
        &Record::builder()
            .level(record.level())
            .target(record.target())
            .args(format_args!("{text}"))
            .key_values(&values)
            .build(),
    );
}

/// Writes the fields of a record as `key=value`.
struct FieldWriter<'a, W: Write>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for FieldWriter<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        write!(self.0, " {key}=").map_err(KvError::from)?;
        match value.to_borrowed_str() {
            Some(text) if text.contains([' ', '=', '"']) => write!(self.0, "{text:?}"),
            Some(text) => write!(self.0, "{text}"),
            None => write!(self.0, "{value}"),
        }
        .map_err(KvError::from)
    }
}

/// Installs the process's logger. `RUST_LOG` chooses the lines; `info` without it.
///
/// # Errors
/// A logger is installed already.
pub fn install_logger() -> Result<(), log::SetLoggerError> {
    let (lines, waiting) = sync_channel(WAITING_LINES);
    std::thread::spawn(move || write_lines(&waiting));
    let began = Instant::now();
    let logger = env_logger::Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(LinePipe { lines })))
        .format(move |buffer, record| {
            let elapsed = began.elapsed();
            let wall = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .unwrap_or_default();
            write!(
                buffer,
                "{}.{:03} up={}.{:03} {} {} \"{}\"",
                wall.as_secs(),
                wall.subsec_millis(),
                elapsed.as_secs(),
                elapsed.subsec_millis(),
                record.level().as_str().to_ascii_lowercase(),
                record.target(),
                record.args(),
            )?;
            if record.key_values().visit(&mut FieldWriter(buffer)).is_err() {
                write!(buffer, " fields=unreadable")?;
            }
            writeln!(buffer)
        })
        .build();
    log::set_max_level(logger.filter());
    log::set_boxed_logger(Box::new(RateLogger {
        inner: logger,
        began,
        kinds: Mutex::new(BTreeMap::new()),
    }))
}

fn write_lines(waiting: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout();
    while let Ok(line) = waiting.recv() {
        let mut text = line;
        while let Ok(more) = waiting.try_recv() {
            text.extend_from_slice(&more);
        }
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            text.extend_from_slice(
                format!("warn log \"lines dropped\" count={dropped}\n").as_bytes(),
            );
        }
        // Nothing can be said anywhere once standard output is closed.
        if output
            .write_all(&text)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
