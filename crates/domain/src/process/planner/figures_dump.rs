//! The planner's figures as text, for the state dump: speeds and errors of the workers by tier,
//! run times by queue, and how often objectives were expected to be met and were.

use std::fmt::{self, Formatter};

use crate::prelude::*;
use crate::process::planner::state::PlannerState;
use crate::process::planner::worker_figures::tier_of;

/// Workers of one tier.
#[derive(Clone, Copy, Debug, Default)]
struct TierTotal {
    workers: u32,
    known: u32,
    log: f64,
    error: f64,
}

impl PlannerState {
    /// Writes the table of figures.
    pub(super) fn write_figures(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let spread = self.speeds.spread;
        if spread.compared > 0 || spread.differ {
            writeln!(
                f,
                "speeds differ {} deviation {:.2} compared {} repeats shorter {:.1} as-long {:.1}",
                spread.differ,
                spread.deviation,
                spread.compared,
                self.speeds.repeats.shorter,
                self.speeds.repeats.as_long,
            )?;
        }
        if spread.differ {
            self.write_tiers(f)?;
        }
        for (queue, typical) in self.run_times.typical_by_queue() {
            writeln!(
                f,
                "run-times {queue} runs {} typical-ms {:.0} of-estimate {:.2} error {:.2} p50 {:.2} p90 {:.2} p99 {:.2}",
                typical.runs,
                typical.mean_log.exp(),
                typical.ratio_log.exp(),
                typical.mean_error.min(typical.ratio_error).sqrt(),
                typical.ratio_quantile(0.5),
                typical.ratio_quantile(0.9),
                typical.ratio_quantile(0.99),
            )?;
        }
        for (queue, tally) in &self.objectives {
            writeln!(
                f,
                "objectives {queue} done {} expected {} met {} expected-and-met {}",
                tally.done, tally.expected, tally.met, tally.expected_met,
            )?;
        }
        Ok(())
    }

    fn write_tiers(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut tiers: BTreeMap<i32, TierTotal> = BTreeMap::new();
        for name in self.workers.keys() {
            let speed = self.speeds.estimate(name);
            let total = tiers.entry(tier_of(speed.log)).or_default();
            total.workers += 1;
            total.known += u32::from(speed.is_known());
            total.log += speed.log;
            total.error += speed.error();
        }
        for (tier, total) in tiers {
            let count = f64::from(total.workers);
            writeln!(
                f,
                "speed-tier {tier} workers {} known {} speed {:.2} error {:.2}",
                total.workers,
                total.known,
                (total.log / count).exp(),
                total.error / count,
            )?;
        }
        Ok(())
    }
}
