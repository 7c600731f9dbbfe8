//! A client's socket that notes in the client's record what arrives and what is sent, so that
//! a stall at any byte is noticed.

use std::io::{Error, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::connection::client_record::ClientRecord;

/// A socket with the record of its client.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    record: Rc<ClientRecord>,
}

impl ClientStream {
    /// Returns the socket of the client with this record.
    pub const fn new(stream: TcpStream, record: Rc<ClientRecord>) -> Self {
        Self { stream, record }
    }

    fn note_sent(&self, sent: Poll<Result<usize, Error>>) -> Poll<Result<usize, Error>> {
        if let Poll::Ready(Ok(bytes)) = sent {
            self.record.note_sent(bytes as u64);
        }
        sent
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if received > 0 {
            self.record.note_received(received as u64, Instant::now());
        }
        polled
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize, Error>> {
        let sent = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_sent(sent)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        let sent = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_sent(sent)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.record.note_flushed(Instant::now());
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
