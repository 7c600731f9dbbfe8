//! A bounded queue of log lines before an output that may block. Writing a line never
//! blocks: lines are dropped and counted while the queue is full.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Maximum number of lines that wait for the output. This many lines cover a few seconds on
/// the busiest host and take about a megabyte.
pub const MAX_WAITING_LINES: usize = 4_096;
/// Maximum number of waiting lines that one write to the output takes from the queue. The
/// bound on memory is that of the queue and one such batch.
const MAX_BATCH_LINES: usize = 512;

/// The writing end of the queue.
#[derive(Clone, Debug)]
pub struct LinePipe {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LinePipe {
    /// Starts a thread that writes the queued lines to `output`.
    pub fn open<W>(output: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let (lines, waiting) = sync_channel(MAX_WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        std::thread::spawn(move || write_lines(output, &waiting, &counter));
        Self { lines, dropped }
    }
}

impl Write for LinePipe {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if self.lines.try_send(buf.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn write_lines<W: Write>(mut output: W, waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(line) = waiting.recv() {
        let mut text = line;
        for more in waiting.try_iter().take(MAX_BATCH_LINES) {
            text.extend_from_slice(&more);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let note = format!("warn log \"lines dropped\" count={count}\n");
            text.extend_from_slice(note.as_bytes());
        }
        // There is no place left to report an error once the output is closed.
        if output
            .write_all(&text)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
