//! Checks whether a customer's open jobs fit into its guaranteed blocks of a zone. Only then
//! is a new job entitled to capacity within the reclaim bound.

/// Returns whether gangs of these sizes fit into blocks of these sizes. Places the largest
/// gang first, each into the smallest block that holds it.
pub(super) fn fits_blocks(blocks: &[u32], gangs: &[u32]) -> bool {
    let mut free = blocks.to_vec();
    let mut gangs = gangs.to_vec();
    gangs.sort_unstable_by(|a, b| b.cmp(a));
    gangs.into_iter().all(|gang| place(&mut free, gang))
}

/// Takes a gang's size off the smallest block that holds it; returns false if none does.
fn place(free: &mut [u32], gang: u32) -> bool {
    let holding = free.iter_mut().filter(|left| **left >= gang);
    match holding.min() {
        Some(left) => {
            *left -= gang;
            true
        }
        None => false,
    }
}
