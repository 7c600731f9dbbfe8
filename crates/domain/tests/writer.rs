//! Tests of the planner's appends.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::HostAction;
use flamingowalk_domain::process::planner::writer::PlanWriter;
use flamingowalk_domain::process::record::{JobRecord, RecordKey};
use flamingowalk_domain::process::stream::AppendedAt;

const START: MonotonicTime = MonotonicTime::from_secs(100);

/// Queues the removal of all records of a job, the acceptance last.
fn push_removal(writer: &mut PlanWriter, job: JobKey) {
    let groups = (0..10).map(|index| {
        RecordKey::Group(GroupKey {
            job,
            occurrence: 0,
            step: 0,
            index: Some(index),
        })
    });
    let rest = [
        RecordKey::Outcome(job),
        RecordKey::Cancellation(job),
        RecordKey::Acceptance(job),
    ];
    for key in groups.chain(rest) {
        writer.push(&JobRecord::Tombstone(key), None);
    }
}

/// A reader between two appends would take a job without its outcome for an open one.
#[test]
fn removal_in_parts_acceptance_first() {
    let mut writer = PlanWriter::new(LeaderEpoch(1), START);
    for number in 0..4_000 {
        push_removal(&mut writer, JobKey(number));
    }
    let (mut last_ticket, mut actions) = (0, Vec::new());
    let mut removed = BTreeSet::new();
    let mut appends = 0;
    while !writer.is_empty() {
        writer.poll(START, &mut last_ticket, &mut actions);
        let Some(HostAction::Append { ticket, order, .. }) = actions.pop() else {
            panic!("no append");
        };
        appends += 1;
        let keys: Vec<_> = order
            .records
            .iter()
            .filter_map(|record| RecordKey::parse(&record.key))
            .collect();
        removed.extend(keys.iter().filter_map(|key| match key {
            RecordKey::Acceptance(job) => Some(*job),
            _ => None,
        }));
        for key in keys {
            if let RecordKey::Outcome(job) | RecordKey::Cancellation(job) = key {
                assert!(removed.contains(&job), "{job} in append {appends}");
            }
            if let RecordKey::Group(group) = key {
                assert!(removed.contains(&group.job), "{group:?}");
            }
        }
        let at = AppendedAt {
            first: StreamOffset(0),
            next: StreamOffset(0),
        };
        writer.handle_append_result(START, ticket, &Ok(at));
    }
    assert!(appends > 1, "the removal was not split");
}
