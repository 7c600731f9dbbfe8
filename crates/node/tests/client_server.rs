//! The HTTP server and clients that do not complete their requests, over sockets.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use flamingowalk_node::connection::client_guard::ClientGuard;
use flamingowalk_node::connection::client_limits::{ClientBudget, ClientLimits};
use flamingowalk_node::connection::http_server::{
    BodyError, BufferedRequest, HeadVerdict, ListenerRules, ServePhase, run_charged,
    serve_connections, text_response,
};
use hyper::StatusCode;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;
use tokio::time::Instant;

const BUDGET: ClientBudget = ClientBudget {
    buffered_bytes: 400_000,
    callers: 8,
    checks: 1,
    operators: 1,
};

/// A server whose handler notes the bodies it gets.
struct TestServer {
    address: SocketAddr,
    limits: Rc<Cell<ClientLimits>>,
    bodies: Rc<RefCell<Vec<Result<Bytes, BodyError>>>>,
    guard: ClientGuard,
    _phase: watch::Sender<ServePhase>,
}

impl TestServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let limits = Rc::new(Cell::new(ClientLimits {
            max_head_bytes: 16_384,
            max_body_bytes: 262_144,
            head_timeout: Duration::from_mins(1),
            idle_timeout: Duration::from_mins(1),
        }));
        let guard = ClientGuard::new(BUDGET);
        let shared_limits = Rc::clone(&limits);
        let rules = ListenerRules {
            name: "test",
            guard: guard.clone(),
            max_connections: BUDGET.callers,
            refuses_responses: false,
            limits: Box::new(move || shared_limits.get()),
            check_head: Box::new(|head| match head.uri.path() {
                "/refuse" => {
                    let response = text_response(StatusCode::UNAUTHORIZED, String::new());
                    HeadVerdict::Refuse(Box::new(response))
                }
                "/skip" => HeadVerdict::Skip,
                path => HeadVerdict::Read {
                    is_known: path == "/known",
                },
            }),
        };
        let bodies = Rc::new(RefCell::new(Vec::new()));
        let noted = Rc::clone(&bodies);
        let handler = move |request: BufferedRequest, _remote| {
            let body = request.into_body();
            noted.borrow_mut().push(body.clone());
            std::future::ready(match body {
                Ok(body) => text_response(StatusCode::OK, body.len().to_string()),
                Err(error) => text_response(error.status(), error.to_string()),
            })
        };
        let (sender, phase) = watch::channel(ServePhase::Accepting);
        tokio::task::spawn_local(serve_connections(listener, phase, rules, handler));
        Self {
            address,
            limits,
            bodies,
            guard,
            _phase: sender,
        }
    }

    fn change_limits(&self, change: impl Fn(&mut ClientLimits)) {
        let mut limits = self.limits.get();
        change(&mut limits);
        self.limits.set(limits);
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address)
            .await
            .expect("a connection")
    }
}

async fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("sent");
}

/// Reads one response, whose body is short.
async fn receive(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 4_096];
    let length = stream.read(&mut bytes).await.expect("a response");
    String::from_utf8_lossy(&bytes[..length]).into_owned()
}

fn post(path: &str, fields: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: a\r\n{fields}\r\n\r\n")
}

