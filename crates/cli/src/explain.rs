//! Explains one job, unit or worker from captured log lines of the hosts of a planning
//! domain: prints the lines that decided its outcome, then all its lines, both in order
//! of time.

use std::fmt::Write;
use std::path::PathBuf;

use crate::exit::CommandError;

/// Texts of log lines that report a decision about a job, as opposed to its ordinary
/// progress.
const DECISIVE: [&str; 13] = [
    "\"request refused\"",
    "\"start given up",
    "\"start refused\"",
    "\"start not answered",
    "\"run is moved\"",
    "\"stopping less urgent",
    "\"runs are lost\"",
    "\"run released without its end\"",
    "\"a run goes on beside a later run of its unit\"",
    "\"worker lists runs beyond its capacity\"",
    "\"job failed",
    "\"job cancelled\"",
    "\"run is not there any more\"",
];

/// A captured log line. The order of the fields makes the derived order that of time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LogLine {
    /// Wall-clock time of the host in milliseconds.
    at_ms: u64,
    /// Prefix that a log collector added to the host's line, such as the host's name.
    source: String,
    /// Time since the start of the host's process, and the rest of the line.
    text: String,
}

impl LogLine {
    /// Parses a line; `None` if another program wrote it.
    fn parse(line: &str) -> Option<Self> {
        let stamp_end = line.find(" up=")?;
        let (before, rest) = line.split_at(stamp_end);
        let (source, stamp) = match before.trim().rsplit_once(' ') {
            Some((source, stamp)) => (source.trim(), stamp),
            None => ("", before.trim()),
        };
        let (seconds, millis) = stamp.split_once('.')?;
        let seconds: u64 = seconds.parse().ok()?;
        let millis: u64 = millis.parse().ok()?;
        Some(Self {
            at_ms: seconds * 1_000 + millis,
            source: source.to_owned(),
            text: rest.trim().to_owned(),
        })
    }

    /// Returns whether a field of the line holds the identifier, or that of a part of it,
    /// which continues with a dot.
    fn mentions(&self, id: &str) -> bool {
        self.text.split([' ', '=', '/', '"']).any(|token| {
            token
                .strip_prefix(id)
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }

    fn is_decisive(&self) -> bool {
        let is_failed_run =
            self.text.contains("\"run ended\"") && !self.text.contains("cause=done");
        let is_failed_request = self.text.contains("\"request ended\"")
            && (self.text.contains("answer=unsettled") || self.text.contains("answer=no-"));
        is_failed_run || is_failed_request || DECISIVE.iter().any(|text| self.text.contains(text))
    }
}

/// Renders the lines of a job, unit, group or worker.
///
/// # Errors
/// Returns [`CommandError::Refused`] if a file cannot be read, or if no line holds the
/// identifier.
pub fn explain(id: &str, files: &[PathBuf]) -> Result<String, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        let bytes = std::fs::read(file).map_err(|error| {
            CommandError::Refused(format!(
                "{}: cannot be read ({error}); check the path",
                file.display()
            ))
        })?;
        // A capture may start or end in the middle of a character; the rest of such a
        // line is still useful.
        let text = String::from_utf8_lossy(&bytes);
        let parsed = text.lines().filter_map(LogLine::parse);
        lines.extend(parsed.filter(|line| line.mentions(id)));
    }
    if lines.is_empty() {
        return Err(CommandError::Refused(format!(
            "no line names {id}; check the identifier, and capture the logs of all hosts"
        )));
    }
    lines.sort();
    Ok(render(&lines))
}

fn render(lines: &[LogLine]) -> String {
    let start_ms = lines.first().map_or(0, |line| line.at_ms);
    let mut text = String::from("decisive lines:\n");
    for line in lines.iter().filter(|line| line.is_decisive()) {
        push_line(&mut text, start_ms, line);
    }
    text.push_str("all lines:\n");
    for line in lines {
        push_line(&mut text, start_ms, line);
    }
    text
}

fn push_line(text: &mut String, start_ms: u64, line: &LogLine) {
    let elapsed_ms = line.at_ms - start_ms;
    let (seconds, millis) = (elapsed_ms / 1_000, elapsed_ms % 1_000);
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "  +{seconds}.{millis:03} {} {}",
        line.source, line.text
    );
}
