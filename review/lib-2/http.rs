//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        find(&self.query, name)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut fields = fields.iter();
    fields.find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

pub enum Reply {
    Answer(u16, &'static str, Vec<u8>),
    /// The connection stays open without an answer.
    Silence,
    /// The connection is closed.
    Close,
}

impl Reply {
    pub fn json(status: u16, text: String) -> Self {
        Self::Answer(status, "application/json", text.into_bytes())
    }
}

pub struct Server {
    pub address: SocketAddr,
    open: Arc<AtomicBool>,
}

impl Server {
    /// Serves on a free port of 127.0.0.1 until it is closed.
    pub fn start<F>(handler: F) -> Self
    where
        F: Fn(Request) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("a nonblocking listener");
        let open = Arc::new(AtomicBool::new(true));
        let (is_open, handler) = (Arc::clone(&open), Arc::new(handler));
        std::thread::spawn(move || {
            while is_open.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (is_open, handler) = (Arc::clone(&is_open), Arc::clone(&handler));
                        std::thread::spawn(move || serve(stream, &is_open, &*handler));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Self { address, open }
    }

    /// Closes the listener; open connections end with their next request.
    pub fn close(&self) {
        self.open.store(false, Ordering::Relaxed);
    }
}

fn serve(stream: TcpStream, is_open: &AtomicBool, handler: &dyn Fn(Request) -> Reply) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if !is_open.load(Ordering::Relaxed) {
            return;
        }
        match handler(request) {
            Reply::Answer(status, kind, body) => {
                if !is_open.load(Ordering::Relaxed) {
                    return;
                }
                let head = format!(
                    "HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let sent = writer.write_all(head.as_bytes());
                if sent.and_then(|()| writer.write_all(&body)).is_err() {
                    return;
                }
            }
            Reply::Silence => {
                // Ends when the peer closes the connection.
                let _ = reader.read(&mut [0]);
                return;
            }
            Reply::Close => return,
        }
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some_and(|kind| kind == "chunked") {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = find(headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), unescape(value)));
    let query = query.collect();
    let path = path.to_owned();
    let body = read_body(reader, &headers)?;
    Some(Request { method, path, query, headers, body })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Sends a request on a new connection. Returns the status and the body, or `None` without an
/// answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut writer = stream.try_clone().ok()?;
    writer.write_all(head.as_bytes()).ok()?;
    writer.write_all(body.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
