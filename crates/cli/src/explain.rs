//! Explains one job, unit or worker from captured log lines of the hosts of a planning
//! domain: its lines in order of time, those that decided its fate first.

use std::fmt::Write;
use std::path::PathBuf;

use crate::exit::CommandError;

/// Targets of lines that decide something about a job, beside ordinary progress.
const DECISIVE: [&str; 10] = [
    "\"request refused\"",
    "\"start given up",
    "\"start refused\"",
    "\"start not answered",
    "\"run is moved\"",
    "\"stopping less urgent",
    "\"runs are lost\"",
    "\"job failed",
    "\"job cancelled\"",
    "\"run is not there any more\"",
];

/// A captured line.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LogLine {
    /// Wall clock of the host in milliseconds.
    at_ms: u64,
    /// Whatever a collector wrote before the host's own line, such as its name.
    source: String,
    /// Time since the host's process began, and the rest of the line.
    text: String,
}

impl LogLine {
    /// Reads a line; nothing for one of another program.
    fn parse(line: &str) -> Option<Self> {
        let mark = line.find(" up=")?;
        let (before, rest) = line.split_at(mark);
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

    /// Whether a field of the line names the thing: its identifier, or something of it.
    fn names(&self, id: &str) -> bool {
        self.text.split([' ', '=', '/', '"']).any(|word| {
            word.strip_prefix(id)
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        })
    }

    fn is_decisive(&self) -> bool {
        let is_bad_end = self.text.contains("\"run ended\"") && !self.text.contains("cause=done");
        let is_bad_answer = self.text.contains("\"request ended\"")
            && (self.text.contains("answer=unsettled") || self.text.contains("answer=no-"));
        is_bad_end || is_bad_answer || DECISIVE.iter().any(|text| self.text.contains(text))
    }
}

/// Prints the lines of a job, unit, group or worker.
///
/// # Errors
/// A file cannot be read, or no line names the thing.
pub fn explain(id: &str, files: &[PathBuf]) -> Result<String, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        let bytes = std::fs::read(file).map_err(|error| {
            CommandError::Refused(format!(
                "{}: cannot be read ({error}); check the path",
                file.display()
            ))
        })?;
        // A line that was cut in the middle of a character is still worth reading.
        let text = String::from_utf8_lossy(&bytes);
        let parsed = text.lines().filter_map(LogLine::parse);
        lines.extend(parsed.filter(|line| line.names(id)));
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
    let begin = lines.first().map_or(0, |line| line.at_ms);
    let mut text = String::from("decisive lines:\n");
    for line in lines.iter().filter(|line| line.is_decisive()) {
        push_line(&mut text, begin, line);
    }
    text.push_str("all lines:\n");
    for line in lines {
        push_line(&mut text, begin, line);
    }
    text
}

fn push_line(text: &mut String, begin: u64, line: &LogLine) {
    let after = line.at_ms - begin;
    let (seconds, millis) = (after / 1_000, after % 1_000);
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "  +{seconds}.{millis:03} {} {}",
        line.source, line.text
    );
}
