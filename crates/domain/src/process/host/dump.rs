//! The state of a host as text, for the state dump.

use std::fmt::{self, Display, Formatter};

use crate::process::election::ElectionStage;
use crate::process::host::DomainHost;
use crate::process::planner::evacuation::write_closed;

impl DomainHost {
    /// Returns the host's stage in the leader election.
    pub const fn election_stage(&self) -> ElectionStage {
        self.election.stage()
    }
}

impl Display for DomainHost {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let version = self
            .manifest
            .as_ref()
            .map_or(0, |manifest| manifest.version);
        writeln!(
            f,
            "host {} config{version} draining {} jobs {} waiting {} seat {:?}",
            self.identity.name,
            self.is_draining,
            self.job_table.jobs().len(),
            self.request_handler.waiting_count(),
            self.election.stage(),
        )?;
        write_closed(&self.closed_zones, f)?;
        match &self.planner {
            Some(planner) => write!(f, "{planner}"),
            None => Ok(()),
        }
    }
}
