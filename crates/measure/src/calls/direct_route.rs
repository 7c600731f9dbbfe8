//! How the load generator sends a call: to the entry host, or to the workers by
//! one of two plain policies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::bench::SERVICE;

/// Idle time after which the generator closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Attempts of the policy with retries.
const ROBIN_ATTEMPTS: usize = 4;
/// Step of the fixed sequence that stands for random choices; prime, so that
/// every worker comes up.
const RANDOM_STEP: u64 = 6_364_136_223_846_793_005;

/// A plain way to route calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RoutePolicy {
    /// A random worker, one attempt.
    RandomOnce,
    /// Workers in turn, three retries after any failure, idempotent or not.
    RoundRobin,
}

/// One call to be sent.
#[derive(Clone, Debug)]
pub(crate) struct PlannedCall {
    /// Request identifier.
    pub id: String,
    /// Customer.
    pub customer: &'static str,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Deadline.
    pub deadline: Duration,
}

/// What the caller was told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallResult {
    /// A whole answer.
    Answered,
    /// It ran and failed.
    Failed,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Sends calls.
#[derive(Clone, Debug)]
pub(crate) struct DirectRoute {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Arc<Vec<SocketAddr>>,
    policy: RoutePolicy,
    path: &'static str,
    next: Arc<AtomicUsize>,
    seed: u64,
}

impl DirectRoute {
    /// Sends every call to one entry host.
    pub(crate) fn to_host(address: SocketAddr) -> Self {
        Self::new(vec![address], RoutePolicy::RandomOnce, "/v1/call/", 0)
    }

    /// Sends calls to workers.
    pub(crate) fn to_workers(policy: RoutePolicy, addresses: Vec<SocketAddr>, seed: u64) -> Self {
        Self::new(addresses, policy, "/v1/calls/", seed)
    }

    fn new(addresses: Vec<SocketAddr>, policy: RoutePolicy, path: &'static str, seed: u64) -> Self {
        let client = new_client();
        let next = Arc::new(AtomicUsize::new(0));
        Self {
            client,
            addresses: Arc::new(addresses),
            policy,
            path,
            next,
            seed,
        }
    }

    /// The same route without connections. Connections live on the runtime that
    /// made them, so that each runtime needs its own.
    pub(crate) fn renewed(&self) -> Self {
        let client = new_client();
        Self {
            client,
            ..self.clone()
        }
    }

    /// Sends a call and waits for its end, at most for its deadline.
    pub(crate) async fn send(&self, call: &PlannedCall) -> CallResult {
        let attempts = match self.policy {
            RoutePolicy::RandomOnce => 1,
            RoutePolicy::RoundRobin => ROBIN_ATTEMPTS,
        };
        // The host answers by itself at the deadline; its answer takes a while.
        let time = call.deadline / attempts as u32 + Duration::from_millis(50);
        let mut end = CallResult::Unknown;
        for _ in 0..attempts {
            let attempt = self.attempt(call);
            end = tokio::time::timeout(time, attempt)
                .await
                .unwrap_or(CallResult::Unknown);
            if end == CallResult::Answered {
                break;
            }
        }
        end
    }

    async fn attempt(&self, call: &PlannedCall) -> CallResult {
        let address = self.choose();
        let idempotent = if call.idempotent { "true" } else { "false" };
        let request = Request::post(format!("http://{address}{}{SERVICE}", self.path))
            .header("flamingowalk-customer", call.customer)
            .header("flamingowalk-request-id", &call.id)
            .header(
                "flamingowalk-deadline-ms",
                call.deadline.as_millis().to_string(),
            )
            .header(
                "flamingowalk-idempotent",
                HeaderValue::from_static(idempotent),
            )
            .body(Full::new(Bytes::from_static(b"slab 6x4")));
        let Ok(request) = request else {
            return CallResult::NotRun;
        };
        let Ok(response) = self.client.request(request).await else {
            return CallResult::Unknown;
        };
        let status = response.status();
        if response.into_body().collect().await.is_err() {
            return CallResult::Unknown;
        }
        match status {
            StatusCode::OK => CallResult::Answered,
            StatusCode::SERVICE_UNAVAILABLE => CallResult::NotRun,
            StatusCode::GATEWAY_TIMEOUT => CallResult::Unknown,
            _ => CallResult::Failed,
        }
    }

    fn choose(&self) -> SocketAddr {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let place = match self.policy {
            RoutePolicy::RoundRobin => number,
            RoutePolicy::RandomOnce => {
                let mixed = (number as u64 + self.seed).wrapping_mul(RANDOM_STEP);
                (mixed >> 33) as usize
            }
        };
        self.addresses[place % self.addresses.len()]
    }
}

fn new_client() -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .build(connector)
}
