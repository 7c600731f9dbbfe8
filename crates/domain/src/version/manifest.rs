//! The configuration of a planning domain: queues, services and customers. A host
//! adopts only higher versions, so that it never returns to an older configuration.

use crate::prelude::*;
use crate::version::caller_limits::CallerLimits;
use crate::version::route_index::RouteIndex;

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DomainManifest {
    /// Number of the version; later versions have higher numbers, with gaps.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, QueueSettings>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerName, CustomerEntry>,
    /// Customer of each caller's key; holds exactly the keys of `customers`.
    pub keys: BTreeMap<Arc<str>, CustomerName>,
    /// Index over `queues`, which must not change once it was used.
    pub route_index: RouteIndex,
    /// Limits of callers' requests.
    pub caller_limits: CallerLimits,
}

/// A queue: where its jobs come in, and how they are run.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueSettings {
    /// Host name under which callers address the queue, in lower case, without port.
    pub host: Arc<str>,
    /// Start of the paths of the queue; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Service whose workers run the units.
    pub service: ServiceName,
    /// Priority; zero is the most urgent and may reclaim capacity from others.
    pub priority: u8,
    /// Failed runs of one unit after which its job fails; at least one.
    pub max_attempts: u16,
    /// Factor on the run time of a job's critical path; the product plus `target_latency` is
    /// the time that a job may take.
    pub stretch: f64,
    /// Constant part of the time that a job may take.
    pub target_latency: Duration,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Settings of the advice that a start needs; `None` if starts need no advice.
    pub advice: Option<AdviceSettings>,
}

/// The service that approves workers for the steps of a queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdviceSettings {
    /// Time that each call takes, however many workers it names.
    pub decide_time: Duration,
    /// Additional time for each worker named in a call.
    pub worker_time: Duration,
    /// Time for which an approval is valid.
    pub validity: Duration,
}

/// A service: a pool of workers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceSettings {
    /// Whether the workers refuse what exceeds their capacity.
    pub checks_admission: bool,
    /// Whether the workers are a switched-off reserve that runs nothing.
    pub is_spare: bool,
    /// Path at which a worker reports whether it considers itself healthy.
    pub health_path: Option<Arc<str>>,
}

/// A customer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CustomerEntry {
    /// Accelerators that are guaranteed to the customer's urgent jobs at all times.
    pub guaranteed_accelerators: u32,
}

impl DomainManifest {
    /// Returns the queue that a request addresses: among those with its host name, the one
    /// with the longest matching path prefix.
    pub fn find_queue(&self, host: &str, path: &str) -> Option<(&QueueName, &QueueSettings)> {
        let host = host.split(':').next().unwrap_or_default();
        let name = self.route_index.find(&self.queues, host, path)?;
        self.queues.get_key_value(name)
    }

    /// Whether a queue is urgent, that is, has priority zero.
    pub fn has_urgent_queue(&self) -> bool {
        self.route_index.has_urgent_queue(&self.queues)
    }

    /// Returns the accelerators guaranteed to a customer; zero for one that is not declared.
    pub fn guaranteed(&self, customer: &CustomerName) -> u32 {
        self.customers
            .get(customer)
            .map_or(0, |entry| entry.guaranteed_accelerators)
    }
}
