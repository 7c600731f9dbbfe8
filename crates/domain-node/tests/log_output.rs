//! Log output: a blocked output does not block the writers, and the lines of a burst are
//! limited.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use flamingowalk_domain_node::log_pipe::{LinePipe, MAX_WAITING_LINES};
use flamingowalk_domain_node::log_rate::{LineRates, MAX_LINES_PER_SECOND};

/// An output that blocks until the sender of its gate is dropped.
struct BlockedOutput {
    gate: Receiver<()>,
    taken: Sender<Vec<u8>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        // Once the sender of the gate is dropped, `recv` returns an error at once.
        let _ = self.gate.recv();
        self.taken
            .send(buf.to_vec())
            .map_err(std::io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn pipe_blocked_output_drops_and_counts() {
    let (open_gate, gate) = channel();
    let (taken, outputs) = channel();
    let mut pipe = LinePipe::open(BlockedOutput { gate, taken });
    // A write that waited for the output would block forever.
    for _ in 0..MAX_WAITING_LINES * 4 {
        pipe.write_all(b"line\n").expect("a pipe takes every line");
    }
    drop(open_gate);
    drop(pipe);
    let text: Vec<u8> = outputs.into_iter().flatten().collect();
    let text = String::from_utf8(text).expect("text");
    let lines = text.lines().filter(|line| *line == "line").count();
    let counts = text.lines().filter_map(|line| line.rsplit_once("count="));
    let dropped: usize = counts.map(|(_, count)| count.parse().unwrap_or(0)).sum();
    assert!(dropped > 0);
    assert_eq!(lines + dropped, MAX_WAITING_LINES * 4);
}

#[test]
fn rate_burst_bounded_and_counted() {
    let mut rates = LineRates::default();
    let first = Duration::from_millis(300);
    let written = (0..10_000).filter(|_| rates.admit("run starts", first).is_some());
    assert_eq!(written.count(), MAX_LINES_PER_SECOND as usize);
    assert_eq!(rates.admit("job completed", first), Some(0));
    let later = Duration::from_millis(1_300);
    let suppressed = 10_000 - u64::from(MAX_LINES_PER_SECOND);
    assert_eq!(rates.admit("run starts", later), Some(suppressed));
    assert_eq!(rates.admit("run starts", later), Some(0));
}
