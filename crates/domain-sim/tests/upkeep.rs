//! Waves of upkeep: every machine has its upkeep once, no more machines are unavailable at
//! once than the wave allows, no run is interrupted, and a successor continues the wave.

use crate::support::{BATCH, all_done, job, planner_of, ready_world, step};
use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::election::HEARTBEAT_TIMEOUT;
use flamingowalk_domain::version::wave::WaveOrder;
use flamingowalk_domain_sim::SimWorld;
use rstest::rstest;

const WAVE: WaveNumber = WaveNumber(7);
/// Time within which the waves of these tests must be completed.
const WAVE_TIMEOUT: Duration = Duration::from_mins(1);

/// Returns a world whose workers have machines, and publishes a wave over all of them.
fn world_with_wave(seed: u64, count: usize, cap: usize) -> SimWorld {
    let mut world = ready_world(seed, 3, count);
    let workers: Vec<_> = world.workers.keys().cloned().collect();
    world.machines.add_workers(workers.into_iter());
    let order = WaveOrder {
        number: WAVE,
        machines: world.machines.machines.keys().cloned().collect(),
        duration: Duration::from_secs(30),
        cap,
    };
    world.log.put_wave(WAVE, Some(order));
    world
}

fn is_completed(world: &SimWorld) -> bool {
    world.log.wave_status(WAVE).as_deref() == Some("completed")
}

#[track_caller]
fn check_completed(world: &mut SimWorld, count: usize, cap: usize) {
    assert!(
        world.run_until(WAVE_TIMEOUT, is_completed),
        "the wave is not completed"
    );
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.machines.upkeeps, count);
    assert!(
        world.machines.max_unavailable <= cap,
        "{}",
        world.machines.max_unavailable
    );
}

#[test]
fn wave_idle_machines_within_cap() {
    let mut world = world_with_wave(91, 6, 2);
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.log.wave_status(WAVE).as_deref(), Some("running"));
    check_completed(&mut world, 6, 2);
}

#[test]
fn wave_runs_end_or_move_before_upkeep() {
    let mut world = world_with_wave(92, 6, 2);
    let mut long = step(5, 8);
    long.has_checkpoints = true;
    let work = Duration::from_secs(20);
    world.submit(0, BATCH, JobKey(1), &job(vec![long]), work);
    check_completed(&mut world, 6, 2);
    assert!(world.run_until(WAVE_TIMEOUT, all_done));
}

#[test]
fn wave_long_running_step_keeps_required_units() {
    let mut world = world_with_wave(97, 4, 2);
    let mut long_running = step(3, 8);
    long_running.is_long_running = true;
    long_running.may_miss = Some(1);
    let work = Duration::from_mins(5);
    world.submit(0, BATCH, JobKey(1), &job(vec![long_running]), work);
    world.run_for(Duration::from_secs(1));
    for _ in 0..600 {
        world.run_for(Duration::from_millis(100));
        let running = world.workers.values().map(|worker| worker.running.len());
        assert!(
            running.sum::<usize>() >= 2,
            "more units are unavailable than allowed"
        );
    }
    check_completed(&mut world, 4, 2);
}

#[test]
fn wave_continued_by_successor() {
    let mut world = world_with_wave(93, 8, 2);
    world.run_for(Duration::from_secs(7));
    assert!(world.machines.upkeeps > 0);
    let index = planner_of(&world);
    world.kill_host(index);
    check_completed(&mut world, 8, 2);
    world.start_host(index);
    world.run_for(Duration::from_secs(10));
    assert!(
        is_completed(&world),
        "the wave was reported as running again"
    );
    assert_eq!(world.machines.upkeeps, 8);
}

#[test]
fn wave_lost_answer_retried() {
    let mut world = world_with_wave(94, 3, 1);
    world.machines.answers_to_lose = 1;
    check_completed(&mut world, 3, 1);
}

#[test]
fn wave_withdrawn_workers_accept_runs() {
    let mut world = world_with_wave(95, 2, 1);
    world.run_for(Duration::from_secs(4));
    world.log.put_wave(WAVE, None);
    world.run_for(Duration::from_secs(4));
    let work = Duration::from_secs(1);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(2, 8)]), work);
    world.run_for(Duration::from_millis(800));
    assert_eq!(world.starts, 2);
}

