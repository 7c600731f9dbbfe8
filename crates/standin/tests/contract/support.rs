//! Client of the contract tests: one connection, responses read in full.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;

/// A complete response.
#[derive(Debug)]
pub struct TestResponse {
    /// Status.
    pub status: StatusCode,
    /// Request identifier that the response echoes.
    pub request_id: Option<String>,
    /// Body.
    pub body: Bytes,
}

impl TestResponse {
    /// Decodes the body as a wire type.
    pub fn parse<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// One open connection.
#[derive(Debug)]
pub struct TestClient {
    sender: SendRequest<Full<Bytes>>,
}

impl TestClient {
    /// Connects to a stand-in.
    pub async fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let (sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        Self { sender }
    }

    async fn send(&mut self, request: Request<Full<Bytes>>) -> Option<TestResponse> {
        let response = self.sender.send_request(request).await.ok()?;
        let status = response.status();
        let id = response.headers().get("flamingowalk-request-id");
        let request_id = id.map(|value| value.to_str().unwrap().to_owned());
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(TestResponse {
            status,
            request_id,
            body,
        })
    }

    /// Sends a GET; `None` if the connection closes without a response.
    pub async fn get(&mut self, path: &str) -> Option<TestResponse> {
        let request = Request::get(path).body(Full::default()).unwrap();
        self.send(request).await
    }

    /// Sends a POST with a JSON body.
    pub async fn post<T: Serialize>(&mut self, path: &str, value: &T) -> Option<TestResponse> {
        let body = Full::from(serde_json::to_vec(value).unwrap());
        let request = Request::builder().method(Method::POST).uri(path);
        self.send(request.body(body).unwrap()).await
    }

    /// Sends a call.
    pub async fn call(
        &mut self,
        service: &str,
        id: &str,
        body: &'static str,
    ) -> Option<TestResponse> {
        let request = Request::post(format!("/v1/calls/{service}"))
            .header("flamingowalk-request-id", id)
            .body(Full::from(body))
            .unwrap();
        self.send(request).await
    }
}
