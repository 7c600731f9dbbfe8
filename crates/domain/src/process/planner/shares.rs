//! Fair shares of contested capacity: beyond its guarantee, no customer gets more of a pool
//! than an equal share while others wait for theirs. What one does not ask for is divided among
//! the others, so idle capacity is lent.
//!
//! The load that this answers: the burst of one customer, which would otherwise delay the work
//! of all others by as much as its own.

use crate::prelude::*;

/// What a customer holds and waits for, as shares of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CustomerUse {
    /// Share that its runs hold.
    pub held: f64,
    /// Share that its waiting groups would hold.
    pub waiting: f64,
}

/// Place of a waiting step among those of its priority.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShareRank {
    /// Within the share of its customer, within a guarantee, or a wide step that was begun.
    Within,
    /// Beyond the share, of an occurrence that was begun.
    Begun,
    /// Beyond the share.
    Beyond,
}

/// Uses of a pool by customer; `None` for callers without a key, who count as one.
pub type PoolShares = BTreeMap<Option<CustomerName>, CustomerUse>;

/// Returns the fair share of each customer: equal for all that ask for as much or more, and
/// what they ask for of the others.
pub fn fair_shares(uses: &PoolShares) -> BTreeMap<Option<CustomerName>, f64> {
    let mut by_demand: Vec<(f64, &Option<CustomerName>)> = uses
        .iter()
        .map(|(customer, usage)| (usage.held + usage.waiting, customer))
        .collect();
    by_demand.sort_by(|left, right| left.0.total_cmp(&right.0));
    let mut left = 1.0;
    let mut shares = BTreeMap::new();
    for (place, (demand, customer)) in by_demand.iter().enumerate() {
        let others = (by_demand.len() - place) as f64;
        let share = demand.min(left / others);
        left -= share;
        shares.insert((*customer).clone(), share);
    }
    shares
}

/// Returns which of the waiting groups, given in the order of planning with their customers and
/// the shares that they need, exceed the fair share of their customer. Nothing does while the
/// pool has room for all.
pub fn beyond_share(uses: &PoolShares, waiting: &[(Option<CustomerName>, f64)]) -> Vec<bool> {
    let asked: f64 = uses.values().map(|usage| usage.held + usage.waiting).sum();
    if asked <= 1.0 {
        return vec![false; waiting.len()];
    }
    let fair = fair_shares(uses);
    let mut held: BTreeMap<&Option<CustomerName>, f64> = uses
        .iter()
        .map(|(customer, usage)| (customer, usage.held))
        .collect();
    waiting
        .iter()
        .map(|(customer, share)| {
            let own = held.entry(customer).or_default();
            let is_beyond = *own >= fair.get(customer).copied().unwrap_or(0.0);
            *own += share;
            is_beyond
        })
        .collect()
}

/// Returns the pairs of customers of which the first waits below its fair share while the
/// second holds more than its own.
pub fn waits(uses: &PoolShares) -> Vec<(Option<CustomerName>, Option<CustomerName>)> {
    let fair = fair_shares(uses);
    let share = |customer: &Option<CustomerName>| fair.get(customer).copied().unwrap_or(0.0);
    let waiting = uses
        .iter()
        .filter(|(customer, usage)| usage.waiting > 0.0 && usage.held < share(customer));
    let mut pairs = Vec::new();
    for (customer, _) in waiting {
        for (holder, usage) in uses {
            if holder != customer && usage.held > share(holder) {
                pairs.push((customer.clone(), holder.clone()));
            }
        }
    }
    pairs
}

/// Returns the place of a step beyond the share of its customer. A begun step that is wider than
/// the share keeps its place: it would never be done otherwise. Other begun steps do not, since
/// a customer that floods the pool begins many jobs with capacity that is idle for a moment, and
/// all of them would precede the steps of the others.
pub const fn share_rank(has_begun: bool, is_wide: bool) -> ShareRank {
    match (has_begun, is_wide) {
        (true, true) => ShareRank::Within,
        (true, false) => ShareRank::Begun,
        (false, _) => ShareRank::Beyond,
    }
}
