//! Start and end of planning on this host. The log lines name the target
//! `flamingowalk_domain::process::host::tenure` explicitly, so that log filters do not depend
//! on the name of this module.

use metrics::counter;

use crate::prelude::*;
use crate::process::action::HostAction;
use crate::process::host::gauges::TAKEOVERS;
use crate::process::host::{DomainHost, FOLLOW_READ_INTERVAL, plan_context};
use crate::process::planner::PlannerState;

impl DomainHost {
    /// Starts the planner once this host is leader, has read the jobs stream to its tail
    /// and knows the workers and the configuration.
    pub(super) fn start_planning(
        &mut self,
        now: MonotonicTime,
        wall: WallTime,
        actions: &mut Vec<HostAction>,
    ) {
        let has_workers = self
            .workers
            .as_ref()
            .is_some_and(|workers| workers.confirmed_at().is_some());
        let Some(manifest) = self.manifest.as_ref().filter(|_| has_workers) else {
            return;
        };
        let Some((epoch, announced_at)) = self.election.try_become_leader(self.jobs.confirmed_at())
        else {
            return;
        };
        log::info!(target: "flamingowalk_domain::process::host::tenure", epoch = epoch.0, workers = self.reports.len(); "planning started");
        counter!(TAKEOVERS).increment(1);
        let mut planner = PlannerState::new(
            epoch,
            self.identity.name.clone(),
            self.identity.limits,
            Arc::clone(manifest),
            announced_at,
            now,
        );
        let mut context = plan_context(now, wall, &mut self.last_ticket, actions);
        for (name, report) in &self.reports {
            planner.apply_report(&mut context, name, Some(Arc::clone(report)), None);
        }
        let previous_leader_lease = self.election.previous_leader_lease();
        planner.restore_jobs(&mut context, &self.job_table, previous_leader_lease);
        planner.restore_figures(
            now,
            wall,
            self.job_table.speeds(),
            self.job_table.run_times(),
        );
        planner.upkeep.restore(self.job_table.waves());
        for (number, order) in &self.waves {
            planner.upkeep.set_wave(*number, Some(Arc::clone(order)));
        }
        planner.set_closed_zones(&self.closed_zones);
        planner.confirm_orders(self.config.confirmed_at());
        planner.tick(&mut context);
        self.planner = Some(planner);
        self.jobs.set_read_interval(Duration::ZERO);
    }

    /// Drops the planner once it has resigned or was superseded by a later one.
    pub(super) fn finish_planning(&mut self, now: MonotonicTime) {
        let is_over = self
            .planner
            .as_ref()
            .is_some_and(|planner| planner.is_superseded() || planner.has_resigned());
        if !is_over {
            return;
        }
        log::info!(target: "flamingowalk_domain::process::host::tenure", "planning ended");
        if let Some(planner) = self.planner.take() {
            self.handover.add(now, planner.unrecorded_ends());
        }
        self.workers = None;
        self.jobs.set_read_interval(FOLLOW_READ_INTERVAL);
        self.election.step_down(now);
    }
}