/// The withdrawal was truncated before the hosts read it, and the wave went on.
#[test]
fn wave_withdrawn_before_reread() {
    let mut world = world_with_wave(99, 12, 1);
    world.run_for(Duration::from_secs(6));
    world.log.put_wave(WAVE, None);
    world.log.truncate_history();
    world.run_for(Duration::from_secs(4));
    let upkeeps = world.machines.upkeeps;
    assert!(upkeeps < 10, "the wave was over before it was withdrawn");
    world.run_for(Duration::from_secs(20));
    assert_eq!(
        world.machines.upkeeps, upkeeps,
        "upkeep after the withdrawal"
    );
}

#[test]
fn wave_removed_machine_skipped() {
    let mut world = world_with_wave(96, 3, 1);
    let removed = world.machines.machines.keys().next().cloned();
    world.machines.machines.remove(&removed.expect("a machine"));
    check_completed(&mut world, 2, 1);
}

/// Guards against a wave that is blocked by a machine that is down for another reason than
/// upkeep: the machine counted against the wave's cap for ever, so that no other machine
/// could have its upkeep.
#[test]
fn wave_unavailable_machine_does_not_block_others() {
    let mut world = world_with_wave(98, 4, 1);
    if let Some(machine) = world.machines.machines.values_mut().next() {
        machine.is_down = true;
    }
    world.run_for(WAVE_TIMEOUT);
    assert_eq!(world.machines.upkeeps, 3);
    assert!(!is_completed(&world), "a listed machine has had no upkeep");
}

/// Checks that a unit for each worker is started within the time for which a job may have
/// nothing running while there is room.
#[track_caller]
fn check_all_workers_open(world: &mut SimWorld, count: u16) {
    let work = Duration::from_mins(1);
    world.submit(0, BATCH, JobKey(1), &job(vec![step(count, 8)]), work);
    world.run_for(Duration::from_secs(3));
    let running = world.workers.values().map(|worker| worker.running.len());
    let running: usize = running.sum();
    assert_eq!(running, usize::from(count), "a worker is closed");
}

/// Guards against workers that stay closed to runs after the wave, since their upkeep was
/// ordered again after a lost answer, when it was done already.
#[test]
fn wave_lost_answers_workers_accept_runs() {
    let mut world = world_with_wave(100, 8, 5);
    world.machines.answers_to_lose = 5;
    check_completed(&mut world, 8, 5);
    check_all_workers_open(&mut world, 8);
}

/// Guards against the same after a planner that was lost between an upkeep and its record.
#[test]
fn wave_unrecorded_upkeep_workers_accept_runs() {
    let mut world = world_with_wave(101, 4, 4);
    let is_ordered = |world: &SimWorld| world.machines.upkeeps > 0;
    assert!(world.run_until(WAVE_TIMEOUT, is_ordered));
    let index = planner_of(&world);
    world.kill_host(index);
    world.start_host(index);
    check_completed(&mut world, 4, 4);
    check_all_workers_open(&mut world, 4);
}

/// Guards against workers that stay closed to runs after their wave was withdrawn, while
/// another wave is open.
#[test]
fn wave_withdrawn_beside_another_workers_accept_runs() {
    let mut world = ready_world(102, 3, 3);
    let workers: Vec<_> = world.workers.keys().cloned().collect();
    world.machines.add_workers(workers.into_iter());
    let names: Vec<_> = world.machines.machines.keys().cloned().collect();
    // The first machine is never up, so that the first wave stays open.
    if let Some(machine) = world.machines.machines.get_mut(&names[0]) {
        machine.is_down = true;
    }
    let mut long_running = step(3, 8);
    long_running.is_long_running = true;
    long_running.may_miss = Some(0);
    let work = Duration::from_mins(10);
    world.submit(0, BATCH, JobKey(2), &job(vec![long_running]), work);
    world.run_for(Duration::from_secs(1));
    for (number, machines) in [(WAVE, &names[..1]), (WaveNumber(8), &names[1..])] {
        let order = WaveOrder {
            number,
            machines: machines.iter().cloned().collect(),
            duration: Duration::from_secs(30),
            cap: 2,
        };
        world.log.put_wave(number, Some(order));
    }
    world.run_for(Duration::from_secs(5));
    world.log.put_wave(WaveNumber(8), None);
    world.run_for(Duration::from_secs(1));
    world.cancel(0, BATCH, JobKey(2));
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.machines.upkeeps, 0);
    check_all_workers_open(&mut world, 3);
}

