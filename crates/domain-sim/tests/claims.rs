//! Claims on capacity while the claimed workers' entries come and go.

use crate::support::{BATCH, URGENT, check_all_done, gang, job, ready_world, step};
use flamingowalk_domain::prelude::*;
use rstest::rstest;

/// Guards against a claimed worker that is filled twice in one pass, since a worker that was
/// removed and listed again had lost the reservation of the claim.
#[rstest]
fn claim_on_relisted_worker_not_exceeded(#[values(0, 200, 400, 600, 800, 1_000)] offset_ms: u64) {
    let mut world = ready_world(61, 3, 2);
    world.run_for(Duration::from_secs(20));
    let long = Duration::from_secs(20);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(1, 8)]), long);
    world.run_for(Duration::from_secs(2) + Duration::from_millis(offset_ms));
    let idle = world.workers.iter().find_map(|(name, worker)| {
        let is_idle = worker.running.is_empty();
        is_idle.then(|| name.clone())
    });
    let idle = idle.expect("an idle worker");
    let work = Duration::from_secs(2);
    world.submit(0, URGENT, JobKey(2), &job(vec![gang(2, 8)]), work);
    world.run_for(Duration::from_millis(60));
    world.log.put_worker(&idle, None);
    world.submit(0, BATCH, JobKey(3), &job(vec![step(1, 8)]), work);
    check_all_done(world);
}
