//! Tests of the fair shares between customers.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::planner::shares::{
    CustomerUse, PoolShares, ShareRank, beyond_share, fair_shares, share_rank, waits,
};

fn customer(name: &str) -> CustomerName {
    name.into()
}

fn uses(rows: &[(&str, f64, f64)]) -> PoolShares {
    rows.iter()
        .map(|(name, held, waiting)| {
            let usage = CustomerUse {
                held: *held,
                waiting: *waiting,
            };
            (Some(customer(name)), usage)
        })
        .collect()
}

/// Guards against capacity that stays idle because the customer whose share it is asks for less.
#[test]
fn fair_shares_lend_idle_capacity() {
    let fair = fair_shares(&uses(&[("a", 0.0, 3.0), ("b", 0.1, 0.0), ("c", 0.0, 0.6)]));
    assert!((fair[&Some(customer("a"))] - 0.45).abs() < 1e-9, "{fair:?}");
    assert!((fair[&Some(customer("b"))] - 0.1).abs() < 1e-9, "{fair:?}");
    assert!((fair[&Some(customer("c"))] - 0.45).abs() < 1e-9, "{fair:?}");
}

/// Guards against the burst of one customer that delays the work of another in one pass, when
/// neither holds anything yet.
#[test]
fn beyond_share_within_one_pass() {
    let uses = uses(&[("a", 0.0, 0.9), ("b", 0.0, 0.4)]);
    let a = (Some(customer("a")), 0.3);
    let waiting = [a.clone(), a.clone(), a, (Some(customer("b")), 0.4)];
    assert_eq!(beyond_share(&uses, &waiting), [false, false, true, false]);
}

/// Guards against a changed order while there is room for all.
#[test]
fn beyond_share_none_with_room() {
    let uses = uses(&[("a", 0.5, 0.3), ("b", 0.0, 0.1)]);
    assert_eq!(beyond_share(&uses, &[(Some(customer("a")), 0.3)]), [false]);
}

/// Guards against operators that cannot see for whom a customer waits.
#[test]
fn waits_name_holder_beyond_share() {
    let uses = uses(&[("a", 0.8, 1.0), ("b", 0.1, 0.5), ("c", 0.1, 0.0)]);
    assert_eq!(waits(&uses), [(Some(customer("b")), Some(customer("a")))]);
}

/// Guards against wide steps that are begun and never done, and against a customer that overtakes
/// the others since it has begun many jobs.
#[test]
fn share_rank_begun_steps() {
    assert_eq!(share_rank(true, true), ShareRank::Within);
    assert_eq!(share_rank(true, false), ShareRank::Begun);
    assert_eq!(share_rank(false, true), ShareRank::Beyond);
    assert!(ShareRank::Within < ShareRank::Begun && ShareRank::Begun < ShareRank::Beyond);
}
