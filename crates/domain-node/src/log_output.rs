//! Structured log lines on standard output. Lines of one kind are limited a second,
//! with a count of those left out, and a full pipe drops lines instead of holding up
//! the loop.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use env_logger::{Env, Logger, Target};
use log::kv::{Error as KvError, Key, Value, VisitSource};
use log::{Log, Metadata, Record};

use crate::log_pipe::LinePipe;
use crate::log_rate::LineRates;

/// Limits the lines of each kind before they are formatted.
struct RateLogger {
    inner: Logger,
    began: Instant,
    rates: Mutex<LineRates>,
}

impl RateLogger {
    /// Whether a line may be written, and how many of its kind were left out before.
    fn admit(&self, record: &Record<'_>) -> Option<u64> {
        // A text that is put together has no kind of its own.
        let kind = record.args().as_str().unwrap_or_else(|| record.target());
        match self.rates.lock() {
            Ok(mut rates) => rates.admit(kind, self.began.elapsed()),
            // A thread ended while it counted: lines matter more than their rate.
            Err(_) => Some(0),
        }
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
    let pipe = LinePipe::open(std::io::stdout());
    let began = Instant::now();
    let logger = env_logger::Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(pipe)))
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
        rates: Mutex::new(LineRates::default()),
    }))
}
