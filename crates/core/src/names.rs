//! Names as shared immutable strings, one type per role, so that a customer can
//! never be passed where a zone is meant.

use std::fmt::{self, Display, Formatter};

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(ArcStr);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(ArcStr::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(ArcStr::from(text))
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    )*};
}

name_types! {
    /// Name of a customer, the party that owns guarantees and submits jobs.
    CustomerName;
    /// Name of an availability zone.
    ZoneName;
    /// Name of a region, a set of zones.
    RegionName;
    /// Name of a rack within a zone.
    RackName;
    /// Name of a worker, a target that runs tasks and answers calls.
    WorkerName;
    /// Name of an entry host.
    HostName;
    /// Name of a service that workers run.
    ServiceName;
    /// Name of a job class declared in the operator folder.
    ClassName;
    /// Idempotency key of a job, chosen by the caller.
    JobId;
    /// Identifier of a lease on a worker.
    LeaseId;
    /// Identifier of a log record, by which readers apply it once.
    RecordId;
    /// Name of a machine, which keeps its rack and room while its workers change.
    MachineName;
    /// Name of a queue of a planning domain, to which jobs are submitted.
    QueueName;
    /// Label of a worker that jobs may ask for.
    LabelName;
    /// Name of the program that the units of a step run.
    ImageName;
}