/// Guards against buffering a body that is not used or refused by its head.
#[rstest]
#[case::refused("/refuse", "content-length: 200000", "401", 0)]
#[case::refused_waiting("/refuse", "content-length: 9\r\nexpect: 100-continue", "401", 0)]
#[case::skipped("/skip", "content-length: 200000", "200", 1)]
#[case::announced_too_long("/known", "content-length: 262145", "413", 1)]
#[tokio::test(flavor = "current_thread")]
async fn head_answered_without_body(
    #[case] path: &str,
    #[case] fields: &str,
    #[case] status: &str,
    #[case] handled: usize,
) {
    let check = async {
        let server = TestServer::start().await;
        let mut stream = server.connect().await;
        send(&mut stream, &post(path, fields)).await;
        let response = receive(&mut stream).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{response}"
        );
        assert_eq!(server.bodies.borrow().len(), handled);
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against a chunked body without an end, which announces no length.
#[tokio::test(flavor = "current_thread")]
async fn chunked_body_too_long() {
    let check = async {
        let server = TestServer::start().await;
        let mut stream = server.connect().await;
        send(&mut stream, &post("/known", "transfer-encoding: chunked")).await;
        let chunk = format!("10000\r\n{}\r\n", "a".repeat(0x10000));
        send(&mut stream, &chunk.repeat(5)).await;
        let response = receive(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 413"), "{response}");
        assert_eq!(server.guard.buffered_bytes(), 0);
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against a refusal of a request that is carried out later all the same, and against
/// unfinished bodies that keep out a client with a valid key.
#[tokio::test(flavor = "current_thread")]
async fn body_shed_is_never_handled() {
    let check = async {
        let server = TestServer::start().await;
        let part = "a".repeat(199_999);
        let mut stalled = server.connect().await;
        send(&mut stalled, &post("/open", "content-length: 200000")).await;
        send(&mut stalled, &part).await;
        while server.guard.buffered_bytes() < 199_999 {
            tokio::task::yield_now().await;
        }
        let mut known = server.connect().await;
        send(&mut known, &post("/known", "content-length: 200000")).await;
        send(&mut known, &part).await;
        let response = receive(&mut stalled).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("retry-after: 1"), "{response}");
        assert!(response.contains("connection: close"), "{response}");
        // The end of the body may arrive before the connection is closed.
        let _ = stalled.write_all(b"a").await;
        assert_eq!(*server.bodies.borrow(), [Err(BodyError::Shed)]);
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against serving a client that was told to give way, whose body is complete by the time
/// that it is read.
#[tokio::test(flavor = "current_thread")]
async fn body_completed_after_shedding_is_never_handled() {
    let check = async {
        let server = TestServer::start().await;
        let mut stalled = server.connect().await;
        send(&mut stalled, &post("/open", "content-length: 200000")).await;
        send(&mut stalled, &"a".repeat(199_999)).await;
        while server.guard.buffered_bytes() < 199_999 {
            tokio::task::yield_now().await;
        }
        // Nothing is read between these two steps.
        let other = server.guard.open("test", 16_384, Instant::now());
        other.charge(300_000, Instant::now()).expect("room");
        assert_eq!(stalled.try_write(b"a").expect("sent"), 1);
        let response = receive(&mut stalled).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert_eq!(*server.bodies.borrow(), [Err(BodyError::Shed)]);
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against complete requests that are in no budget once their clients have disconnected,
/// while their handlers still hold them.
#[tokio::test(flavor = "current_thread")]
async fn request_charged_until_its_handler_is_done() {
    let check = async {
        let server = TestServer::start().await;
        let mut stream = server.connect().await;
        send(&mut stream, &post("/known", "content-length: 100000")).await;
        send(&mut stream, &"a".repeat(100_000)).await;
        let response = receive(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        drop(stream);
        while server.guard.connections("test") > 0 {
            tokio::task::yield_now().await;
        }
        // The handler of this server keeps the bodies.
        assert_eq!(server.guard.buffered_bytes(), 200_000);
        server.bodies.borrow_mut().clear();
        assert_eq!(server.guard.buffered_bytes(), 0);
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against handling that ends, or whose charge is released, when the client disconnects.
#[tokio::test(flavor = "current_thread")]
async fn charged_handling_outlives_its_client() {
    let check = async {
        let guard = ClientGuard::new(BUDGET);
        let ticket = guard.open("test", 16_384, Instant::now());
        ticket.charge(1_000, Instant::now()).expect("room");
        let (_, charge) = ticket.hand_over(Bytes::from_static(b"body"));
        let (end, ended) = oneshot::channel::<()>();
        let client = tokio::task::spawn_local(run_charged(Some(charge), ended));
        tokio::task::yield_now().await;
        client.abort();
        drop(ticket);
        assert!(client.await.is_err_and(|error| error.is_cancelled()));
        assert_eq!(guard.buffered_bytes(), 1_000);
        end.send(()).expect("the handling waits");
        while guard.buffered_bytes() > 0 {
            tokio::task::yield_now().await;
        }
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against limits of the configuration that are not in force for the next request on an
/// open connection.
#[tokio::test(flavor = "current_thread")]
async fn limits_in_force_for_next_request() {
    let check = async {
        let server = TestServer::start().await;
        let mut stream = server.connect().await;
        let request = post("/known", "content-length: 5") + "12345";
        send(&mut stream, &request).await;
        let response = receive(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        server.change_limits(|limits| limits.max_body_bytes = 5);
        send(&mut stream, &request).await;
        let response = receive(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        server.change_limits(|limits| limits.max_body_bytes = 4);
        send(&mut stream, &request).await;
        let response = receive(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against heads above a limit that was lowered while the connection was open, and
/// against connections whose buffers are too small for a limit that was raised.
#[tokio::test(flavor = "current_thread")]
async fn head_limit_changed_on_open_connection() {
    let check = async {
        let server = TestServer::start().await;
        let mut stream = server.connect().await;
        let long = format!(
            "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
            "a".repeat(9_000)
        );
        send(&mut stream, &long).await;
        let response = receive(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        server.change_limits(|limits| limits.max_head_bytes = 9_000);
        send(&mut stream, &long).await;
        let response = receive(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 431"), "{response}");
        let mut stream = server.connect().await;
        send(&mut stream, &long).await;
        let response = receive(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 431"), "{response}");
        server.change_limits(|limits| limits.max_head_bytes = 16_384);
        let mut stream = server.connect().await;
        send(&mut stream, &long).await;
        let response = receive(&mut stream).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against stalls at any byte that keep a connection open.
#[rstest]
#[case::silent("")]
#[case::head("POST /known HT")]
#[case::head_end("POST /known HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r")]
#[case::body("POST /known HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n1234")]
#[case::chunk_head("POST /known HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1")]
#[case::chunk("POST /known HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n2\r\na")]
#[case::trailer("POST /known HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx")]
#[tokio::test(flavor = "current_thread")]
async fn stalled_client_closed(#[case] text: &str) {
    let check = async {
        let server = TestServer::start().await;
        server.change_limits(|limits| {
            limits.head_timeout = Duration::from_millis(50);
            limits.idle_timeout = Duration::from_millis(50);
        });
        let mut stream = server.connect().await;
        send(&mut stream, text).await;
        let mut response = String::new();
        // The client may have sent bytes that were not read, which resets the connection.
        let _ = stream.read_to_string(&mut response).await;
        let is_complete = |body: &Result<Bytes, BodyError>| body.is_ok();
        assert!(!server.bodies.borrow().iter().any(is_complete));
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 408"),
            "{response}"
        );
        while server.guard.connections("test") > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    LocalSet::new().run_until(check).await;
}

/// Guards against pipelined requests and slow readers that keep a connection open or fill the
/// memory with responses.
#[tokio::test(flavor = "current_thread")]
async fn unread_responses_close_connection() {
    let check = async {
        let server = TestServer::start().await;
        server.change_limits(|limits| limits.idle_timeout = Duration::from_millis(200));
        let mut stream = server.connect().await;
        let requests = "GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(1_000);
        // Ends with an error once the server has closed the connection.
        while stream.write_all(requests.as_bytes()).await.is_ok() {}
        assert!(server.guard.buffered_bytes() <= BUDGET.buffered_bytes);
    };
    LocalSet::new().run_until(check).await;
}
