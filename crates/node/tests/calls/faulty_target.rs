//! A target with injected faults: raw HTTP on a loopback port, one scripted fault for each
//! call request in turn, successful responses after the last fault.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Fault injected into one call request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetFault {
    /// The target closes the connection after a part of the request; the call does not run.
    CutRequest,
    /// The call runs; the connection ends without a response.
    NoAnswer,
    /// The call runs; nothing more is sent on the connection.
    Silent,
    /// The call runs; the response ends after its headers.
    HeadersOnly,
    /// The call runs; the response ends within its body.
    TruncatedBody,
    /// The call runs; the response carries the identifier of another request.
    WrongId,
    /// The call runs; the response carries no request identifier.
    NoId,
    /// The call runs; the response does not declare its length.
    NoLength,
    /// The call runs; the response is larger than allowed.
    TooLarge,
    /// The call runs; the response is sent after this time.
    Late(Duration),
    /// The call runs; the response is sent when the test releases it.
    Held,
    /// The call runs and fails; the response confirms that it ran.
    RanAndFailed,
    /// The call runs; the response is an error that does not confirm whether it ran.
    UnconfirmedError,
    /// The target refuses the call because it is full; the call does not run.
    Full,
    /// The target refuses the call because it is draining; the call does not run.
    Draining,
}

impl TargetFault {
    /// Returns how often this request runs the call.
    pub fn runs(self) -> u32 {
        u32::from(!matches!(
            self,
            Self::CutRequest | Self::Full | Self::Draining
        ))
    }
}

/// Script and records, shared by all targets of a test.
#[derive(Clone, Debug, Default)]
pub struct TargetScript {
    faults: Rc<RefCell<VecDeque<TargetFault>>>,
    runs: Rc<RefCell<BTreeMap<String, u32>>>,
    /// Connections with a lower number no longer respond.
    silent_below: Rc<RefCell<u32>>,
    accepted: Rc<RefCell<u32>>,
    /// Releases a held response.
    pub release: Rc<Notify>,
    /// Notified whenever a call starts to run.
    pub call_started: Rc<Notify>,
}

impl TargetScript {
    /// Adds a fault for the next call request that has none.
    pub fn push(&self, fault: TargetFault) {
        self.faults.borrow_mut().push_back(fault);
    }

    /// Returns how often the call with this identifier ran.
    pub fn runs(&self, id: &str) -> u32 {
        self.runs.borrow().get(id).copied().unwrap_or_default()
    }

    /// Returns the number of connections accepted so far.
    pub fn accepted(&self) -> u32 {
        *self.accepted.borrow()
    }

    /// Makes all connections that are open now unresponsive.
    pub fn silence_connections(&self) {
        *self.silent_below.borrow_mut() = self.accepted();
    }

