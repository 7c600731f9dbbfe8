//! Structured log lines on standard output. The number of lines of one kind per second is
//! limited, and the suppressed lines are counted. A full pipe drops lines instead of
//! blocking the event loop.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use env_logger::{Env, Logger, Target};
use log::kv::{Error as KvError, Key, Value, VisitSource};
use log::{Log, Metadata, Record};

use crate::log_pipe::LinePipe;
use crate::log_rate::LineRates;

/// Logger that limits the lines of each kind before they are formatted.
struct RateLogger {
    inner: Logger,
    started_at: Instant,
    rates: Mutex<LineRates>,
}

impl RateLogger {
    /// Returns how many lines of the same kind were suppressed before this one, or `None` if
    /// this one is suppressed as well.
    fn admit(&self, record: &Record<'_>) -> Option<u64> {
        // The text of a formatted message varies, so its target is used as the kind.
        let kind = record.args().as_str().unwrap_or_else(|| record.target());
        match self.rates.lock() {
            Ok(mut rates) => rates.admit(kind, self.started_at.elapsed()),
            // A thread panicked while it held the lock. Writing all lines is better than
            // losing them.
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
        let Some(suppressed) = self.admit(record) else {
            return;
        };
        if suppressed > 0 {
            let text = format_args!("lines of this kind were left out").to_string();
            let kind = record.args().to_string();
            log_suppressed(&self.inner, record, &text, &kind, suppressed);
        }
        self.inner.log(record);
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

fn log_suppressed(inner: &Logger, record: &Record<'_>, text: &str, kind: &str, count: u64) {
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

/// Writes the key-value pairs of a record as `key=value`.
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

/// Installs the logger of the process. `RUST_LOG` sets the filter; the default is `info`.
///
/// # Errors
/// A logger is installed already.
pub fn install_logger() -> Result<(), log::SetLoggerError> {
    let pipe = LinePipe::open(std::io::stdout());
    let started_at = Instant::now();
    let logger = env_logger::Builder::from_env(Env::default().default_filter_or("info"))
        .target(Target::Pipe(Box::new(pipe)))
        .format(move |buffer, record| {
            let elapsed = started_at.elapsed();
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
        started_at,
        rates: Mutex::new(LineRates::default()),
    }))
}
