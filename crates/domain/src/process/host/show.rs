//! The state of a host as text, for the dump.

use std::fmt::{self, Display, Formatter};

use crate::process::host::DomainHost;
use crate::process::seat::SeatStage;

impl DomainHost {
    /// Whether the seat is held, claimed or free, for the dump.
    pub const fn seat_stage(&self) -> SeatStage {
        self.seat.stage()
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
            self.book.jobs().len(),
            self.desk.waiting_count(),
            self.seat.stage(),
        )?;
        match &self.planner {
            Some(planner) => write!(f, "{planner}"),
            None => Ok(()),
        }
    }
}