    /// Starts a target with this script.
    pub async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let script = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = script.accepted();
                *script.accepted.borrow_mut() += 1;
                tokio::task::spawn_local(script.clone().serve(stream, number));
            }
        });
        address
    }

    async fn serve(self, mut stream: TcpStream, number: u32) {
        while let Some(head) = read_head(&mut stream).await {
            if number < *self.silent_below.borrow() {
                std::future::pending::<()>().await;
            }
            if head.text.starts_with("GET /v1/probe ") {
                write(&mut stream, "HTTP/1.1 204 No Content\r\n\r\n").await;
                continue;
            }
            let fault = self.faults.borrow_mut().pop_front();
            if fault == Some(TargetFault::CutRequest) {
                return;
            }
            if read_rest(&mut stream, &head).await.is_none() {
                return;
            }
            if !self.respond(&mut stream, &head.request_id, fault).await {
                return;
            }
        }
    }

    /// Runs the call and responds; returns false if the connection is to be closed.
    async fn respond(&self, stream: &mut TcpStream, id: &str, fault: Option<TargetFault>) -> bool {
        if fault.is_none_or(|fault| fault.runs() > 0) {
            *self.runs.borrow_mut().entry(id.to_owned()).or_default() += 1;
            self.call_started.notify_one();
        }
        let id_line = format!("flamingowalk-request-id: {id}\r\n");
        let body = format!("answer to {id}");
        let length = format!("content-length: {}\r\n", body.len());
        let complete = format!("HTTP/1.1 200 OK\r\n{id_line}{length}\r\n{body}");
        let refusal = |kind| {
            let body = format!(r#"{{"kind":"{kind}","message":"use another worker"}}"#);
            let length = body.len();
            format!("HTTP/1.1 503 Refused\r\n{id_line}content-length: {length}\r\n\r\n{body}")
        };
        let text = match fault {
            None => complete,
            Some(TargetFault::CutRequest | TargetFault::NoAnswer) => return false,
            Some(TargetFault::Silent) => std::future::pending().await,
            Some(TargetFault::HeadersOnly) => format!("HTTP/1.1 200 OK\r\n{id_line}{length}\r\n"),
            Some(TargetFault::TruncatedBody) => complete[..complete.len() - 3].to_owned(),
            Some(TargetFault::WrongId) => complete.replacen(id, "another", 1),
            Some(TargetFault::NoId) => format!("HTTP/1.1 200 OK\r\n{length}\r\n{body}"),
            Some(TargetFault::NoLength) => format!("HTTP/1.1 200 OK\r\n{id_line}\r\n{body}"),
            Some(TargetFault::TooLarge) => {
                format!("HTTP/1.1 200 OK\r\n{id_line}content-length: 99000000\r\n\r\n{body}")
            }
            Some(TargetFault::Late(delay)) => {
                tokio::time::sleep(delay).await;
                complete
            }
            Some(TargetFault::Held) => {
                self.release.notified().await;
                complete
            }
            Some(TargetFault::RanAndFailed) => {
                let ran_line = "flamingowalk-ran: true\r\n";
                format!("HTTP/1.1 500 Failed\r\n{id_line}{ran_line}{length}\r\n{body}")
            }
            Some(TargetFault::UnconfirmedError) => {
                format!("HTTP/1.1 500 Failed\r\n{id_line}{length}\r\n{body}")
            }
            Some(TargetFault::Full) => refusal("full"),
            Some(TargetFault::Draining) => refusal("leaving"),
        };
        write(stream, &text).await;
        let keeps_connection = [
            TargetFault::RanAndFailed,
            TargetFault::UnconfirmedError,
            TargetFault::Full,
            TargetFault::Draining,
            TargetFault::Held,
        ];
        fault.is_none_or(|fault| keeps_connection.contains(&fault))
    }
}

/// Received head of a request, with the length of the part of its body still to be read.
struct RequestHead {
    text: String,
    request_id: String,
    body_left: usize,
}

async fn read_head(stream: &mut TcpStream) -> Option<RequestHead> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let value = |name: &str| {
                let line = text
                    .lines()
                    .find(|line| line.to_lowercase().starts_with(name));
                line.map(|line| line[name.len()..].trim().to_owned())
            };
            let request_id = value("flamingowalk-request-id:").unwrap_or_default();
            let declared: usize =
                value("content-length:").map_or(0, |length| length.parse().unwrap());
            let body_left = declared - (bytes.len() - end - 4);
            return Some(RequestHead {
                text,
                request_id,
                body_left,
            });
        }
        let mut buffer = [0; 1024];
        let count = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    }
}

async fn read_rest(stream: &mut TcpStream, head: &RequestHead) -> Option<()> {
    let mut left = head.body_left;
    let mut buffer = vec![0; 64 * 1024];
    while left > 0 {
        let count = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|count| *count > 0)?;
        left -= count;
    }
    Some(())
}

async fn write(stream: &mut TcpStream, text: &str) {
    // Some faults make the client disconnect, so a failed write is expected.
    let _ = stream.write_all(text.as_bytes()).await;
}