/// Guards against a wave that keeps all workers closed for as long as it is open, since a step
/// lacks more units than it may miss, so that none of its units may be moved.
#[test]
fn wave_beside_step_that_lacks_workers_leaves_workers_open() {
    let mut world = ready_world(104, 3, 2);
    let workers: Vec<_> = world.workers.keys().cloned().collect();
    world.machines.add_workers(workers.into_iter());
    let mut wide = step(4, 2);
    wide.is_long_running = true;
    wide.may_miss = Some(1);
    wide.worker_limit = Some(1);
    let work = Duration::from_mins(10);
    world.submit(0, BATCH, JobKey(2), &job(vec![wide]), work);
    world.run_for(Duration::from_secs(1));
    let order = WaveOrder {
        number: WAVE,
        machines: world.machines.machines.keys().cloned().collect(),
        duration: Duration::from_secs(20),
        cap: 2,
    };
    world.log.put_wave(WAVE, Some(order));
    // Runs are moved after at most 10 s.
    world.run_for(Duration::from_secs(14));
    let work = Duration::from_secs(1);
    world.submit(0, BATCH, JobKey(3), &job(vec![step(2, 4)]), work);
    world.run_for(Duration::from_secs(4));
    assert!(world.jobs[&JobKey(3)].done_at.is_some());
    assert_eq!(world.machines.upkeeps, 0, "upkeep beside a pinned unit");
    let running = world.workers.values().map(|worker| worker.running.len());
    assert_eq!(running.sum::<usize>(), 2, "units of the wide step");
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a planner that goes on with a wave while the log turns it away, and so ends
/// the units that its successor starts on workers that it takes for empty.
#[rstest]
#[case::turned_away(false, HEARTBEAT_TIMEOUT)]
#[case::resigning(true, Duration::ZERO)]
fn wave_upkeep_not_ordered_beside_successor(
    #[case] is_resigning: bool,
    #[case] grace: Duration,
    #[values(0, 150, 290)] offset_ms: u64,
) {
    let mut world = world_with_wave(103, 12, 2);
    let is_ordered = |world: &SimWorld| world.machines.upkeeps > 0;
    assert!(world.run_until(WAVE_TIMEOUT, is_ordered));
    world.run_for(Duration::from_millis(offset_ms));
    let index = planner_of(&world);
    let first = *world.machines.last_orders.keys().next().expect("an epoch");
    let fault_at = world.now();
    if is_resigning {
        // The resignation is not answered, so the planner does not know that it has resigned.
        world.hosts[index].receives_log_answers = false;
        world.drain_host(index);
    } else {
        world.hosts[index].reaches_log = false;
    }
    world.run_for(Duration::from_secs(12));
    let last = world.machines.last_orders[&first];
    assert!(
        last.since(fault_at) <= grace,
        "upkeep is ordered {:?} after the fault",
        last.since(fault_at)
    );
    assert!(
        world.machines.upkeeps > 2,
        "no successor goes on with the wave"
    );
}

/// A machine counted as empty while the newest listing named a worker that had been replaced
/// since, and the order for it ended the runs of the next worker.
#[rstest]
fn wave_replaced_worker_keeps_runs(#[values(0, 500, 1_000, 1_500)] outage_ms: u64) {
    for delay_ms in (0..1_000).step_by(50) {
        let mut world = world_with_wave(101, 4, 4);
        let mut units = step(8, 4);
        units.has_checkpoints = true;
        let work = Duration::from_secs(20);
        world.submit(0, BATCH, JobKey(1), &job(vec![units.clone()]), work);
        world.run_for(Duration::from_millis(3_000 + delay_ms));
        let machines = world.machines.machines.values_mut();
        let machine = machines.filter(|machine| machine.waves.is_empty()).last();
        let machine = machine.expect("a machine whose upkeep is due");
        let name = machine.worker.clone();
        world.crash_worker(&name);
        world.run_for(Duration::from_millis(outage_ms));
        let next = world.replace_worker(&name);
        let mut machines = world.machines.machines.values_mut();
        if let Some(machine) = machines.find(|machine| machine.worker == name) {
            machine.worker = next;
        }
        let work = Duration::from_secs(2);
        world.submit(0, BATCH, JobKey(2), &job(vec![units]), work);
        assert!(
            world.run_until(WAVE_TIMEOUT, is_completed),
            "the wave is not completed, delay {delay_ms} ms"
        );
        assert!(world.run_until(WAVE_TIMEOUT, all_done));
        assert_eq!(
            world.violations,
            Vec::<String>::new(),
            "delay {delay_ms} ms"
        );
    }
}
