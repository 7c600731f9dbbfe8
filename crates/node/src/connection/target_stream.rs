//! A TCP stream that counts its bytes. The counts show how much of a request was sent
//! when its connection failed, from which the outcome of the call is derived.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Byte counts of a connection since it was opened; neither ever decreases.
#[derive(Clone, Debug, Default)]
pub struct ByteCounts {
    written: Rc<Cell<u64>>,
    read: Rc<Cell<u64>>,
}

impl ByteCounts {
    /// Returns the number of bytes that the operating system has accepted for sending.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Returns the number of bytes received.
    pub fn read(&self) -> u64 {
        self.read.get()
    }
}

/// A TCP stream with its byte counts.
#[derive(Debug)]
pub struct CountedStream {
    stream: TcpStream,
    counts: ByteCounts,
}

impl CountedStream {
    /// Wraps `stream` and starts to count its bytes.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            counts: ByteCounts::default(),
        }
    }

    /// Returns the counts, which stay shared with the stream.
    pub fn counts(&self) -> ByteCounts {
        self.counts.clone()
    }

    fn count_written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.counts
                .written
                .set(self.counts.written.get() + *bytes as u64);
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        self.counts.read.set(self.counts.read.get() + bytes as u64);
        result
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_written(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_written(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
