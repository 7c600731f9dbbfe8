//! Client of the load generator: sends calls to the entry host, or directly to workers by
//! one of two simple policies.

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

/// Idle time after which the client closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Attempts of [`RoutePolicy::RoundRobin`]: one and three retries.
const ROUND_ROBIN_ATTEMPTS: usize = 4;
/// Multiplier of the fixed sequence that stands in for random choices. It is odd, so
/// multiplication maps different call numbers to different values and every worker is
/// chosen.
const RANDOM_MULTIPLIER: u64 = 6_364_136_223_846_793_005;

/// Simple routing policy, used as a baseline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RoutePolicy {
    /// A random worker, one attempt.
    RandomOnce,
    /// Workers in turn; up to three retries after any failure, idempotent or not.
    RoundRobin,
}

/// Call to be sent.
#[derive(Clone, Debug)]
pub(crate) struct PlannedCall {
    /// Request identifier.
    pub id: String,
    /// Customer.
    pub customer: &'static str,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time from sending within which the call must end.
    pub deadline: Duration,
}

/// Outcome as reported to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallResult {
    /// The complete answer arrived.
    Answered,
    /// The call ran and failed.
    Failed,
    /// The call did not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Client that sends calls along one route.
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
    /// Returns a client that sends every call to one entry host.
    pub(crate) fn to_host(address: SocketAddr) -> Self {
        Self::new(vec![address], RoutePolicy::RandomOnce, "/v1/call/", 0)
    }

    /// Returns a client that sends calls directly to workers.
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

    /// Returns the same route with a new client. Connections belong to the runtime that
    /// opened them, so each runtime needs a client of its own.
    pub(crate) fn with_new_client(&self) -> Self {
        let client = new_client();
        Self {
            client,
            ..self.clone()
        }
    }

    /// Sends a call and returns its result. Waits at most for the deadline, plus 50 ms per
    /// attempt.
    pub(crate) async fn send(&self, call: &PlannedCall) -> CallResult {
        let attempts = match self.policy {
            RoutePolicy::RandomOnce => 1,
            RoutePolicy::RoundRobin => ROUND_ROBIN_ATTEMPTS,
        };
        // The host itself answers at the deadline; the extra time lets that answer arrive.
        let attempt_timeout = call.deadline / attempts as u32 + Duration::from_millis(50);
        let mut result = CallResult::Unknown;
        for _ in 0..attempts {
            let attempt = self.attempt(call);
            result = tokio::time::timeout(attempt_timeout, attempt)
                .await
                .unwrap_or(CallResult::Unknown);
            if result == CallResult::Answered {
                break;
            }
        }
        result
    }

    async fn attempt(&self, call: &PlannedCall) -> CallResult {
        let address = self.next_address();
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

    fn next_address(&self) -> SocketAddr {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let index = match self.policy {
            RoutePolicy::RoundRobin => number,
            RoutePolicy::RandomOnce => {
                let mixed = (number as u64 + self.seed).wrapping_mul(RANDOM_MULTIPLIER);
                (mixed >> 33) as usize
            }
        };
        self.addresses[index % self.addresses.len()]
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
