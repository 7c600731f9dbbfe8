//! What was sent, answered and run, with the time since the start, for `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { started: Instant::now(), file: Mutex::new(file) }
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record is usable");
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
