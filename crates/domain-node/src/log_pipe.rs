//! A bounded queue of lines before an output that may block. Whoever writes a line
//! never waits; what the output does not take in time is dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Lines that may wait for the output: a few seconds of the busiest host, and about
/// a megabyte.
pub const MAX_WAITING_LINES: usize = 4_096;

/// The end at which lines are written.
#[derive(Clone, Debug)]
pub struct LinePipe {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LinePipe {
    /// Starts a thread that writes the lines to an output.
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
        while let Ok(more) = waiting.try_recv() {
            text.extend_from_slice(&more);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let note = format!("warn log \"lines dropped\" count={count}\n");
            text.extend_from_slice(note.as_bytes());
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
