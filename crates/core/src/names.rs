//! Names as shared immutable strings, with one type per role, so that a customer
//! cannot be passed where a zone is expected.

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
            /// Returns the name as a string slice.
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
    /// Identifier of a log record, by which readers skip duplicates.
    RecordId;
    /// Name of a machine, which keeps its rack and capacity while its workers change.
    MachineName;
    /// Name of a queue of a planning domain, to which jobs are submitted.
    QueueName;
    /// Label of a worker that jobs may require.
    LabelName;
    /// Name of the program image that the units of a step run.
    ImageName;
}
